// Rate limits of workspaces and kinds of work by token buckets, local to this
// node. A full bucket is the same as none and is erased.
//
//   base::Reason Reason =
//       takeRequestTokens(State.Limits, Config, Kind, Workspace, Now);
#ifndef CURRANTGAUGE_ADMISSION_LIMITS_H
#define CURRANTGAUGE_ADMISSION_LIMITS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"

#include <map>
#include <set>
#include <utility>

namespace currantgauge::admission {

// TokenBucket is filled at a rate up to its size.
struct TokenBucket {
  double Tokens = 0;
  base::TimePoint UpdatedAt; // time to which Tokens applies
  base::TimePoint FullAt;
};

// BucketTable holds the buckets that are not full.
template <typename Key> struct BucketTable {
  std::map<Key, TokenBucket> Buckets;
  std::set<std::pair<base::TimePoint, Key>> ByFullAt;
};

// RateLimits is the state of all limits of a node.
struct RateLimits {
  BucketTable<base::WorkspaceName> Workspaces;
  BucketTable<base::KindName> Kinds;
};

// takeRequestTokens() takes a token of both the workspace and the kind, or of
// neither; one without a limit needs no token. Returns WorkspaceLimit or
// KindLimit if one is exhausted, else None.
base::Reason takeRequestTokens(RateLimits &Limits,
                               const config::Configuration &Config,
                               const config::KindSettings &Kind,
                               const base::WorkspaceName &Workspace,
                               base::TimePoint Now);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_LIMITS_H

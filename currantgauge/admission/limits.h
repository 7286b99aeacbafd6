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

// TokenBucket is one bucket as of UpdatedAt; it is refilled when it is used.
struct TokenBucket {
  double Tokens = 0;
  base::TimePoint UpdatedAt; // time to which Tokens applies
  base::TimePoint FullAt;    // if no more tokens are taken
};

// BucketTable holds the buckets that are not full.
template <typename Key> struct BucketTable {
  std::map<Key, TokenBucket> Buckets;
  std::set<std::pair<base::TimePoint, Key>> ByFullAt;
};

// RateLimits is the state of a node's token buckets.
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

// The token buckets of a home for the fleet-wide rate limits of its workspaces.
// A full bucket is the same as none and is erased.
//
//   PermitAnswer Answer = takePermits(Buckets, Ask, Limit, Start, Now);
#ifndef CURRANTGAUGE_ADMISSION_PERMIT_BUCKETS_H
#define CURRANTGAUGE_ADMISSION_PERMIT_BUCKETS_H

#include "currantgauge/admission/permit.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/workspace_table.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace currantgauge::admission {

// FleetLimit is the fill rate and size of a workspace's token bucket.
struct FleetLimit {
  double Rate = 0;  // requests per second; zero: unlimited
  double Burst = 1; // requests
};

// makeFleetLimit() sets the burst to that of the settings or, without one, to
// the requests of one second, but at least to 1.
FleetLimit makeFleetLimit(const config::WorkspaceSettings &Settings);

// allowedRequests() is the most requests of a workspace that may run in any
// five seconds, by the operators' target.
double allowedRequests(const FleetLimit &Limit);

// PermitBucket is the bucket of one workspace as of UpdatedAt.
struct PermitBucket {
  double Tokens = 0;
  base::TimePoint UpdatedAt;
  base::TimePoint ExpiresAt;  // then it is full and nobody was told to wait
  base::TimePoint NextReturn; // of the next request that gets no permit
};

// BucketStart is the state of a home's buckets when it became the home.
struct BucketStart {
  base::TimePoint Time; // from which on it may issue permits
  bool Full = false;    // no permit can have been issued before
};

// RecentAnswer is an answer and when it was last sent.
struct RecentAnswer {
  PermitAnswer Answer;
  base::TimePoint SentAt;
};

// PermitBuckets holds the buckets that are not full and recent answers, so that
// a repeated ask takes no second permit.
struct PermitBuckets {
  std::map<base::WorkspaceName, PermitBucket> Buckets;
  std::set<std::pair<base::TimePoint, base::WorkspaceName>> ByExpiry;
  std::map<PermitId, RecentAnswer> Answers;
  std::deque<std::pair<base::TimePoint, PermitId>> AnswersByTime;
};

// countPermits() returns how many permits a home could issue.
double countPermits(const PermitBuckets &Table,
                    const base::WorkspaceName &Workspace,
                    const FleetLimit &Limit, const BucketStart &Start,
                    base::TimePoint Now);

// takePermits() answers an ask, with the earlier answer if it is repeated.
PermitAnswer takePermits(PermitBuckets &Table, const PermitAsk &Ask,
                         const FleetLimit &Limit, const BucketStart &Start,
                         base::TimePoint Now);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_PERMIT_BUCKETS_H

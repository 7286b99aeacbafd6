#include "currantgauge/admission/limits.h"

#include <algorithm>

namespace currantgauge::admission {
namespace {

// BucketSettings is the fill rate and the size of a token bucket.
struct BucketSettings {
  double Rate = 0; // per second; zero: unlimited
  double Size = 1;
};

// makeBucketSettings() sets the size to Burst or, without one, to the tokens of
// one second, but at least to 1.
BucketSettings makeBucketSettings(base::PerSecond Rate, double Burst) {
  return BucketSettings{Rate.Value,
                        std::max(1.0, Burst > 0 ? Burst : Rate.Value)};
}

base::TimePoint fullAt(const TokenBucket &Bucket, const BucketSettings &Bound) {
  double MissingTokens = Bound.Size - Bucket.Tokens;
  return Bucket.UpdatedAt +
         base::scale(base::seconds(1), MissingTokens / Bound.Rate);
}

template <typename Key>
void eraseFullBuckets(BucketTable<Key> &Table, base::TimePoint Now) {
  while (!Table.ByFullAt.empty() && Table.ByFullAt.begin()->first <= Now) {
    Table.Buckets.erase(Table.ByFullAt.begin()->second);
    Table.ByFullAt.erase(Table.ByFullAt.begin());
  }
}

template <typename Key>
double countTokens(const BucketTable<Key> &Table, const Key &Name,
                   const BucketSettings &Bound, base::TimePoint Now) {
  auto It = Table.Buckets.find(Name);
  if (It == Table.Buckets.end())
    return Bound.Size;
  double Refilled = base::toSeconds(Now - It->second.UpdatedAt) * Bound.Rate;
  return std::min(It->second.Tokens + Refilled, Bound.Size);
}

template <typename Key>
void takeToken(BucketTable<Key> &Table, const Key &Name,
               const BucketSettings &Bound, base::TimePoint Now) {
  double Tokens = countTokens(Table, Name, Bound, Now) - 1;
  TokenBucket &Bucket = Table.Buckets[Name];
  Table.ByFullAt.erase({Bucket.FullAt, Name});
  Bucket.Tokens = Tokens;
  Bucket.UpdatedAt = Now;
  Bucket.FullAt = fullAt(Bucket, Bound);
  Table.ByFullAt.insert({Bucket.FullAt, Name});
}

template <typename Key>
bool isExhausted(const BucketTable<Key> &Table, const Key &Name,
                 const BucketSettings &Bound, base::TimePoint Now) {
  return Bound.Rate > 0 && countTokens(Table, Name, Bound, Now) < 1;
}

} // namespace

base::Reason takeRequestTokens(RateLimits &Limits,
                               const config::Configuration &Config,
                               const config::KindSettings &Kind,
                               const base::WorkspaceName &Workspace,
                               base::TimePoint Now) {
  eraseFullBuckets(Limits.Workspaces, Now);
  eraseFullBuckets(Limits.Kinds, Now);
  BucketSettings WorkspaceLimit;
  if (auto It = Config.Workspaces.find(Workspace);
      It != Config.Workspaces.end())
    WorkspaceLimit = makeBucketSettings(It->second.Limit, It->second.Burst);
  BucketSettings KindLimit = makeBucketSettings(Kind.Limit, 0);
  if (isExhausted(Limits.Workspaces, Workspace, WorkspaceLimit, Now))
    return base::Reason::WorkspaceLimit;
  if (isExhausted(Limits.Kinds, Kind.Name, KindLimit, Now))
    return base::Reason::KindLimit;
  if (WorkspaceLimit.Rate > 0)
    takeToken(Limits.Workspaces, Workspace, WorkspaceLimit, Now);
  if (KindLimit.Rate > 0)
    takeToken(Limits.Kinds, Kind.Name, KindLimit, Now);
  return base::Reason::None;
}

} // namespace currantgauge::admission

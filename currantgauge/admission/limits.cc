#include "currantgauge/admission/limits.h"

#include <algorithm>

namespace currantgauge::admission {
namespace {

// Limit is a rate and how much may come at once.
struct Limit {
  double Rate = 0; // a second; zero: none
  double Size = 1;
};

Limit limitOf(base::PerSecond Rate, double Burst) {
  return Limit{Rate.Value, std::max(1.0, Burst > 0 ? Burst : Rate.Value)};
}

base::TimePoint fullAt(const TokenBucket &Bucket, const Limit &Set) {
  double Missing = Set.Size - Bucket.Tokens;
  return Bucket.UpdatedAt + base::scaled(base::seconds(1), Missing / Set.Rate);
}

template <typename Key>
void dropFull(BucketTable<Key> &Table, base::TimePoint Now) {
  while (!Table.ByFullAt.empty() && Table.ByFullAt.begin()->first <= Now) {
    Table.Buckets.erase(Table.ByFullAt.begin()->second);
    Table.ByFullAt.erase(Table.ByFullAt.begin());
  }
}

template <typename Key>
double tokensOf(const BucketTable<Key> &Table, const Key &Which,
                const Limit &Set, base::TimePoint Now) {
  auto Found = Table.Buckets.find(Which);
  if (Found == Table.Buckets.end())
    return Set.Size;
  double Fresh = base::toSeconds(Now - Found->second.Filled) * Set.Rate;
  return std::min(Found->second.Tokens + Fresh, Set.Size);
}

template <typename Key>
void take(BucketTable<Key> &Table, const Key &Which, const Limit &Set,
          base::TimePoint Now) {
  double Tokens = tokensOf(Table, Which, Set, Now) - 1;
  TokenBucket &Bucket = Table.Buckets[Which];
  Table.ByFullAt.erase({Bucket.FullAt, Which});
  Bucket.Tokens = Tokens;
  Bucket.UpdatedAt = Now;
  Bucket.FullAt = fullAt(Bucket, Set);
  Table.ByFullAt.insert({Bucket.FullAt, Which});
}

template <typename Key>
bool isUsedUp(const BucketTable<Key> &Table, const Key &Which, const Limit &Set,
              base::TimePoint Now) {
  return Set.Rate > 0 && tokensOf(Table, Which, Set, Now) < 1;
}

} // namespace

base::Reason takeRequestTokens(RateLimits &Limits,
                               const config::Configuration &Config,
                               const config::KindSettings &Kind,
                               const base::WorkspaceName &Workspace,
                               base::TimePoint Now) {
  dropFull(Limits.Workspaces, Now);
  dropFull(Limits.Kinds, Now);
  Limit OfWorkspace;
  if (auto Found = Config.Workspaces.find(Workspace);
      Found != Config.Workspaces.end())
    OfWorkspace = limitOf(Found->second.Limit, Found->second.Burst);
  Limit OfKind = limitOf(Kind.Limit, 0);
  if (isUsedUp(Limits.Workspaces, Workspace, OfWorkspace, Now))
    return base::Reason::WorkspaceLimit;
  if (isUsedUp(Limits.Kinds, Kind.Name, OfKind, Now))
    return base::Reason::KindLimit;
  if (OfWorkspace.Rate > 0)
    take(Limits.Workspaces, Workspace, OfWorkspace, Now);
  if (OfKind.Rate > 0)
    take(Limits.Kinds, Kind.Name, OfKind, Now);
  return base::Reason::None;
}

} // namespace currantgauge::admission

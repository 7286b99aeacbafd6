#include "currantgauge/admission/eviction.h"

#include <algorithm>
#include <cstdint>

namespace currantgauge::admission {
namespace {

std::uint64_t oversizedBytes(const DeadlineQueue &Flow,
                             const config::ServiceSettings &Settings) {
  std::uint64_t Bytes = 0;
  for (const QueuedAttempt &Attempt : Flow)
    Bytes += isOversized(Attempt, Settings) ? Attempt.Facts.BodyBytes.Bytes : 0;
  return Bytes;
}

base::ByteCount boundedRankBytes(const RankQueue &Rank,
                                 const config::ServiceSettings &Settings) {
  base::ByteCount Bounded = Rank.Bytes;
  if (Bounded <= Settings.QueueBytes)
    return Bounded;
  for (const auto &[Kind, Flows] : Rank.Kinds)
    for (const auto &[Workspace, Flow] : Flows.Waiting)
      Bounded.Bytes -= oversizedBytes(Flow, Settings);
  return Bounded;
}

bool isAboveShare(const RankQueue &Rank, std::uint32_t Order,
                  const EvictionQuery &Query) {
  bool SameRank = Order == Query.NewAttempt.RankOrder;
  double RankShare = Rank.Share.Value / 100;
  if (Query.ByBytes)
    return static_cast<double>(
               boundedRankBytes(Rank, Query.Settings).Bytes +
               (SameRank ? Query.NewAttempt.Facts.BodyBytes.Bytes : 0)) >
           RankShare * static_cast<double>(Query.Settings.QueueBytes.Bytes);
  return Rank.Length + (SameRank ? 1 : 0) >
         RankShare * Query.Settings.QueueLength;
}

bool isEvictable(const QueuedAttempt &Attempt, const EvictionQuery &Query) {
  return !Query.ByBytes || !isOversized(Attempt, Query.Settings);
}

QueuedAttempt *latestEvictable(DeadlineQueue &Flow,
                               const EvictionQuery &Query) {
  auto It = std::find_if(Flow.rbegin(), Flow.rend(),
                         [&](const QueuedAttempt &Attempt) {
                           return isEvictable(Attempt, Query);
                         });
  return It == Flow.rend() ? nullptr : &*It;
}

QueuedAttempt *latestEvictable(RankQueue &Rank, const EvictionQuery &Query) {
  QueuedAttempt *Latest = nullptr;
  for (auto &[Kind, Flows] : Rank.Kinds)
    for (auto &[Workspace, Flow] : Flows.Waiting) {
      QueuedAttempt *Last = latestEvictable(Flow, Query);
      if (Last && (!Latest || Latest->Deadline < Last->Deadline))
        Latest = Last;
    }
  return Latest;
}

} // namespace

bool isOversized(const QueuedAttempt &Attempt,
                 const config::ServiceSettings &Settings) {
  return Attempt.Facts.BodyBytes > Settings.QueueBytes;
}

base::ByteCount boundedBytes(const ServiceQueue &Queue,
                             const config::ServiceSettings &Settings) {
  if (Queue.Bytes <= Settings.QueueBytes)
    return Queue.Bytes;
  base::ByteCount Bounded;
  for (const auto &[Order, Rank] : Queue.ByRank)
    Bounded = Bounded + boundedRankBytes(Rank, Settings);
  return Bounded;
}

QueuedAttempt *chooseVictim(ServiceQueue &Queue, const EvictionQuery &Query) {
  auto Rank = std::find_if(
      Queue.ByRank.rbegin(), Queue.ByRank.rend(), [&](const auto &Entry) {
        return isAboveShare(Entry.second, Entry.first, Query);
      });
  if (Rank == Queue.ByRank.rend() || Rank->second.Length == 0)
    return nullptr;
  const core::AttemptFacts &Facts = Query.NewAttempt.Facts;
  const base::KindName &Kind = *longestFlow(Rank->second.Schedule);
  KindQueue &Flows = Rank->second.Kinds.at(Kind);
  const base::WorkspaceName &Workspace = *longestFlow(Flows.Schedule);
  bool SameRank = Rank->first == Query.NewAttempt.RankOrder;
  if (SameRank && Kind == Facts.Kind &&
      lengthOf(Flows.Schedule, Facts.Workspace) + 1 >=
          lengthOf(Flows.Schedule, Workspace))
    return nullptr;
  QueuedAttempt *Victim = latestEvictable(Flows.Waiting.at(Workspace), Query);
  return Victim ? Victim : latestEvictable(Rank->second, Query);
}

} // namespace currantgauge::admission

#include "currantgauge/admission/queue.h"

#include "currantgauge/admission/caller_cost.h"
#include "currantgauge/admission/eviction.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/rank_share.h"

#include <algorithm>

namespace currantgauge::admission {
namespace {

constexpr double SampleWeight = 0.1; // of a new sample in a moving average
// Service time assumed for a kind without measurements, at most
// DefaultServiceShare of the time left. An attempt that can't start this long
// before its deadline is refused, so that the refusal reaches the caller in
// time.
constexpr base::Duration DefaultServiceTime = base::milliseconds(20);
constexpr double DefaultServiceShare = 0.125;
// Share of the aim, less the service time, that may be spent waiting. The rest
// covers the response's way back and service times above the mean.
constexpr double AimWaitShare = 0.7;
// Share of the permitted wait (the wait within the aim, or PressedForecastLimit
// if that is longer) after which an attempt that could run elsewhere is
// returned to its entry; the remainder is left for the wait at the next owner.
constexpr double LongWaitShare = 0.5;

double weightOf(const config::Configuration &Config,
                const base::WorkspaceName &Workspace) {
  auto It = Config.Workspaces.find(Workspace);
  return It == Config.Workspaces.end() || It->second.Weight <= 0
             ? 1
             : It->second.Weight;
}

base::Duration expectedServiceTime(const ServiceQueue &Queue,
                                   const base::KindName &Kind) {
  auto It = Queue.ServiceTimes.find(Kind);
  return It == Queue.ServiceTimes.end() ? base::Duration{} : It->second;
}

base::TimePoint latestStart(const QueuedAttempt &Attempt, base::TimePoint Now) {
  base::Duration Reserve = Attempt.ExpectedTime;
  if (Reserve == base::Duration{})
    Reserve = std::min(DefaultServiceTime, base::scale(Attempt.Deadline - Now,
                                                       DefaultServiceShare));
  return std::max(Now, Attempt.Deadline - Reserve);
}

void insert(ServiceQueue &Queue, RankQueue &Rank, QueuedAttempt &Attempt) {
  const core::AttemptFacts &Facts = Attempt.Facts;
  KindQueue &Kind = Rank.Kinds[Facts.Kind];
  Kind.Waiting[Facts.Workspace].insert(Attempt);
  addItem(Kind.Schedule, Facts.Workspace);
  addItem(Rank.Schedule, Facts.Kind);
  Rank.QueuedWork += Attempt.ExpectedTime;
  Rank.Bytes.Bytes += Facts.BodyBytes.Bytes;
  Queue.Bytes.Bytes += Facts.BodyBytes.Bytes;
  ++Rank.Length;
  ++Queue.Length;
}

void remove(ServiceQueue &Queue, RankQueue &Rank, QueuedAttempt &Attempt) {
  const core::AttemptFacts &Facts = Attempt.Facts;
  KindQueue &Kind = Rank.Kinds.at(Facts.Kind);
  auto Flow = Kind.Waiting.find(Facts.Workspace);
  Attempt.unlink();
  if (Flow->second.empty())
    Kind.Waiting.erase(Flow);
  removeItem(Kind.Schedule, Facts.Workspace);
  removeItem(Rank.Schedule, Facts.Kind);
  Rank.QueuedWork = Rank.QueuedWork - Attempt.ExpectedTime;
  Rank.Bytes.Bytes -= Facts.BodyBytes.Bytes;
  Queue.Bytes.Bytes -= Facts.BodyBytes.Bytes;
  --Rank.Length;
  --Queue.Length;
}

// sameRankWorkAhead() returns the work of its rank that a new attempt waits
// for. A flow that is shorter than the others waits only for its turns in the
// fair schedule, not for the whole rank.
base::Duration sameRankWorkAhead(const RankQueue &Rank,
                                 const core::AttemptFacts &Facts) {
  if (Rank.Length == 0)
    return {};
  double Rounds = 1;
  double Turns = 1;
  if (auto Kind = Rank.Kinds.find(Facts.Kind); Kind != Rank.Kinds.end()) {
    Rounds += lengthOf(Kind->second.Schedule, Facts.Workspace);
    Turns = std::max<double>(1, Kind->second.Schedule.Waiting.size());
  }
  double Items = Rounds * Turns * Rank.Schedule.Waiting.size();
  return base::scale(Rank.QueuedWork, std::min(1.0, Items / Rank.Length));
}

// forecastWait() returns the wait for the next slot plus the shorter of two
// waits for the work ahead in the attempt's rank: in the slots left by other
// ranks, behind the queued work of more urgent ones, or in the rank's
// guaranteed share of the slots.
base::Duration forecastWait(const ServiceQueue &Queue,
                            const QueuedAttempt &Attempt) {
  base::Duration UrgentWork;
  for (const auto &[Order, Rank] : Queue.ByRank)
    if (Order < Attempt.RankOrder)
      UrgentWork += Rank.QueuedWork;
  const RankQueue &Rank = Queue.ByRank.at(Attempt.RankOrder);
  base::Duration SameRankWork = sameRankWorkAhead(Rank, Attempt.Facts);
  double Slots = std::max<double>(Queue.OpenSlots, 1);
  base::Duration PriorityWait =
      base::scale(UrgentWork, 1 / Slots) +
      base::scale(SameRankWork, 1 / availableSlots(Queue, Attempt.RankOrder));
  return nextSlotWait(Queue) +
         std::min(PriorityWait, guaranteedWait(Queue, Rank, SameRankWork));
}

const config::ServiceSettings &settingsOf(const config::Configuration &Config,
                                          const base::ServiceName &Service) {
  static const config::ServiceSettings Defaults;
  auto It = Config.Services.find(Service);
  return It == Config.Services.end() ? Defaults : It->second;
}

base::Reason makeRoom(ServiceQueue &Queue,
                      const config::ServiceSettings &Settings,
                      const QueuedAttempt &Attempt,
                      std::vector<base::AttemptId> &Victims) {
  base::ByteCount Size = Attempt.Facts.BodyBytes;
  // The bound is for what waits. What no other attempt waits beside is bounded
  // by the limit of a body.
  if (Queue.Length == 0 && Settings.QueueLength > 0)
    return base::Reason::None;
  if (isOversized(Attempt, Settings))
    return base::Reason::QueueBytesFull;
  while (true) {
    bool TooLong = Queue.Length >= Settings.QueueLength;
    bool TooLarge = Size.Bytes > 0 &&
                    boundedBytes(Queue, Settings) + Size > Settings.QueueBytes;
    if (!TooLong && !TooLarge)
      return base::Reason::None;
    QueuedAttempt *Victim =
        chooseVictim(Queue, EvictionQuery{Settings, Attempt, !TooLong});
    if (!Victim)
      return TooLong ? base::Reason::QueueFull : base::Reason::QueueBytesFull;
    Victims.push_back(Victim->Facts.Attempt);
    remove(Queue, Queue.ByRank.at(Victim->RankOrder), *Victim);
  }
}

// waitWithinAim() returns how long an attempt may wait and still be answered
// within its aim: such a response is worth as much as an immediate one. Not
// positive if the aim is not set or leaves no time to wait.
base::Duration waitWithinAim(const QueuedAttempt &Attempt) {
  return base::scale(Attempt.Aim - Attempt.ExpectedTime, AimWaitShare);
}

// longWaitLimit() returns the wait after which an attempt is returned to its
// entry with LongWait. It is short enough to leave another owner time to answer
// within the aim.
base::Duration longWaitLimit(const QueuedAttempt &Attempt) {
  base::Duration Total = base::scale(
      std::max(PressedForecastLimit, waitWithinAim(Attempt)), LongWaitShare);
  return std::max(Total - Attempt.Facts.Waited, base::Duration{});
}

// waitLimit() returns how long an attempt may wait in this queue if its wait is
// bounded. Time that the request has already waited in earlier attempts counts
// towards the limit.
base::Duration waitLimit(const QueuedAttempt &Attempt) {
  base::Duration Total =
      std::max(Attempt.CrossedLink ? CrossRegionWaitLimit : PressedWaitLimit,
               waitWithinAim(Attempt));
  return std::max(Total - Attempt.Facts.Waited, base::Duration{});
}

// Letting a queue grow until every wait exceeds the aim doesn't raise
// throughput, it only makes every response late; so kinds with an aim always
// have a bounded wait. Kinds without one may wait until their deadline, except
// while their rank is under pressure.
bool hasBoundedWait(const RankQueue &Rank, const QueuedAttempt &Attempt,
                    base::TimePoint Now) {
  return isPressed(Rank, Now) || Attempt.Aim > base::Duration{};
}

base::Reason checkEarlyRefusal(const ServiceQueue &Queue, const RankQueue &Rank,
                               const QueuedAttempt &Attempt,
                               base::TimePoint Now) {
  if (Attempt.Deadline <= Now)
    return base::Reason::DeadlinePassed;
  base::Duration Wait = forecastWait(Queue, Attempt);
  if (Attempt.Facts.ReturnOnLongWait && Wait > longWaitLimit(Attempt))
    return base::Reason::LongWait;
  base::Duration ForecastLimit =
      std::max(PressedForecastLimit, waitWithinAim(Attempt));
  if (hasBoundedWait(Rank, Attempt, Now) &&
      Wait > std::min(ForecastLimit, waitLimit(Attempt)))
    return base::Reason::ShedByPressure;
  if (Wait > base::Duration{} &&
      Now + Wait + Attempt.ExpectedTime > Attempt.Deadline)
    return base::Reason::DeadlineTooShort;
  return base::Reason::None;
}

} // namespace

EnqueueResult enqueue(AdmissionState &State,
                      const config::Configuration &Config,
                      QueuedAttempt &Attempt, std::uint32_t OpenSlots,
                      base::TimePoint Now) {
  const core::AttemptFacts &Facts = Attempt.Facts;
  ServiceQueue &Queue = State.Queues[Facts.Service];
  RankQueue &Rank = Queue.ByRank[Attempt.RankOrder];
  if (auto It = Config.Ranks.find(Facts.Rank); It != Config.Ranks.end())
    Rank.Share = It->second.Share;
  Queue.OpenSlots = OpenSlots;
  advanceShares(Queue, Now);
  Attempt.ExpectedTime = expectedServiceTime(Queue, Facts.Kind);
  if (auto Kind = Config.Kinds.find(Facts.Kind); Kind != Config.Kinds.end())
    Attempt.Aim = usefulTime(Config, Facts, Kind->second.Aim);
  EnqueueResult Result;
  Result.Reason = checkEarlyRefusal(Queue, Rank, Attempt, Now);
  if (Result.Reason == base::Reason::None)
    Result.Reason = makeRoom(Queue, settingsOf(Config, Facts.Service), Attempt,
                             Result.Victims);
  if (Result.Reason != base::Reason::None)
    return Result;
  Attempt.StartBy = latestStart(Attempt, Now);
  if (hasBoundedWait(Rank, Attempt, Now))
    Attempt.StartBy = std::min(Attempt.StartBy, Now + waitLimit(Attempt));
  if (Facts.ReturnOnLongWait)
    Attempt.StartBy = std::min(Attempt.StartBy, Now + longWaitLimit(Attempt));
  insert(Queue, Rank, Attempt);
  return Result;
}

QueuedAttempt *peekNextToRun(AdmissionState &State,
                             const base::ServiceName &Service,
                             std::uint32_t OpenSlots, base::TimePoint Now) {
  auto It = State.Queues.find(Service);
  if (It == State.Queues.end())
    return nullptr;
  It->second.OpenSlots = OpenSlots;
  advanceShares(It->second, Now);
  RankQueue *Rank = chooseRank(It->second);
  if (!Rank)
    return nullptr;
  KindQueue &Kind = Rank->Kinds.at(*firstFlow(Rank->Schedule));
  return &*Kind.Waiting.at(*firstFlow(Kind.Schedule)).begin();
}

void dequeueToRun(AdmissionState &State, const config::Configuration &Config,
                  QueuedAttempt &Attempt, base::TimePoint Now) {
  const core::AttemptFacts &Facts = Attempt.Facts;
  ServiceQueue &Queue = State.Queues.at(Facts.Service);
  RankQueue &Rank = Queue.ByRank.at(Attempt.RankOrder);
  KindQueue &Kind = Rank.Kinds.at(Facts.Kind);
  auto Cost = static_cast<double>(std::max<std::int64_t>(
      Attempt.ExpectedTime.Micros, base::milliseconds(1).Micros));
  chargeFlow(Kind.Schedule, Facts.Workspace,
             Cost / weightOf(Config, Facts.Workspace));
  chargeFlow(Rank.Schedule, Facts.Kind, Cost);
  remove(Queue, Rank, Attempt);
  Attempt.SlotTakenAt = Now;
  noteSlotTaken(Rank, Attempt.ExpectedTime);
  noteStarted(Rank, Now);
}

void finishRun(AdmissionState &State, const QueuedAttempt &Attempt,
               const core::AttemptOutcome &Outcome, base::TimePoint Now) {
  auto QueueIt = State.Queues.find(Attempt.Facts.Service);
  if (QueueIt == State.Queues.end())
    return;
  ServiceQueue &Queue = QueueIt->second;
  advanceShares(Queue, Now);
  noteSlotReleased(Queue.ByRank[Attempt.RankOrder], Attempt.ExpectedTime,
                   Now - Attempt.SlotTakenAt);
  bool Complete = Outcome.Verdict == base::Verdict::Ran &&
                  Outcome.Reason != base::Reason::BackendShed;
  if (Attempt.StartedAt == base::TimePoint{} ||
      (!Complete && Outcome.Reason != base::Reason::BackendTimeout))
    return;
  auto [It, Inserted] =
      Queue.ServiceTimes.emplace(Attempt.Facts.Kind, Now - Attempt.StartedAt);
  if (!Inserted)
    It->second +=
        base::scale(Now - Attempt.StartedAt - It->second, SampleWeight);
  base::Duration &RankMean = Queue.ByRank[Attempt.RankOrder].MeanServiceTime;
  RankMean = RankMean == base::Duration{}
                 ? Now - Attempt.StartedAt
                 : RankMean + base::scale(Now - Attempt.StartedAt - RankMean,
                                          SampleWeight);
}

void dequeue(AdmissionState &State, QueuedAttempt &Attempt) {
  if (!Attempt.is_linked())
    return;
  ServiceQueue &Queue = State.Queues.at(Attempt.Facts.Service);
  remove(Queue, Queue.ByRank.at(Attempt.RankOrder), Attempt);
}

// StartBy relies on the service time expected on arrival. The estimate may have
// grown since, and an attempt that can't finish by its deadline would waste its
// slot.
bool isLate(const AdmissionState &State, const QueuedAttempt &Attempt,
            base::TimePoint Now) {
  if (Now > Attempt.StartBy)
    return true;
  auto Queue = State.Queues.find(Attempt.Facts.Service);
  if (Queue == State.Queues.end() || Now == Attempt.ArrivedAt)
    return false;
  return Now + expectedServiceTime(Queue->second, Attempt.Facts.Kind) >
         Attempt.Deadline;
}

base::Duration drainTime(const AdmissionState &State,
                         const base::ServiceName &Service,
                         std::uint32_t RankOrder) {
  auto Queue = State.Queues.find(Service);
  if (Queue == State.Queues.end())
    return {};
  base::Duration Work;
  for (const auto &[Order, Rank] : Queue->second.ByRank)
    if (Order <= RankOrder)
      Work += Rank.QueuedWork;
  return Work / std::max<std::uint32_t>(Queue->second.OpenSlots, 1);
}

base::Reason lateReason(const QueuedAttempt &Attempt, base::TimePoint Now) {
  if (Now >= Attempt.Deadline)
    return base::Reason::DeadlinePassed;
  if (Attempt.Facts.ReturnOnLongWait && Now >= Attempt.StartBy)
    return base::Reason::LongWait;
  bool WaitBounded = Attempt.StartBy < latestStart(Attempt, Attempt.ArrivedAt);
  return WaitBounded && Now >= Attempt.StartBy ? base::Reason::ShedByPressure
                                               : base::Reason::DeadlineTooShort;
}

} // namespace currantgauge::admission

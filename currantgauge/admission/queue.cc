#include "currantgauge/admission/queue.h"

#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/rank_share.h"

#include <algorithm>

namespace currantgauge::admission {
namespace {

constexpr double FreshShare = 0.1; // of a new service time in the average
// What a kind of unknown service time is assumed to take when its deadline is
// near, so that a refusal still reaches the caller in time.
constexpr base::Duration UnknownTime = base::milliseconds(20);
constexpr double UnknownShare = 0.125; // of the time left, at most
// Of what the aim leaves beside the service time; the rest is for the way back
// and for times above the mean.
constexpr double AimedShare = 0.7;
// Of that, what an attempt may wait for that could run elsewhere: as much is
// left for the wait there.
constexpr double HandBackShare = 0.5;

double weightOf(const config::Configuration &Config,
                const base::WorkspaceName &Workspace) {
  auto Found = Config.Workspaces.find(Workspace);
  return Found == Config.Workspaces.end() || Found->second.Weight <= 0
             ? 1
             : Found->second.Weight;
}

base::Duration expectedTime(const ServiceQueue &Queue,
                            const base::KindName &Kind) {
  auto Found = Queue.ServiceTimes.find(Kind);
  return Found == Queue.ServiceTimes.end() ? base::Duration{} : Found->second;
}

base::TimePoint startBy(const QueuedAttempt &Attempt, base::TimePoint Now) {
  base::Duration Ahead = Attempt.ExpectedTime;
  if (Ahead == base::Duration{})
    Ahead = std::min(UnknownTime,
                     base::scaled(Attempt.Deadline - Now, UnknownShare));
  return std::max(Now, Attempt.Deadline - Ahead);
}

void insert(ServiceQueue &Queue, RankQueue &Rank, QueuedAttempt &Attempt) {
  const core::AttemptFacts &Facts = Attempt.Facts;
  KindQueue &Kind = Rank.Kinds[Facts.Kind];
  Kind.Waiting[Facts.Workspace].insert(Attempt);
  addOne(Kind.Schedule, Facts.Workspace);
  addOne(Rank.Schedule, Facts.Kind);
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
  removeOne(Kind.Schedule, Facts.Workspace);
  removeOne(Rank.Schedule, Facts.Kind);
  Rank.QueuedWork = Rank.QueuedWork - Attempt.ExpectedTime;
  Rank.Bytes.Bytes -= Facts.BodyBytes.Bytes;
  Queue.Bytes.Bytes -= Facts.BodyBytes.Bytes;
  --Rank.Length;
  --Queue.Length;
}

// What waits in front of a newcomer in its own rank: everything or, for a flow
// shorter than the others, its turns.
base::Duration workInFront(const RankQueue &Rank,
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
  return base::scaled(Rank.QueuedWork, std::min(1.0, Items / Rank.Length));
}

// Two ways lead to a slot, and the shorter one counts: after all that is more
// urgent, or by the rank's guaranteed share.
base::Duration waitOf(const ServiceQueue &Queue, const QueuedAttempt &Attempt) {
  base::Duration Urgent;
  for (const auto &[Order, Rank] : Queue.ByRank)
    if (Order < Attempt.RankOrder)
      Urgent += Rank.QueuedWork;
  const RankQueue &Rank = Queue.ByRank.at(Attempt.RankOrder);
  base::Duration Own = workInFront(Rank, Attempt.Facts);
  double Slots = std::max<double>(Queue.OpenSlots, 1);
  base::Duration InOrder =
      base::scaled(Urgent, 1 / Slots) +
      base::scaled(Own, 1 / availableSlots(Queue, Attempt.RankOrder));
  return nextSlotWait(Queue) +
         std::min(InOrder, guaranteedWait(Queue, Rank, Own));
}

const config::ServiceSettings &settingsOf(const config::Configuration &Config,
                                          const base::ServiceName &Service) {
  static const config::ServiceSettings Defaults;
  auto Found = Config.Services.find(Service);
  return Found == Config.Services.end() ? Defaults : Found->second;
}

// Bounds is a full queue: what is too much of it, and each rank's part.
struct Bounds {
  const config::ServiceSettings &Limits;
  const QueuedAttempt &Newcomer;
  bool OfBytes = false;
};

bool isAboveShare(const RankQueue &Rank, std::uint32_t Order,
                  const Bounds &Full) {
  bool Own = Order == Full.Newcomer.RankOrder;
  double Part = Rank.Share.Value / 100;
  if (Full.OfBytes)
    return static_cast<double>(
               Rank.Bytes.Bytes +
               (Own ? Full.Newcomer.Facts.BodyBytes.Bytes : 0)) >
           Part * static_cast<double>(Full.Limits.QueueBytes.Bytes);
  return Rank.Length + (Own ? 1 : 0) > Part * Full.Limits.QueueLength;
}

// The least urgent rank above its share gives way, and in it the longest flow,
// and of that the attempt with the latest deadline. Null: the newcomer.
QueuedAttempt *chooseVictim(ServiceQueue &Queue, const Bounds &Full) {
  auto Rank = std::find_if(Queue.ByRank.rbegin(), Queue.ByRank.rend(),
                           [&](const auto &Item) {
                             return isAboveShare(Item.second, Item.first, Full);
                           });
  if (Rank == Queue.ByRank.rend() || Rank->second.Length == 0)
    return nullptr;
  const core::AttemptFacts &Facts = Full.Newcomer.Facts;
  const base::KindName &Kind = *longestFlow(Rank->second.Schedule);
  KindQueue &Same = Rank->second.Kinds.at(Kind);
  const base::WorkspaceName &Workspace = *longestFlow(Same.Schedule);
  bool Own = Rank->first == Full.Newcomer.RankOrder;
  if (Own && Kind == Facts.Kind &&
      lengthOf(Same.Schedule, Facts.Workspace) + 1 >=
          lengthOf(Same.Schedule, Workspace))
    return nullptr;
  return &*Same.Waiting.at(Workspace).rbegin();
}

base::Reason makeRoom(ServiceQueue &Queue,
                      const config::ServiceSettings &Limits,
                      const QueuedAttempt &Attempt,
                      std::vector<base::AttemptId> &Victims) {
  base::ByteCount Size = Attempt.Facts.BodyBytes;
  if (Size > Limits.QueueBytes)
    return base::Reason::QueueBytesFull;
  while (true) {
    bool Long = Queue.Length >= Limits.QueueLength;
    bool Large = Queue.Bytes + Size > Limits.QueueBytes;
    if (!Long && !Large)
      return base::Reason::None;
    QueuedAttempt *Victim = chooseVictim(Queue, Bounds{Limits, Attempt, !Long});
    if (!Victim)
      return Long ? base::Reason::QueueFull : base::Reason::QueueBytesFull;
    Victims.push_back(Victim->Facts.Attempt);
    remove(Queue, Queue.ByRank.at(Victim->RankOrder), *Victim);
  }
}

// An answer within the aim is worth as much as one at once.
base::Duration aimedWait(const QueuedAttempt &Attempt) {
  return base::scaled(Attempt.Aim - Attempt.ExpectedTime, AimedShare);
}

// An attempt that may be served elsewhere leaves most of its aim for that.
base::Duration handBackAfter(const QueuedAttempt &Attempt) {
  base::Duration Whole = base::scaled(
      std::max(PressedForecastLimit, aimedWait(Attempt)), HandBackShare);
  return std::max(Whole - Attempt.Facts.Waited, base::Duration{});
}

// What a request has waited for before this attempt is part of its wait.
base::Duration patienceOf(const QueuedAttempt &Attempt) {
  base::Duration Whole =
      std::max(Attempt.CrossedLink ? CrossRegionWaitLimit : PressedWaitLimit,
               aimedWait(Attempt));
  return std::max(Whole - Attempt.Facts.Waited, base::Duration{});
}

// In a queue whose wait passes the aim of all that is in it, as much is served
// as in a short one, and all of it late. A kind without an aim may wait for its
// deadline until its rank is refused in part.
bool isBounded(const RankQueue &Rank, const QueuedAttempt &Attempt,
               base::TimePoint Now) {
  return isPressed(Rank, Now) || Attempt.Aim > base::Duration{};
}

base::Reason refuseEarly(const ServiceQueue &Queue, const RankQueue &Rank,
                         const QueuedAttempt &Attempt, base::TimePoint Now) {
  if (Attempt.Deadline <= Now)
    return base::Reason::DeadlinePassed;
  base::Duration Wait = waitOf(Queue, Attempt);
  if (Attempt.Facts.HandsBack && Wait > handBackAfter(Attempt))
    return base::Reason::LongWait;
  base::Duration Bearable = std::max(PressedForecastLimit, aimedWait(Attempt));
  if (isBounded(Rank, Attempt, Now) &&
      Wait > std::min(Bearable, patienceOf(Attempt)))
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
  if (auto Found = Config.Ranks.find(Facts.Rank); Found != Config.Ranks.end())
    Rank.Share = Found->second.Share;
  Queue.OpenSlots = OpenSlots;
  advanceShares(Queue, Now);
  Attempt.ExpectedTime = expectedTime(Queue, Facts.Kind);
  if (auto Kind = Config.Kinds.find(Facts.Kind); Kind != Config.Kinds.end())
    Attempt.Aim = Kind->second.Aim;
  EnqueueResult Result;
  Result.Reason = refuseEarly(Queue, Rank, Attempt, Now);
  if (Result.Reason == base::Reason::None)
    Result.Reason = makeRoom(Queue, settingsOf(Config, Facts.Service), Attempt,
                             Result.Victims);
  if (Result.Reason != base::Reason::None)
    return Result;
  Attempt.StartBy = startBy(Attempt, Now);
  if (isBounded(Rank, Attempt, Now))
    Attempt.StartBy = std::min(Attempt.StartBy, Now + patienceOf(Attempt));
  if (Facts.HandsBack)
    Attempt.StartBy = std::min(Attempt.StartBy, Now + handBackAfter(Attempt));
  insert(Queue, Rank, Attempt);
  return Result;
}

QueuedAttempt *peekNextToRun(AdmissionState &State,
                             const base::ServiceName &Service,
                             std::uint32_t OpenSlots, base::TimePoint Now) {
  auto Found = State.Queues.find(Service);
  if (Found == State.Queues.end())
    return nullptr;
  Found->second.OpenSlots = OpenSlots;
  advanceShares(Found->second, Now);
  RankQueue *Rank = chooseRank(Found->second);
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
  auto Found = State.Queues.find(Attempt.Facts.Service);
  if (Found == State.Queues.end())
    return;
  ServiceQueue &Queue = Found->second;
  advanceShares(Queue, Now);
  noteSlotReleased(Queue.ByRank[Attempt.RankOrder], Attempt.ExpectedTime,
                   Now - Attempt.SlotTakenAt);
  bool Whole = Outcome.What == base::Verdict::Ran &&
               Outcome.Why != base::Reason::BackendShed;
  if (Attempt.StartedAt == base::TimePoint{} ||
      (!Whole && Outcome.Why != base::Reason::BackendTimeout))
    return;
  auto [Mean, Fresh] =
      Queue.ServiceTimes.emplace(Attempt.Facts.Kind, Now - Attempt.StartedAt);
  if (!Fresh)
    Mean->second +=
        base::scaled(Now - Attempt.StartedAt - Mean->second, FreshShare);
  base::Duration &OfRank = Queue.ByRank[Attempt.RankOrder].MeanServiceTime;
  OfRank =
      OfRank == base::Duration{}
          ? Now - Attempt.StartedAt
          : OfRank + base::scaled(Now - Attempt.StartedAt - OfRank, FreshShare);
}

void dequeue(AdmissionState &State, QueuedAttempt &Attempt) {
  if (!Attempt.is_linked())
    return;
  ServiceQueue &Queue = State.Queues.at(Attempt.Facts.Service);
  remove(Queue, Queue.ByRank.at(Attempt.RankOrder), Attempt);
}

// StartBy was set by what was known of the kind on arrival. By now its time may
// be known better, and work that is started too late may run for nobody.
bool isLate(const AdmissionState &State, const QueuedAttempt &Attempt,
            base::TimePoint Now) {
  if (Now > Attempt.StartBy)
    return true;
  auto Queue = State.Queues.find(Attempt.Facts.Service);
  if (Queue == State.Queues.end() || Now == Attempt.ArrivedAt)
    return false;
  return Now + expectedTime(Queue->second, Attempt.Facts.Kind) >
         Attempt.Deadline;
}

base::Reason lateReason(const QueuedAttempt &Attempt, base::TimePoint Now) {
  if (Now >= Attempt.Deadline)
    return base::Reason::DeadlinePassed;
  if (Attempt.Facts.HandsBack && Now >= Attempt.StartBy)
    return base::Reason::LongWait;
  bool Pressed = Attempt.StartBy < startBy(Attempt, Attempt.ArrivedAt);
  return Pressed && Now >= Attempt.StartBy ? base::Reason::ShedByPressure
                                           : base::Reason::DeadlineTooShort;
}

} // namespace currantgauge::admission

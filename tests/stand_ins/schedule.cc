#include "tests/stand_ins/schedule.h"

#include "currantgauge/core/reduce.h"
#include "currantgauge/core/timer.h"

#include <string>
#include <utility>
#include <variant>

namespace currantgauge::stand_ins {
namespace detail {
namespace {

// Nodes from this index on own a backend server. Every node can be an entry.
constexpr std::size_t FirstOwnerIndex = 2;
constexpr std::size_t NodeCount = 4;
// Timers fire only in spans of this length, at the start and at LateStart.
constexpr base::Duration ScheduleLength = base::seconds(9);
// Later than nodes remember actions: only the rows of the store still show
// earlier requests.
constexpr base::TimePoint LateStart{base::minutes(11).Micros};
constexpr base::UnixTime WallAtStart{1700000000000};

config::ConfigurationPtr makeConfig() {
  auto *Config = new config::Configuration;
  Config->Services[base::ServiceName("cutlist")].Name =
      base::ServiceName("cutlist");
  config::KindSettings &Commit = Config->Kinds[base::KindName("commit")];
  Commit.Name = base::KindName("commit");
  Commit.Service = base::ServiceName("cutlist");
  Commit.Rank = base::RankName("urgent");
  Commit.Deadline = base::milliseconds(1500);
  Commit.Idempotent = false;
  Config->Ranks[base::RankName("urgent")].Name = base::RankName("urgent");
  Config->Routes["all"] =
      config::RouteSettings{"all", "", "/", base::KindName("commit")};
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

base::NodeName nameOf(std::size_t Index) {
  return base::NodeName("node-" + std::to_string(Index));
}

base::BackendName serverOf(std::size_t Index) {
  return base::BackendName("cutlist-" + std::to_string(Index));
}

// All nodes know each other and the backend servers from the start. Messages
// between nodes are not simulated.
void addKnownMembers(core::State &Node) {
  for (std::size_t Index = 0; Index < NodeCount; ++Index)
    Node.Membership.Members[nameOf(Index)].Record.Name = nameOf(Index);
  Node.Membership.Members.erase(Node.Self.Name);
  for (std::size_t Index = FirstOwnerIndex; Index < NodeCount; ++Index) {
    routing::BackendRecord Record;
    Record.Name = serverOf(Index);
    Record.Service = base::ServiceName("cutlist");
    Record.Owner = nameOf(Index);
    Record.Address = base::NetAddress("127.0.0.1:1");
    Record.Incarnation = base::Incarnation(1);
    Record.Revision = 1;
    Record.Slots = 4;
    routing::BackendServer &Server = Node.Routing.Servers[Record.Name];
    Server.Record = Record;
    Node.Routing.ByService[Record.Service].insert(Record.Name);
    if (Record.Owner == Node.Self.Name)
      Node.Routing.Owned.insert(Record.Name);
  }
}

void startNode(Simulation &Sim, std::size_t Index) {
  ScheduledNode &Node = Sim.Nodes[Index];
  core::NodeIdentity Self;
  Self.Name = nameOf(Index);
  bool SameIncarnation = Sim.Defect == InjectedDefect::KeepIncarnation;
  Self.Incarnation = base::Incarnation(
      (SameIncarnation ? 1 : ++Node.Incarnation) * 100 + Index);
  if (SameIncarnation)
    ++Node.Incarnation;
  Self.ActionSecret = "secret";
  Node.State = core::makeState(Self, Sim.Random());
  Node.State.Config.Current = makeConfig();
  Node.State.Ready = true;
  addKnownMembers(Node.State);
  Node.Answers.clear();
  Node.StoredAnswers.clear();
  Node.Exchanges.clear();
  core::setTimer(Node.State.Timers, Sim.Now, core::ActionRound{});
  deliver(Sim, Index, Node.Incarnation, core::TimerFired{});
}

void addViolation(Simulation &Sim, std::string Description) {
  Sim.Result.Violations.push_back(std::move(Description));
}

void endRequest(Simulation &Sim, const base::RequestId &Request,
                base::Verdict Verdict, base::Reason Reason) {
  ScheduledRequest &Scheduled = Sim.Requests[Request.Sequence];
  if (Scheduled.Ended)
    addViolation(Sim, "a request ended twice");
  Scheduled.Ended = true;
  Scheduled.Verdict = Verdict;
  std::string Name(base::verdictName(Verdict));
  if (Reason != base::Reason::None)
    Name += " " + std::string(base::reasonName(Reason));
  ++Sim.Result.Outcomes[Name];
}

void execute(Simulation &Sim, std::size_t Index,
             const core::StartAttempt &Effect) {
  startAttempt(Sim, Index, Effect);
}
void execute(Simulation &Sim, std::size_t, const core::CancelAttempt &Effect) {
  cancelAttempt(Sim, Effect);
}
void execute(Simulation &Sim, std::size_t Index,
             const core::EndAttempt &Effect) {
  endAttempt(Sim, Index, Effect);
}
void execute(Simulation &Sim, std::size_t Index,
             const core::SendToBackend &Effect) {
  startExchange(Sim, Index, Effect);
}
void execute(Simulation &Sim, std::size_t Index,
             const core::CancelExchange &Effect) {
  cancelExchange(Sim, Index, Effect);
}
void execute(Simulation &Sim, std::size_t Index,
             const core::CallStore &Effect) {
  callStore(Sim, Index, Effect);
}

void execute(Simulation &Sim, std::size_t Index, const core::WakeAt &Effect) {
  base::TimePoint Start;
  if (Sim.Now >= LateStart)
    Start = LateStart;
  if (Effect.Time > Start + ScheduleLength)
    return;
  std::uint64_t Incarnation = Sim.Nodes[Index].Incarnation;
  scheduleAfter(Sim, Effect.Time - Sim.Now, [&Sim, Index, Incarnation] {
    deliver(Sim, Index, Incarnation, core::TimerFired{});
  });
}

void execute(Simulation &Sim, std::size_t Index,
             const core::KeepAnswer &Effect) {
  ScheduledNode &Node = Sim.Nodes[Index];
  Node.StoredAnswers[Effect.Attempt] = Node.Answers.at(Effect.Attempt);
}

void execute(Simulation &Sim, std::size_t Index,
             const core::DropAnswer &Effect) {
  if (Sim.Nodes[Index].StoredAnswers.erase(Effect.Attempt) == 0)
    addViolation(Sim, "dropped an answer that was not stored");
}

void execute(Simulation &Sim, std::size_t Index,
             const core::ReplayAnswer &Effect) {
  ScheduledNode &Node = Sim.Nodes[Index];
  if (!Node.StoredAnswers.contains(Effect.OriginalAttempt))
    return addViolation(Sim, "replayed an answer that was not stored");
  Node.Answers[Effect.Attempt] = Node.StoredAnswers[Effect.OriginalAttempt];
  ++Sim.Result.Outcomes["answers repeated"];
}

void execute(Simulation &Sim, std::size_t Index,
             const core::DeliverAnswer &Effect) {
  const ScheduledRequest &Request = Sim.Requests[Effect.Request.Sequence];
  std::string Expected =
      std::to_string(Request.Action) + ":" + std::to_string(Request.Body);
  if (Sim.Nodes[Index].Answers[Effect.Attempt] != Expected)
    addViolation(Sim, "a caller got the answer to another request");
  endRequest(Sim, Effect.Request, Effect.Verdict, base::Reason::None);
}

void execute(Simulation &Sim, std::size_t, const core::RefuseRequest &Effect) {
  endRequest(Sim, Effect.Request, Effect.Verdict, Effect.Reason);
}

void execute(Simulation &Sim, std::size_t, const core::AnswerActionId &Effect) {
  Sim.Actions[Effect.Request.Sequence].Token = Effect.Action;
}

template <typename EffectType>
void execute(Simulation &, std::size_t, const EffectType &) {}

void sendRequest(Simulation &Sim, std::size_t Entry, std::size_t Action,
                 std::uint64_t Body) {
  const ScheduledAction &Requested = Sim.Actions[Action];
  core::RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sim.Requests.size()};
  Arrival.Facts.Method = "POST";
  Arrival.Facts.Path = "/commit";
  Arrival.Facts.IdempotencyKey = Requested.Key;
  Arrival.Facts.Action = Requested.Token;
  Arrival.Facts.BodyHash = base::BodyHash(Body);
  ScheduledRequest Request;
  Request.Action = Action;
  Request.Body = Body;
  std::uint64_t Incarnation = Sim.Nodes[Entry].Incarnation;
  Request.Entry = Entry;
  Request.EntryIncarnation = Incarnation;
  Request.CallerGone = drawChance(Sim, 10);
  Sim.Requests.push_back(Request);
  deliver(Sim, Entry, Incarnation, Arrival);
  if (!Request.CallerGone)
    return;
  scheduleAfter(Sim, drawDuration(Sim, 100),
                [&Sim, Entry, Incarnation, Arrival] {
                  deliver(Sim, Entry, Incarnation,
                          core::CallerGone{Arrival.Facts.Request});
                });
}

// Repeats an action after the nodes have forgotten it.
void planLateRequest(Simulation &Sim, std::size_t Action) {
  std::size_t Entry = base::uniformBelow(Sim.Random, NodeCount);
  scheduleAfter(Sim, LateStart - Sim.Now, [&Sim, Entry, Action] {
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      deliver(Sim, Index, Sim.Nodes[Index].Incarnation, core::TimerFired{});
    sendRequest(Sim, Entry, Action, 1);
  });
}

// Sends an action up to four times, to random entries, before or after earlier
// responses. A few of the requests have another body than the rest.
void planRequests(Simulation &Sim, std::size_t Action, base::Duration Start) {
  std::uint64_t Count = 1 + base::uniformBelow(Sim.Random, 4);
  for (std::uint64_t Number = 0; Number < Count; ++Number) {
    std::size_t Entry = base::uniformBelow(Sim.Random, NodeCount);
    std::uint64_t Body = drawChance(Sim, 5) ? 2 : 1;
    base::Duration Delay =
        Start + drawDuration(Sim, drawChance(Sim, 50) ? 20 : 3000);
    scheduleAfter(Sim, Delay, [&Sim, Entry, Action, Body] {
      sendRequest(Sim, Entry, Action, Body);
    });
  }
  if (drawChance(Sim, 15))
    planLateRequest(Sim, Action);
}

// Half of the actions have an idempotency key, one in ten has neither key nor
// id, and the others have an action id that a node issued.
void planAction(Simulation &Sim) {
  std::size_t Action = Sim.Actions.size();
  Sim.Actions.emplace_back();
  std::uint64_t Kind = base::uniformBelow(Sim.Random, 10);
  if (Kind < 5) {
    Sim.Actions[Action].Key =
        base::IdempotencyKey("key-" + std::to_string(Action));
    return planRequests(Sim, Action, base::Duration{});
  }
  if (Kind == 5) { // neither key nor id: sent once
    std::size_t Entry = base::uniformBelow(Sim.Random, NodeCount);
    scheduleAfter(Sim, drawDuration(Sim, 1000), [&Sim, Entry, Action] {
      sendRequest(Sim, Entry, Action, 1);
    });
    return;
  }
  std::size_t Issuer = base::uniformBelow(Sim.Random, NodeCount);
  deliver(Sim, Issuer, Sim.Nodes[Issuer].Incarnation,
          core::ActionIdRequested{base::RequestId{2, Action}});
  planRequests(Sim, Action, base::milliseconds(1));
}

void planNodeFaults(Simulation &Sim) {
  if (drawChance(Sim, 40)) {
    std::size_t Index = base::uniformBelow(Sim.Random, NodeCount);
    base::Duration Length = drawDuration(Sim, 2500);
    scheduleAfter(Sim, drawDuration(Sim, 2000), [&Sim, Index, Length] {
      Sim.Nodes[Index].PausedUntil = Sim.Now + Length;
    });
  }
  if (drawChance(Sim, 40)) {
    std::size_t Index = base::uniformBelow(Sim.Random, NodeCount);
    scheduleAfter(Sim, drawDuration(Sim, 2500), [&Sim, Index] {
      reportLostPeer(Sim, Index);
      startNode(Sim, Index);
    });
  }
  if (drawChance(Sim, 20)) {
    Sim.StoreOutageStart = Sim.Now + drawDuration(Sim, 2000);
    Sim.StoreOutageEnd = Sim.StoreOutageStart + drawDuration(Sim, 2000);
  }
}

void checkResult(Simulation &Sim) {
  for (const ScheduledAction &Action : Sim.Actions)
    if (Action.Runs > 1)
      addViolation(Sim,
                   "an action ran " + std::to_string(Action.Runs) + " times");
  for (const ScheduledRequest &Request : Sim.Requests) {
    if (Request.Ended && Request.Verdict == base::Verdict::NotRun &&
        Request.Runs > 0)
      addViolation(Sim, "a request was reported as not run but ran");
    bool EntryStillRuns =
        Sim.Nodes[Request.Entry].Incarnation == Request.EntryIncarnation;
    if (!Request.Ended && !Request.CallerGone && EntryStillRuns)
      addViolation(Sim, "a request never ended");
  }
}

} // namespace

void scheduleAfter(Simulation &Sim, base::Duration Delay,
                   std::function<void()> Callback) {
  Sim.Queue.emplace(std::make_pair(Sim.Now + Delay, ++Sim.Sequence),
                    std::move(Callback));
}

bool drawChance(Simulation &Sim, unsigned Percent) {
  return base::uniformBelow(Sim.Random, 100) < Percent;
}

base::Duration drawDuration(Simulation &Sim, std::int64_t Millis) {
  return base::microseconds(static_cast<std::int64_t>(base::uniformBelow(
      Sim.Random, static_cast<std::uint64_t>(Millis) * 1000 + 1)));
}

void deliver(Simulation &Sim, std::size_t To, std::uint64_t Incarnation,
             core::EventBody Body) {
  ScheduledNode &Node = Sim.Nodes[To];
  if (Node.Incarnation != Incarnation)
    return;
  if (Node.PausedUntil > Sim.Now) {
    scheduleAfter(Sim, Node.PausedUntil - Sim.Now,
                  [&Sim, To, Incarnation, Body = std::move(Body)] {
                    deliver(Sim, To, Incarnation, Body);
                  });
    return;
  }
  core::EffectList Effects;
  base::UnixTime Wall{WallAtStart.Millis + Sim.Now.Micros / 1000};
  core::reduce(Node.State, core::Event{Sim.Now, Wall, std::move(Body)},
               Effects);
  for (const core::Effect &Item : Effects)
    std::visit([&](const auto &Effect) { execute(Sim, To, Effect); }, Item);
}

} // namespace detail

ScheduleResult runSchedule(std::uint64_t Seed, InjectedDefect Defect) {
  using namespace detail;
  Simulation Sim;
  Sim.Random.seed(Seed);
  Sim.Defect = Defect;
  Sim.Now = base::TimePoint{1000};
  Sim.Nodes.resize(NodeCount);
  for (std::size_t Index = 0; Index < NodeCount; ++Index)
    startNode(Sim, Index);
  std::uint64_t Count = 1 + base::uniformBelow(Sim.Random, 3);
  for (std::uint64_t Number = 0; Number < Count; ++Number)
    planAction(Sim);
  planNodeFaults(Sim);
  while (!Sim.Queue.empty()) {
    auto Next = Sim.Queue.begin();
    Sim.Now = Next->first.first;
    std::function<void()> Callback = std::move(Next->second);
    Sim.Queue.erase(Next);
    Callback();
  }
  checkResult(Sim);
  return std::move(Sim.Result);
}

} // namespace currantgauge::stand_ins

#include "tests/stand_ins/schedule.h"

#include "currantgauge/core/reduce.h"
#include "currantgauge/core/timer.h"

#include <string>
#include <utility>
#include <variant>

namespace currantgauge::stand_ins {
namespace detail {
namespace {

constexpr std::size_t Entries = 2;
constexpr std::size_t NodeCount = 4;
// Timers run in these spans; between them nothing happens.
constexpr base::Duration ScheduleLength = base::seconds(9);
// Past what nodes remember: rows alone tell of earlier asks.
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

// Every node knows the others and both owners' servers from the start; the
// talk between nodes is not part of these schedules.
void introduce(core::State &Node) {
  for (std::size_t Index = 0; Index < NodeCount; ++Index)
    Node.Membership.Members[nameOf(Index)].Record.Name = nameOf(Index);
  Node.Membership.Members.erase(Node.Self.Name);
  for (std::size_t Index = Entries; Index < NodeCount; ++Index) {
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

void startNode(Simulation &In, std::size_t Index) {
  ScheduledNode &Node = In.Nodes[Index];
  core::NodeIdentity Self;
  Self.Name = nameOf(Index);
  bool SameLife = In.Defect == InjectedDefect::KeepIncarnation;
  Self.Incarnation =
      base::Incarnation((SameLife ? 1 : ++Node.Incarnation) * 100 + Index);
  if (SameLife)
    ++Node.Incarnation;
  Self.ActionSecret = "secret";
  Node.State = core::makeState(Self, In.Random());
  Node.State.Config.Current = makeConfig();
  Node.State.Ready = true;
  introduce(Node.State);
  Node.Answers.clear();
  Node.StoredAnswers.clear();
  Node.Exchanges.clear();
  core::setTimer(Node.State.Timers, In.Now, core::ActionRound{});
  deliver(In, Index, Node.Incarnation, core::TimerFired{});
}

void violate(Simulation &In, std::string What) {
  In.Result.Violations.push_back(std::move(What));
}

void end(Simulation &In, const base::RequestId &Request, base::Verdict What,
         base::Reason Why) {
  ScheduledRequest &Ask = In.Requests[Request.Sequence];
  if (Ask.Ended)
    violate(In, "a request ended twice");
  Ask.Ended = true;
  Ask.Verdict = What;
  std::string Name(base::verdictName(What));
  if (Why != base::Reason::None)
    Name += " " + std::string(base::reasonName(Why));
  ++In.Result.Outcomes[Name];
}

void carryOut(Simulation &In, std::size_t At, const core::StartAttempt &What) {
  startAttempt(In, At, What);
}
void carryOut(Simulation &In, std::size_t, const core::CancelAttempt &What) {
  cancelAttempt(In, What);
}
void carryOut(Simulation &In, std::size_t At, const core::EndAttempt &What) {
  endAttempt(In, At, What);
}
void carryOut(Simulation &In, std::size_t At, const core::SendToBackend &What) {
  startExchange(In, At, What);
}
void carryOut(Simulation &In, std::size_t At,
              const core::CancelExchange &What) {
  cancelExchange(In, At, What);
}
void carryOut(Simulation &In, std::size_t At, const core::CallStore &What) {
  callStore(In, At, What);
}

void carryOut(Simulation &In, std::size_t At, const core::WakeAt &What) {
  base::TimePoint Start;
  if (In.Now >= LateStart)
    Start = LateStart;
  if (What.Time > Start + ScheduleLength)
    return;
  std::uint64_t Life = In.Nodes[At].Incarnation;
  scheduleAfter(In, What.Time - In.Now,
                [&In, At, Life] { deliver(In, At, Life, core::TimerFired{}); });
}

void carryOut(Simulation &In, std::size_t At, const core::KeepAnswer &What) {
  ScheduledNode &Node = In.Nodes[At];
  Node.StoredAnswers[What.Attempt] = Node.Answers.at(What.Attempt);
}

void carryOut(Simulation &In, std::size_t At, const core::DropAnswer &What) {
  if (In.Nodes[At].StoredAnswers.erase(What.Attempt) == 0)
    violate(In, "forgot an answer that was not kept");
}

void carryOut(Simulation &In, std::size_t At, const core::ReplayAnswer &What) {
  ScheduledNode &Node = In.Nodes[At];
  if (!Node.StoredAnswers.contains(What.OriginalAttempt))
    return violate(In, "repeated an answer that was not kept");
  Node.Answers[What.Attempt] = Node.StoredAnswers[What.OriginalAttempt];
  ++In.Result.Outcomes["answers repeated"];
}

void carryOut(Simulation &In, std::size_t At, const core::DeliverAnswer &What) {
  const ScheduledRequest &Ask = In.Requests[What.Request.Sequence];
  std::string Whole =
      std::to_string(Ask.Action) + ":" + std::to_string(Ask.Body);
  if (In.Nodes[At].Answers[What.Attempt] != Whole)
    violate(In, "a caller got another answer");
  end(In, What.Request, What.Verdict, base::Reason::None);
}

void carryOut(Simulation &In, std::size_t, const core::RefuseRequest &What) {
  end(In, What.Request, What.Verdict, What.Reason);
}

void carryOut(Simulation &In, std::size_t, const core::AnswerActionId &What) {
  In.Actions[What.Request.Sequence].Token = What.Action;
}

template <typename Other>
void carryOut(Simulation &, std::size_t, const Other &) {}

void ask(Simulation &In, std::size_t Entry, std::size_t Action,
         std::uint64_t Body) {
  const ScheduledAction &Wanted = In.Actions[Action];
  core::RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, In.Requests.size()};
  Arrival.Facts.Method = "POST";
  Arrival.Facts.Path = "/commit";
  Arrival.Facts.IdempotencyKey = Wanted.Key;
  Arrival.Facts.Action = Wanted.Token;
  Arrival.Facts.BodyHash = base::BodyHash(Body);
  ScheduledRequest Ask;
  Ask.Action = Action;
  Ask.Body = Body;
  std::uint64_t Life = In.Nodes[Entry].Incarnation;
  Ask.Entry = Entry;
  Ask.EntryIncarnation = Life;
  Ask.CallerGone = drawChance(In, 10);
  In.Requests.push_back(Ask);
  deliver(In, Entry, Life, Arrival);
  if (!Ask.CallerGone)
    return;
  scheduleAfter(In, drawDuration(In, 100), [&In, Entry, Life, Arrival] {
    deliver(In, Entry, Life, core::CallerGone{Arrival.Facts.Request});
  });
}

// Long after, when the nodes have forgotten, an action is asked for again.
void planLateAsk(Simulation &In, std::size_t Action) {
  std::size_t Entry = base::uniformBelow(In.Random, NodeCount);
  scheduleAfter(In, LateStart - In.Now, [&In, Entry, Action] {
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      deliver(In, Index, In.Nodes[Index].Incarnation, core::TimerFired{});
    ask(In, Entry, Action, 1);
  });
}

// A caller repeats its action, at any entry, before or after it was told.
void planAsks(Simulation &In, std::size_t Action, base::Duration From) {
  std::uint64_t Count = 1 + base::uniformBelow(In.Random, 4);
  for (std::uint64_t Number = 0; Number < Count; ++Number) {
    std::size_t Entry = base::uniformBelow(In.Random, NodeCount);
    std::uint64_t Body = drawChance(In, 5) ? 2 : 1;
    base::Duration At = From + drawDuration(In, drawChance(In, 50) ? 20 : 3000);
    scheduleAfter(In, At,
                  [&In, Entry, Action, Body] { ask(In, Entry, Action, Body); });
  }
  if (drawChance(In, 15))
    planLateAsk(In, Action);
}

void planAction(Simulation &In) {
  std::size_t Action = In.Actions.size();
  In.Actions.emplace_back();
  std::uint64_t Way = base::uniformBelow(In.Random, 10);
  if (Way < 5) {
    In.Actions[Action].Key =
        base::IdempotencyKey("key-" + std::to_string(Action));
    return planAsks(In, Action, base::Duration{});
  }
  if (Way == 5) { // neither key nor id: asked once
    std::size_t Entry = base::uniformBelow(In.Random, NodeCount);
    scheduleAfter(In, drawDuration(In, 1000),
                  [&In, Entry, Action] { ask(In, Entry, Action, 1); });
    return;
  }
  std::size_t Issuer = base::uniformBelow(In.Random, NodeCount);
  deliver(In, Issuer, In.Nodes[Issuer].Incarnation,
          core::ActionIdRequested{base::RequestId{2, Action}});
  planAsks(In, Action, base::milliseconds(1));
}

void planNodeFaults(Simulation &In) {
  if (drawChance(In, 40)) {
    std::size_t Index = base::uniformBelow(In.Random, NodeCount);
    base::Duration Length = drawDuration(In, 2500);
    scheduleAfter(In, drawDuration(In, 2000), [&In, Index, Length] {
      In.Nodes[Index].PausedUntil = In.Now + Length;
    });
  }
  if (drawChance(In, 40)) {
    std::size_t Index = base::uniformBelow(In.Random, NodeCount);
    scheduleAfter(In, drawDuration(In, 2500), [&In, Index] {
      reportLostPeer(In, Index);
      startNode(In, Index);
    });
  }
  if (drawChance(In, 20)) {
    In.StoreOutageStart = In.Now + drawDuration(In, 2000);
    In.StoreOutageEnd = In.StoreOutageStart + drawDuration(In, 2000);
  }
}

void checkEnd(Simulation &In) {
  for (const ScheduledAction &Action : In.Actions)
    if (Action.Runs > 1)
      violate(In, "an action ran " + std::to_string(Action.Runs) + " times");
  for (const ScheduledRequest &Ask : In.Requests) {
    if (Ask.Ended && Ask.Verdict == base::Verdict::NotRun && Ask.Runs > 0)
      violate(In, "a request was told not run but ran");
    bool EntryLives = In.Nodes[Ask.Entry].Incarnation == Ask.EntryIncarnation;
    if (!Ask.Ended && !Ask.CallerGone && EntryLives)
      violate(In, "a request never ended");
  }
}

} // namespace

void scheduleAfter(Simulation &In, base::Duration Delay,
                   std::function<void()> What) {
  In.Queue.emplace(std::make_pair(In.Now + Delay, ++In.Sequence),
                   std::move(What));
}

bool drawChance(Simulation &In, unsigned PerCent) {
  return base::uniformBelow(In.Random, 100) < PerCent;
}

base::Duration drawDuration(Simulation &In, std::int64_t Millis) {
  return base::microseconds(static_cast<std::int64_t>(base::uniformBelow(
      In.Random, static_cast<std::uint64_t>(Millis) * 1000 + 1)));
}

void deliver(Simulation &In, std::size_t To, std::uint64_t Life,
             core::EventBody Body) {
  ScheduledNode &Node = In.Nodes[To];
  if (Node.Incarnation != Life)
    return;
  if (Node.PausedUntil > In.Now) {
    scheduleAfter(In, Node.PausedUntil - In.Now,
                  [&In, To, Life, Body = std::move(Body)] {
                    deliver(In, To, Life, Body);
                  });
    return;
  }
  core::EffectList Effects;
  base::UnixTime Wall{WallAtStart.Millis + In.Now.Micros / 1000};
  core::reduce(Node.State, core::Event{In.Now, Wall, std::move(Body)}, Effects);
  for (const core::Effect &Item : Effects)
    std::visit([&](const auto &What) { carryOut(In, To, What); }, Item);
}

} // namespace detail

ScheduleResult runSchedule(std::uint64_t Seed, InjectedDefect Broken) {
  using namespace detail;
  Simulation In;
  In.Random.seed(Seed);
  In.Defect = Broken;
  In.Now = base::TimePoint{1000};
  In.Nodes.resize(NodeCount);
  for (std::size_t Index = 0; Index < NodeCount; ++Index)
    startNode(In, Index);
  std::uint64_t Count = 1 + base::uniformBelow(In.Random, 3);
  for (std::uint64_t Number = 0; Number < Count; ++Number)
    planAction(In);
  planNodeFaults(In);
  while (!In.Queue.empty()) {
    auto Next = In.Queue.begin();
    In.Now = Next->first.first;
    std::function<void()> What = std::move(Next->second);
    In.Queue.erase(Next);
    What();
  }
  checkEnd(In);
  return std::move(In.Result);
}

} // namespace currantgauge::stand_ins

// Runs a scenario in virtual time through the real reducers of every node, with
// small fakes of the network and the backend servers.
//
//   Simulation Run = makeSimulation(Flood);
//   runSimulation(Run);
//   Report Figures = reportOf(Run);
#ifndef BENCH_FLOOD_SIMULATION_H
#define BENCH_FLOOD_SIMULATION_H

#include "bench/flood_scenario.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/reduce.h"
#include "currantgauge/core/state.h"
#include "currantgauge/routing/registry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::bench {

// Occurrence is an event on its way to a node.
struct Occurrence {
  base::TimePoint At;
  std::uint64_t Order = 0;
  std::size_t Node = 0;
  core::EventBody Body;
};

struct LaterOccurrence {
  bool operator()(const Occurrence &A, const Occurrence &B) const {
    return std::pair(A.At, A.Order) > std::pair(B.At, B.Order);
  }
};

// FakeServer is a backend server: it works for a while, then answers.
struct FakeServer {
  std::uint32_t Index = 0; // within its service
  std::uint32_t Slots = 0;
  std::uint32_t Running = 0;
};

// Exchange is an attempt that a fake server works on.
struct Exchange {
  base::BackendName Server;
  base::Duration Took;
  bool Over = false;
};

// Simulation is a fleet in virtual time.
struct Simulation {
  Scenario Flood;
  std::vector<Arrival> Work;
  std::vector<Record> Records;
  std::vector<std::unique_ptr<core::State>> Nodes;
  std::map<base::NodeName, std::size_t> ByName;
  std::map<base::BackendName, FakeServer> Servers;
  std::map<base::AttemptId, Exchange> Exchanges;
  std::map<base::AttemptId, std::size_t> Owners; // of running attempts
  std::priority_queue<Occurrence, std::vector<Occurrence>, LaterOccurrence>
      Pending;
  std::uint64_t LastOrder = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t SlotOverruns = 0;
  bool ViewsSplit = false;
};

namespace detail {

constexpr base::Duration FailureDetection = base::seconds(1);
constexpr base::Duration ConnectFailure = base::milliseconds(10);

inline base::RegionName regionOf(std::size_t Node) {
  return base::RegionName(Node % 2 == 0 ? "north" : "south");
}

inline void schedule(Simulation &Run, base::TimePoint At, std::size_t Node,
                     core::EventBody Body) {
  Run.Pending.push({At, ++Run.LastOrder, Node, std::move(Body)});
}

inline base::Duration latency(const Simulation &Run, std::size_t A,
                              std::size_t B) {
  if (A == B)
    return {};
  return A % 2 == B % 2 ? Run.Flood.Fleet.InRegion : Run.Flood.Fleet.Link;
}

inline bool isCut(const Simulation &Run, std::size_t A, std::size_t B,
                  base::TimePoint Now) {
  return Run.Flood.Kind == FloodKind::RegionCut &&
         Now >= Run.Flood.FloodStarts && A % 2 != B % 2;
}

inline void addNode(Simulation &Run, const ServicePlan &Plan,
                    std::uint32_t Index, config::ConfigurationPtr Config) {
  std::size_t Number = Run.Nodes.size();
  core::NodeIdentity Self;
  Self.Name = base::NodeName("node-" + std::to_string(Number));
  Self.Region = regionOf(Number);
  Self.Domain =
      base::DomainName(Self.Region.Value + (Number % 4 < 2 ? "-a" : "-b"));
  Self.PeerAddress = base::NetAddress("10.0.0." + std::to_string(Number));
  Self.Incarnation = base::Incarnation(Number + 1);
  auto Node = std::make_unique<core::State>(
      core::makeState(Self, Run.Flood.Seed * 1000 + Number));
  Node->Config.Current = std::move(Config);
  routing::Announcement Word;
  Word.Name = base::BackendName(Plan.Name + "-" + std::to_string(Index));
  Word.Service = base::ServiceName(Plan.Name);
  Word.Incarnation = base::Incarnation(1);
  Word.Slots = Plan.Slots;
  Run.Servers[Word.Name] = FakeServer{Index, Plan.Slots, 0};
  Run.ByName[Self.Name] = Number;
  Run.Nodes.push_back(std::move(Node));
  schedule(Run, base::TimePoint{}, Number, core::BackendAnnounced{Word});
}

// Every node knows every backend server: gossip is not part of this run.
inline void shareViews(Simulation &Run) {
  for (const auto &Node : Run.Nodes)
    for (const auto &Other : Run.Nodes) {
      if (Node == Other)
        continue;
      Node->Membership.Members[Other->Self.Name].Record =
          Other->Membership.Self;
      for (const base::BackendName &Name : Other->Routing.Owned)
        routing::mergeRecord(Node->Routing,
                             Other->Routing.Servers.at(Name).Record,
                             base::TimePoint{1});
    }
}

inline void splitViews(Simulation &Run) {
  Run.ViewsSplit = true;
  for (const auto &Node : Run.Nodes)
    for (const auto &[Name, Number] : Run.ByName)
      if (regionOf(Number) != Node->Self.Region)
        routing::removeServersOfOwner(Node->Routing, Name);
}

inline core::AttemptEnded lost(base::AttemptId Attempt, base::Verdict What,
                               base::Reason Why) {
  core::AttemptEnded Ended;
  Ended.Attempt = Attempt;
  Ended.Outcome.Verdict = What;
  Ended.Outcome.Reason = Why;
  return Ended;
}

// Carry takes a node's effects to whom they concern.
struct Carry {
  Simulation &Run;
  std::size_t Node;
  base::TimePoint Now;

  void operator()(const core::WakeAt &E) {
    if (E.Time != base::Never)
      schedule(this->Run, std::max(E.Time, this->Now), this->Node,
               core::TimerFired{});
  }
  void operator()(const core::StartAttempt &E) {
    ++this->Run.Attempts;
    std::size_t To = this->Run.ByName.at(E.Owner);
    Record &Request = this->Run.Records[E.Facts.Request.Sequence - 1];
    if (admission::pressureCost(
            this->Run.Nodes[this->Node]->Admission, E.Facts.Service, E.Owner,
            static_cast<std::uint32_t>(Request.Asked.Rank), this->Now) <= 0)
      Request.Known = false;
    if (isCut(this->Run, this->Node, To, this->Now))
      return schedule(this->Run, this->Now + ConnectFailure, this->Node,
                      lost(E.Facts.Attempt, base::Verdict::NotRun,
                           base::Reason::PeerUnavailable));
    this->Run.Owners[E.Facts.Attempt] = To;
    schedule(this->Run, this->Now + latency(this->Run, this->Node, To), To,
             core::AttemptArrived{E.Facts});
  }
  void operator()(const core::CancelAttempt &E) {
    auto To = this->Run.Owners.find(E.Attempt);
    if (To != this->Run.Owners.end())
      schedule(this->Run,
               this->Now + latency(this->Run, this->Node, To->second),
               To->second, core::AttemptCancelled{E.Attempt});
  }
  void operator()(const core::SendToBackend &E) {
    FakeServer &Server = this->Run.Servers.at(E.Server);
    if (++Server.Running > Server.Slots)
      ++this->Run.SlotOverruns;
    const core::OwnerState &Owner = this->Run.Nodes[this->Node]->Owner;
    std::size_t Request =
        Owner.Attempts.at(E.Attempt)->Facts.Request.Sequence - 1;
    base::Duration Took = this->Run.Work[Request].Work;
    if (isSick(this->Run.Flood, Server.Index, this->Now))
      Took = base::scale(Took, this->Run.Flood.SickFactor);
    this->Run.Exchanges[E.Attempt] = Exchange{E.Server, Took, false};
    core::ExchangeEnded Ended;
    Ended.Attempt = E.Attempt;
    Ended.Outcome.AnyByteSent = true;
    Ended.Outcome.AnswerComplete = true;
    Ended.Outcome.Status = 200;
    schedule(this->Run, this->Now + Took, this->Node, Ended);
  }
  void operator()(const core::CancelExchange &E) {
    Exchange &Work = this->Run.Exchanges.at(E.Attempt);
    if (std::exchange(Work.Over, true))
      return;
    --this->Run.Servers.at(Work.Server).Running;
    core::ExchangeEnded Ended;
    Ended.Attempt = E.Attempt;
    Ended.Outcome.Reason = E.Reason;
    Ended.Outcome.AnyByteSent = true;
    schedule(this->Run, this->Now, this->Node, Ended);
  }
  void operator()(const core::EndAttempt &E) {
    this->Run.Owners.erase(E.Attempt);
    std::size_t Entry = E.Attempt.Origin - 1;
    core::AttemptEnded Ended{E.Attempt, E.Outcome};
    if (isCut(this->Run, this->Node, Entry, this->Now))
      Ended =
          lost(E.Attempt, base::Verdict::MayHaveRun, base::Reason::PeerLost);
    schedule(this->Run, this->Now + latency(this->Run, this->Node, Entry),
             Entry, Ended);
  }
  void operator()(const core::DeliverAnswer &E) {
    Record &Request = this->Run.Records[E.Request.Sequence - 1];
    Request.Ended = this->Now;
    Request.Answered = true;
    Request.What = base::Verdict::Ran;
    Request.SlotTime = this->Run.Exchanges.at(E.Attempt).Took;
  }
  void operator()(const core::RefuseRequest &E) {
    Record &Request = this->Run.Records[E.Request.Sequence - 1];
    Request.Ended = this->Now;
    Request.What = E.Verdict;
    Request.Why = E.Reason;
  }
  template <typename Other> void operator()(const Other &) {}
};

// isStale() says whether an answer comes from an exchange that was cancelled;
// else a whole answer frees its server here.
inline bool isStale(Simulation &Run, const core::EventBody &Body) {
  const auto *Ended = std::get_if<core::ExchangeEnded>(&Body);
  if (!Ended || !Ended->Outcome.AnswerComplete)
    return false;
  Exchange &Work = Run.Exchanges.at(Ended->Attempt);
  if (std::exchange(Work.Over, true))
    return true;
  --Run.Servers.at(Work.Server).Running;
  return false;
}

inline core::RequestArrived requestOf(const Simulation &Run,
                                      std::size_t Index) {
  const Arrival &Asked = Run.Work[Index];
  const std::string &Service = Run.Flood.Fleet.Services[Asked.Service].Name;
  core::RequestArrived Arrived;
  Arrived.Facts.Request = base::RequestId{1, Index + 1};
  Arrived.Facts.Method = "GET";
  Arrived.Facts.Path = "/" + Service + "/" + Ranks[Asked.Rank].Name;
  Arrived.Facts.Workspace =
      base::WorkspaceName("workspace-" + std::to_string(Asked.Workspace));
  return Arrived;
}

inline void step(Simulation &Run, const Occurrence &Next) {
  if (isStale(Run, Next.Body))
    return;
  core::EffectList Effects;
  core::reduce(
      *Run.Nodes[Next.Node],
      core::Event{Next.At, base::UnixTime{Next.At.Micros / 1000}, Next.Body},
      Effects);
  for (const core::Effect &Effect : Effects)
    std::visit(Carry{Run, Next.Node, Next.At}, Effect);
}

// drain() handles everything that happens before Until.
inline void drain(Simulation &Run, base::TimePoint Until) {
  while (!Run.Pending.empty() && Run.Pending.top().At < Until) {
    Occurrence Next = Run.Pending.top();
    Run.Pending.pop();
    if (Run.Flood.Kind == FloodKind::RegionCut && !Run.ViewsSplit &&
        Next.At >= Run.Flood.FloodStarts + FailureDetection)
      splitViews(Run);
    step(Run, Next);
  }
}

} // namespace detail

// makeSimulation() returns a fleet whose nodes know each other.
inline Simulation makeSimulation(const Scenario &Flood) {
  Simulation Run;
  Run.Flood = Flood;
  Run.Work = makeArrivals(Flood);
  for (const Arrival &Asked : Run.Work)
    Run.Records.push_back(Record{Asked});
  config::ConfigurationPtr Config = makeConfig(Flood.Fleet, Flood.Aim);
  for (const ServicePlan &Plan : Flood.Fleet.Services)
    for (std::uint32_t Index = 0; Index < Plan.Servers; ++Index)
      detail::addNode(Run, Plan, Index, Config);
  detail::drain(Run, base::TimePoint{1});
  detail::shareViews(Run);
  return Run;
}

// runSimulation() runs all arrivals and waits until each has its end.
inline void runSimulation(Simulation &Run) {
  for (std::size_t Index = 0; Index < Run.Work.size(); ++Index) {
    base::TimePoint At = Run.Work[Index].At;
    detail::drain(Run, At);
    std::size_t Entry = Run.Work[Index].Entry % Run.Nodes.size();
    detail::step(Run, {At, 0, Entry, detail::requestOf(Run, Index)});
  }
  detail::drain(Run, Run.Flood.Ends + base::seconds(5));
}

inline Report reportOf(const Simulation &Run) {
  Report Figures = summarize(Run.Flood, Run.Records);
  Figures.Attempts = Run.Attempts;
  Figures.SlotOverruns = Run.SlotOverruns;
  return Figures;
}

} // namespace currantgauge::bench

#endif // BENCH_FLOOD_SIMULATION_H

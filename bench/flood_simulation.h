// Runs a scenario in virtual time through the reducers of all nodes, with a
// fake network and fake backend servers.
//
//   Simulation Sim = makeSimulation(Flood);
//   runSimulation(Sim);
//   Report Figures = makeReport(Sim);
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

// PendingEvent is an event to be delivered to a node at a time.
struct PendingEvent {
  base::TimePoint Time;
  std::uint64_t Order = 0;
  std::size_t Node = 0;
  core::EventBody Body;
};

// IsLaterEvent orders pending events so that the queue's top is the earliest.
struct IsLaterEvent {
  bool operator()(const PendingEvent &A, const PendingEvent &B) const {
    return std::pair(A.Time, A.Order) > std::pair(B.Time, B.Order);
  }
};

// FakeServer is a simulated backend server that answers every request after its
// service time, also beyond its slots.
struct FakeServer {
  std::uint32_t Index = 0; // within its service
  std::uint32_t Slots = 0;
  std::uint32_t Running = 0;
};

// Exchange is an attempt sent to a fake server.
struct Exchange {
  base::BackendName Server;
  base::Duration ServiceTime;
  bool HasEnded = false;
};

// Simulation is the state of a simulated fleet.
struct Simulation {
  Scenario Flood;
  std::vector<CallerRequest> Requests;
  std::vector<RequestRecord> Records;
  std::vector<std::unique_ptr<core::State>> Nodes;
  std::map<base::NodeName, std::size_t> NodeByName;
  std::map<base::BackendName, FakeServer> Servers;
  std::map<base::AttemptId, Exchange> Exchanges;
  std::map<base::AttemptId, std::size_t> OwnerByAttempt; // of running attempts
  std::priority_queue<PendingEvent, std::vector<PendingEvent>, IsLaterEvent>
      Pending;
  std::uint64_t LastOrder = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t SlotOverruns = 0;
  bool ViewsSplit = false;
};

namespace detail {

constexpr base::Duration FailureDetectionDelay = base::seconds(1);
constexpr base::Duration ConnectFailureDelay = base::milliseconds(10);

inline base::RegionName getRegion(std::size_t Node) {
  return base::RegionName(Node % 2 == 0 ? "north" : "south");
}

inline void scheduleEvent(Simulation &Sim, base::TimePoint Time,
                          std::size_t Node, core::EventBody Body) {
  Sim.Pending.push({Time, ++Sim.LastOrder, Node, std::move(Body)});
}

inline base::Duration getLatency(const Simulation &Sim, std::size_t A,
                                 std::size_t B) {
  if (A == B)
    return {};
  return A % 2 == B % 2 ? Sim.Flood.Fleet.DomainDelay
                        : Sim.Flood.Fleet.RegionDelay;
}

inline bool isCut(const Simulation &Sim, std::size_t A, std::size_t B,
                  base::TimePoint Now) {
  return Sim.Flood.Kind == FloodKind::RegionCut &&
         Now >= Sim.Flood.FloodStart && A % 2 != B % 2;
}

inline void addNode(Simulation &Sim, const ServicePlan &Plan,
                    std::uint32_t Index, config::ConfigurationPtr Config) {
  std::size_t Number = Sim.Nodes.size();
  core::NodeIdentity Self;
  Self.Name = base::NodeName("node-" + std::to_string(Number));
  Self.Region = getRegion(Number);
  Self.Domain =
      base::DomainName(Self.Region.Value + (Number % 4 < 2 ? "-a" : "-b"));
  Self.PeerAddress = base::NetAddress("10.0.0." + std::to_string(Number));
  Self.Incarnation = base::Incarnation(Number + 1);
  auto Node = std::make_unique<core::State>(
      core::makeState(Self, Sim.Flood.Seed * 1000 + Number));
  Node->Config.Current = std::move(Config);
  routing::Announcement Announcement;
  Announcement.Name =
      base::BackendName(Plan.Name + "-" + std::to_string(Index));
  Announcement.Service = base::ServiceName(Plan.Name);
  Announcement.Incarnation = base::Incarnation(1);
  Announcement.Slots = Plan.Slots;
  Sim.Servers[Announcement.Name] = FakeServer{Index, Plan.Slots, 0};
  Sim.NodeByName[Self.Name] = Number;
  Sim.Nodes.push_back(std::move(Node));
  scheduleEvent(Sim, base::TimePoint{}, Number,
                core::BackendAnnounced{Announcement});
}

// Gives every node the records of all members and backend servers, because
// gossip is not simulated.
inline void fillRoutingViews(Simulation &Sim) {
  for (const auto &Node : Sim.Nodes)
    for (const auto &Other : Sim.Nodes) {
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

// Removes the servers of the other region from each node's view, as failure
// detection would after the regions lost contact.
inline void splitRoutingViews(Simulation &Sim) {
  Sim.ViewsSplit = true;
  for (const auto &Node : Sim.Nodes)
    for (const auto &[Name, Number] : Sim.NodeByName)
      if (getRegion(Number) != Node->Self.Region)
        routing::removeServersOfOwner(Node->Routing, Name);
}

inline core::AttemptEnded makeFailedAttempt(base::AttemptId Attempt,
                                            base::Verdict Verdict,
                                            base::Reason Reason) {
  core::AttemptEnded Ended;
  Ended.Attempt = Attempt;
  Ended.Outcome.Verdict = Verdict;
  Ended.Outcome.Reason = Reason;
  return Ended;
}

// EffectHandler schedules the events that follow from the effects of a node.
struct EffectHandler {
  Simulation &Sim;
  std::size_t Node;
  base::TimePoint Now;

  void operator()(const core::WakeAt &E) {
    if (E.Time != base::Never)
      scheduleEvent(this->Sim, std::max(E.Time, this->Now), this->Node,
                    core::TimerFired{});
  }
  void operator()(const core::StartAttempt &E) {
    ++this->Sim.Attempts;
    std::size_t To = this->Sim.NodeByName.at(E.Owner);
    RequestRecord &Record = this->Sim.Records[E.Facts.Request.Sequence - 1];
    if (admission::pressureCost(
            this->Sim.Nodes[this->Node]->Admission, E.Facts.Service, E.Owner,
            static_cast<std::uint32_t>(Record.Request.Rank), this->Now) <= 0)
      Record.PressureKnown = false;
    if (isCut(this->Sim, this->Node, To, this->Now))
      return scheduleEvent(
          this->Sim, this->Now + ConnectFailureDelay, this->Node,
          makeFailedAttempt(E.Facts.Attempt, base::Verdict::NotRun,
                            base::Reason::PeerUnavailable));
    this->Sim.OwnerByAttempt[E.Facts.Attempt] = To;
    scheduleEvent(this->Sim, this->Now + getLatency(this->Sim, this->Node, To),
                  To, core::AttemptArrived{E.Facts});
  }
  void operator()(const core::CancelAttempt &E) {
    auto To = this->Sim.OwnerByAttempt.find(E.Attempt);
    if (To != this->Sim.OwnerByAttempt.end())
      scheduleEvent(this->Sim,
                    this->Now + getLatency(this->Sim, this->Node, To->second),
                    To->second, core::AttemptCancelled{E.Attempt});
  }
  void operator()(const core::SendToBackend &E) {
    FakeServer &Server = this->Sim.Servers.at(E.Server);
    if (++Server.Running > Server.Slots)
      ++this->Sim.SlotOverruns;
    const core::OwnerState &Owner = this->Sim.Nodes[this->Node]->Owner;
    std::size_t Request =
        Owner.Attempts.at(E.Attempt)->Facts.Request.Sequence - 1;
    base::Duration ServiceTime = this->Sim.Requests[Request].ServiceTime;
    if (isSlowed(this->Sim.Flood, Server.Index, this->Now))
      ServiceTime = base::scale(ServiceTime, this->Sim.Flood.SlowdownFactor);
    this->Sim.Exchanges[E.Attempt] = Exchange{E.Server, ServiceTime, false};
    core::ExchangeEnded Ended;
    Ended.Attempt = E.Attempt;
    Ended.Outcome.AnyByteSent = true;
    Ended.Outcome.AnswerComplete = true;
    Ended.Outcome.Status = 200;
    scheduleEvent(this->Sim, this->Now + ServiceTime, this->Node, Ended);
  }
  void operator()(const core::CancelExchange &E) {
    Exchange &Running = this->Sim.Exchanges.at(E.Attempt);
    if (std::exchange(Running.HasEnded, true))
      return;
    --this->Sim.Servers.at(Running.Server).Running;
    core::ExchangeEnded Ended;
    Ended.Attempt = E.Attempt;
    Ended.Outcome.Reason = E.Reason;
    Ended.Outcome.AnyByteSent = true;
    scheduleEvent(this->Sim, this->Now, this->Node, Ended);
  }
  void operator()(const core::EndAttempt &E) {
    this->Sim.OwnerByAttempt.erase(E.Attempt);
    std::size_t Entry = E.Attempt.Origin - 1;
    core::AttemptEnded Ended{E.Attempt, E.Outcome};
    if (isCut(this->Sim, this->Node, Entry, this->Now))
      Ended = makeFailedAttempt(E.Attempt, base::Verdict::MayHaveRun,
                                base::Reason::PeerLost);
    scheduleEvent(this->Sim,
                  this->Now + getLatency(this->Sim, this->Node, Entry), Entry,
                  Ended);
  }
  void operator()(const core::DeliverAnswer &E) {
    RequestRecord &Record = this->Sim.Records[E.Request.Sequence - 1];
    Record.EndTime = this->Now;
    Record.Answered = true;
    Record.Verdict = base::Verdict::Ran;
    Record.SlotTime = this->Sim.Exchanges.at(E.Attempt).ServiceTime;
  }
  void operator()(const core::RefuseRequest &E) {
    RequestRecord &Record = this->Sim.Records[E.Request.Sequence - 1];
    Record.EndTime = this->Now;
    Record.Verdict = E.Verdict;
    Record.Reason = E.Reason;
  }
  template <typename Other> void operator()(const Other &) {}
};

// isStale() returns whether an event is the complete answer of an exchange that
// was cancelled. Otherwise, if the event is a complete answer, it marks the
// exchange as ended and releases its slot.
inline bool isStale(Simulation &Sim, const core::EventBody &Body) {
  const auto *Ended = std::get_if<core::ExchangeEnded>(&Body);
  if (!Ended || !Ended->Outcome.AnswerComplete)
    return false;
  Exchange &Running = Sim.Exchanges.at(Ended->Attempt);
  if (std::exchange(Running.HasEnded, true))
    return true;
  --Sim.Servers.at(Running.Server).Running;
  return false;
}

inline core::RequestArrived makeRequestArrived(const Simulation &Sim,
                                               std::size_t Index) {
  const CallerRequest &Request = Sim.Requests[Index];
  const std::string &Service = Sim.Flood.Fleet.Services[Request.Service].Name;
  core::RequestArrived Arrived;
  Arrived.Facts.Request = base::RequestId{1, Index + 1};
  Arrived.Facts.Method = "GET";
  Arrived.Facts.Path = "/" + Service + "/" + Ranks[Request.Rank].Name;
  Arrived.Facts.Workspace =
      base::WorkspaceName("workspace-" + std::to_string(Request.Workspace));
  return Arrived;
}

inline void applyEvent(Simulation &Sim, const PendingEvent &Event) {
  if (isStale(Sim, Event.Body))
    return;
  core::EffectList Effects;
  core::reduce(*Sim.Nodes[Event.Node],
               core::Event{Event.Time, base::UnixTime{Event.Time.Micros / 1000},
                           Event.Body},
               Effects);
  for (const core::Effect &Effect : Effects)
    std::visit(EffectHandler{Sim, Event.Node, Event.Time}, Effect);
}

// runUntil() applies all pending events before End.
inline void runUntil(Simulation &Sim, base::TimePoint End) {
  while (!Sim.Pending.empty() && Sim.Pending.top().Time < End) {
    PendingEvent Event = Sim.Pending.top();
    Sim.Pending.pop();
    if (Sim.Flood.Kind == FloodKind::RegionCut && !Sim.ViewsSplit &&
        Event.Time >= Sim.Flood.FloodStart + FailureDetectionDelay)
      splitRoutingViews(Sim);
    applyEvent(Sim, Event);
  }
}

} // namespace detail

// makeSimulation() returns a fleet in which all nodes know each other and all
// backend servers.
inline Simulation makeSimulation(const Scenario &Flood) {
  Simulation Sim;
  Sim.Flood = Flood;
  Sim.Requests = makeRequests(Flood);
  for (const CallerRequest &Request : Sim.Requests)
    Sim.Records.push_back(RequestRecord{Request});
  config::ConfigurationPtr Config = makeConfig(Flood.Fleet, Flood.Aim);
  for (const ServicePlan &Plan : Flood.Fleet.Services)
    for (std::uint32_t Index = 0; Index < Plan.Servers; ++Index)
      detail::addNode(Sim, Plan, Index, Config);
  detail::runUntil(Sim, base::TimePoint{1});
  detail::fillRoutingViews(Sim);
  return Sim;
}

// runSimulation() runs all requests, and then 5 s for the last ones to end.
inline void runSimulation(Simulation &Sim) {
  for (std::size_t Index = 0; Index < Sim.Requests.size(); ++Index) {
    base::TimePoint ArrivalTime = Sim.Requests[Index].ArrivalTime;
    detail::runUntil(Sim, ArrivalTime);
    std::size_t Entry = Sim.Requests[Index].Entry % Sim.Nodes.size();
    detail::applyEvent(
        Sim, {ArrivalTime, 0, Entry, detail::makeRequestArrived(Sim, Index)});
  }
  detail::runUntil(Sim, Sim.Flood.End + base::seconds(5));
}

inline Report makeReport(const Simulation &Sim) {
  Report Figures = summarize(Sim.Flood, Sim.Records);
  Figures.Attempts = Sim.Attempts;
  Figures.SlotOverruns = Sim.SlotOverruns;
  return Figures;
}

} // namespace currantgauge::bench

#endif // BENCH_FLOOD_SIMULATION_H

// Simulates a fleet in virtual time for health_bench: the reducers of a few
// entries and owners, with fake backend servers behind the owners.
//
//   FleetSimulation Sim = makeSimulation(Setup, Seed, FloorPercent);
//   runUntil(Sim, TimePoint{seconds(60).Micros});
#ifndef CURRANTGAUGE_BENCH_HEALTH_FLEET_H
#define CURRANTGAUGE_BENCH_HEALTH_FLEET_H

#include "currantgauge/core/reduce.h"

#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::bench {

using base::Duration;
using base::TimePoint;

// ServiceSetup describes the simulated service and its load.
struct ServiceSetup {
  std::string Service;
  std::size_t Servers = 0;
  std::uint32_t Slots = 0;       // of each server
  Duration DomainDelay;          // one way
  double RequestsPerServer = 20; // per second
};

// Fault is the misbehavior of a fake backend server. Shares are fractions of
// its requests.
struct Fault {
  double StallShare = 0;
  double FailShare = 0;
  double ShedShare = 0;
  double SlowdownFactor = 1; // factor of all service times
};

// FakeBackend is the state of a simulated backend server.
struct FakeBackend {
  base::BackendName Name;
  Fault ActiveFault;
  std::uint64_t Incarnation = 1;
  TimePoint ColdStartEnd;
  Duration ColdStart;
};

// PendingEvent is an event to be delivered to a node at a time.
struct PendingEvent {
  TimePoint Time;
  std::uint64_t Order = 0;
  std::size_t Node = 0;
  core::EventBody Body;
  bool operator<(const PendingEvent &Other) const {
    return std::pair(Other.Time, Other.Order) <
           std::pair(this->Time, this->Order);
  }
};

constexpr std::size_t EntryCount = 4;

// FleetSimulation is a simulated fleet. Nodes 0 to EntryCount - 1 are entries;
// each node after them is the owner of one backend server.
struct FleetSimulation {
  ServiceSetup Setup;
  std::deque<core::State> Nodes;
  std::vector<FakeBackend> Backends;      // I is owned by node EntryCount + I
  std::vector<std::uint64_t> TimerOrders; // Order of each node's current timer
  std::priority_queue<PendingEvent> Queue;
  std::map<base::NetAddress, std::size_t> NodeByAddress;
  std::map<base::NodeName, std::size_t> NodeByName;
  base::Random Source;
  TimePoint Now;
  TimePoint NextArrival;
  TimePoint NextRenewal;
  std::uint64_t LastOrder = 0;
  std::uint64_t RequestCount = 0;
  std::map<base::AttemptId, bool> RunningExchanges; // with the fake backends
  bool ShareSuspicion = true;                       // false for the baselines
  // Called with the entry and the outcome of each ended attempt.
  std::function<void(std::size_t, const core::AttemptOutcome &)> OnOutcome;
  std::function<void(std::size_t, const core::LogLine &)> OnLog;
};

inline double drawNormal(base::Random &Source) {
  double A = 1 - base::uniformUnit(Source), B = base::uniformUnit(Source);
  return std::sqrt(-2 * std::log(A)) * std::cos(2 * M_PI * B);
}

inline double drawExponential(base::Random &Source) {
  return -std::log(1 - base::uniformUnit(Source));
}

// KindModel describes a kind of request: its share of the load, the
// distribution of its service time and its deadline.
struct KindModel {
  const char *Name;
  double Share;
  double MedianMillis;
  double Sigma;
  Duration Deadline;
  bool Idempotent;
};

inline const std::vector<KindModel> &getKindModels() {
  static const std::vector<KindModel> Models = {
      {"lookup", 0.7, 20, 1.0, base::seconds(3), true},
      {"search", 0.2, 40, 0.8, base::seconds(5), true},
      {"commit", 0.1, 60, 0.8, base::seconds(10), false}};
  return Models;
}

// drawServiceTime() returns a lognormal service time; one in 200 has a Pareto
// tail of up to 8 s added.
inline Duration drawServiceTime(const KindModel &Kind, base::Random &Source) {
  double Millis = Kind.MedianMillis * std::exp(Kind.Sigma * drawNormal(Source));
  if (base::uniformUnit(Source) < 0.005)
    Millis += std::min(8000.0,
                       150 * std::pow(1 - base::uniformUnit(Source), -1 / 1.2));
  return base::microseconds(static_cast<std::int64_t>(Millis * 1000));
}

inline config::ConfigurationPtr makeConfig(const ServiceSetup &Setup,
                                           double Floor) {
  auto *Config = new config::Configuration;
  base::ServiceName Service(Setup.Service);
  Config->Services[Service].Name = Service;
  Config->Services[Service].Floor = base::Percent{Floor};
  for (const KindModel &Model : getKindModels()) {
    config::KindSettings &Kind = Config->Kinds[base::KindName(Model.Name)];
    Kind.Name = base::KindName(Model.Name);
    Kind.Service = Service;
    Kind.Rank = base::RankName("normal");
    Kind.Deadline = Model.Deadline;
    Kind.Idempotent = Model.Idempotent;
    std::string Prefix = std::string("/") + Model.Name;
    Config->Routes[Model.Name] =
        config::RouteSettings{Model.Name, "", Prefix, Kind.Name};
  }
  Config->Ranks[base::RankName("normal")].Name = base::RankName("normal");
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

inline void scheduleEvent(FleetSimulation &Sim, Duration Delay,
                          std::size_t Node, core::EventBody Body) {
  Sim.Queue.push({Sim.Now + Delay, ++Sim.LastOrder, Node, std::move(Body)});
}

// EffectHandler schedules the events that follow from the effects of a node.
struct EffectHandler {
  FleetSimulation &Sim;
  std::size_t Node;

  Duration getDelayTo(std::size_t To) const {
    return To == this->Node ? base::microseconds(50)
                            : this->Sim.Setup.DomainDelay;
  }
  void operator()(const core::WakeAt &E) const {
    this->Sim.TimerOrders[this->Node] = 0;
    if (E.Time == base::Never)
      return;
    scheduleEvent(this->Sim, std::max(E.Time - this->Sim.Now, Duration{}),
                  this->Node, core::TimerFired{});
    this->Sim.TimerOrders[this->Node] = this->Sim.LastOrder;
  }
  void operator()(const core::StartAttempt &E) const {
    std::size_t To = this->Sim.NodeByName.at(E.Owner);
    scheduleEvent(this->Sim, this->getDelayTo(To), To,
                  core::AttemptArrived{E.Facts});
  }
  void operator()(const core::EndAttempt &E) const {
    std::size_t Entry = E.Attempt.Origin - 1;
    scheduleEvent(this->Sim, this->getDelayTo(Entry), Entry,
                  core::AttemptEnded{E.Attempt, E.Outcome});
  }
  void operator()(const core::CancelAttempt &E) const {
    for (std::size_t I = EntryCount; I < this->Sim.Nodes.size(); ++I)
      if (this->Sim.Nodes[I].Owner.Attempts.contains(E.Attempt))
        scheduleEvent(this->Sim, this->getDelayTo(I), I,
                      core::AttemptCancelled{E.Attempt});
  }
  void operator()(const core::SendPeerMessage &E) const {
    auto To = this->Sim.NodeByAddress.find(E.Address);
    if (To == this->Sim.NodeByAddress.end())
      return;
    core::PeerMessageArrived Arrived{E.Message};
    if (!this->Sim.ShareSuspicion)
      for (routing::BackendRecord &Record : Arrived.Message.Backends)
        Record.Suspicion = 0;
    scheduleEvent(this->Sim, this->getDelayTo(To->second), To->second,
                  std::move(Arrived));
  }
  void operator()(const core::SendToBackend &E) const;
  void operator()(const core::CancelExchange &E) const {
    core::ExchangeEnded Ended;
    Ended.Attempt = E.Attempt;
    Ended.Outcome.Reason = E.Reason;
    Ended.Outcome.AnyByteSent = true;
    if (this->Sim.RunningExchanges.erase(E.Attempt))
      scheduleEvent(this->Sim, base::microseconds(50), this->Node, Ended);
  }
  void operator()(const core::LogLine &E) const {
    if (this->Sim.OnLog)
      this->Sim.OnLog(this->Node, E);
  }
  template <typename Other> void operator()(const Other &) const {}
};

inline void applyEvent(FleetSimulation &Sim, std::size_t Node,
                       core::EventBody Body) {
  core::EffectList Effects;
  core::reduce(Sim.Nodes[Node], {Sim.Now, {}, std::move(Body)}, Effects);
  for (const core::Effect &Effect : Effects)
    std::visit(EffectHandler{Sim, Node}, Effect);
}

inline void EffectHandler::operator()(const core::SendToBackend &E) const {
  FleetSimulation &Sim = this->Sim;
  FakeBackend &Server = Sim.Backends[this->Node - EntryCount];
  const base::KindName &Kind =
      Sim.Nodes[this->Node].Owner.Attempts.at(E.Attempt)->Facts.Kind;
  const KindModel *Model = &getKindModels().front();
  for (const KindModel &Candidate : getKindModels())
    if (Kind.Value == Candidate.Name)
      Model = &Candidate;
  Sim.RunningExchanges[E.Attempt] = true;
  double Draw = base::uniformUnit(Sim.Source);
  if (Draw < Server.ActiveFault.StallShare)
    return; // stalled: ends only when cancelled
  core::ExchangeEnded Ended;
  Ended.Attempt = E.Attempt;
  Ended.Outcome.AnyByteSent = true;
  Ended.Outcome.AnswerComplete = true;
  Ended.Outcome.NewConnection = E.NewConnection;
  Ended.Outcome.Status = Draw < Server.ActiveFault.FailShare ? 500 : 200;
  Duration ServiceTime = base::scale(drawServiceTime(*Model, Sim.Source),
                                     Server.ActiveFault.SlowdownFactor);
  if (Server.ColdStartEnd >
      Sim.Now) // ten times slower at first, then linearly faster
    ServiceTime = base::scale(
        ServiceTime, 1 + 9 * base::toSeconds(Server.ColdStartEnd - Sim.Now) /
                             base::toSeconds(Server.ColdStart));
  if (base::uniformUnit(Sim.Source) < Server.ActiveFault.ShedShare) {
    Ended.Outcome.Status = 503;
    Ended.Outcome.RetryAfter = base::seconds(1);
    ServiceTime = base::milliseconds(1);
  }
  scheduleEvent(Sim, ServiceTime, this->Node, Ended);
}

inline void announceBackends(FleetSimulation &Sim) {
  for (std::size_t I = 0; I < Sim.Backends.size(); ++I) {
    const FakeBackend &Server = Sim.Backends[I];
    core::BackendAnnounced Announced;
    Announced.Announcement.Name = Server.Name;
    Announced.Announcement.Service = base::ServiceName(Sim.Setup.Service);
    Announced.Announcement.Address =
        base::NetAddress("backend" + std::to_string(I));
    Announced.Announcement.Incarnation = base::Incarnation(Server.Incarnation);
    Announced.Announcement.Slots = Sim.Setup.Slots;
    Announced.Announcement.ColdStart = Server.ColdStart;
    applyEvent(Sim, EntryCount + I, Announced);
  }
}

inline FleetSimulation makeSimulation(const ServiceSetup &Setup,
                                      std::uint64_t Seed, double Floor) {
  FleetSimulation Sim;
  Sim.Setup = Setup;
  Sim.Source.seed(Seed);
  Sim.Now = Sim.NextArrival = Sim.NextRenewal = TimePoint{1000000};
  std::size_t NodeCount = EntryCount + Setup.Servers;
  Sim.TimerOrders.assign(NodeCount, 0);
  std::vector<base::NetAddress> Seeds;
  for (std::size_t I = 0; I < NodeCount; ++I)
    Seeds.emplace_back("node" + std::to_string(I));
  for (std::size_t I = 0; I < NodeCount; ++I) {
    core::NodeIdentity Self;
    Self.Name = base::NodeName("n" + std::to_string(100 + I));
    Self.Domain = base::DomainName(I % 2 ? "a" : "b");
    Self.Region = base::RegionName("north");
    Self.PeerAddress = Seeds[I];
    Self.Incarnation = base::Incarnation(I + 1);
    Self.Seeds = Seeds;
    Sim.Nodes.push_back(core::makeState(Self, Seed * 1000 + I));
    Sim.Nodes.back().Config.Current = makeConfig(Setup, Floor);
    Sim.NodeByAddress[Seeds[I]] = I;
    Sim.NodeByName[Self.Name] = I;
    if (I >= EntryCount)
      Sim.Backends.push_back(
          {base::BackendName(Setup.Service + std::to_string(100 + I))});
  }
  for (std::size_t I = 0; I < NodeCount; ++I)
    scheduleEvent(Sim, base::milliseconds(static_cast<std::int64_t>(37 * I)), I,
                  core::Started{});
  return Sim;
}

inline void startRequest(FleetSimulation &Sim) {
  double Rate =
      Sim.Setup.RequestsPerServer * static_cast<double>(Sim.Setup.Servers);
  Sim.NextArrival = Sim.Now + base::microseconds(static_cast<std::int64_t>(
                                  drawExponential(Sim.Source) / Rate * 1e6));
  double Draw = base::uniformUnit(Sim.Source);
  const KindModel *Kind = &getKindModels().front();
  for (const KindModel &Model : getKindModels()) {
    Kind = &Model;
    if ((Draw -= Model.Share) < 0)
      break;
  }
  core::RequestArrived Arrived;
  Arrived.Facts.Request = base::RequestId{1, ++Sim.RequestCount};
  Arrived.Facts.Path = std::string("/") + Kind->Name;
  applyEvent(Sim, base::uniformBelow(Sim.Source, EntryCount), Arrived);
}

inline void deliverEvent(FleetSimulation &Sim, PendingEvent Event) {
  if (std::holds_alternative<core::TimerFired>(Event.Body) &&
      Sim.TimerOrders[Event.Node] != Event.Order)
    return; // replaced by a later WakeAt
  if (auto *Ended = std::get_if<core::ExchangeEnded>(&Event.Body))
    if (Ended->Outcome.AnswerComplete &&
        !Sim.RunningExchanges.erase(Ended->Attempt))
      return; // cancelled in the meantime
  if (auto *Ended = std::get_if<core::AttemptEnded>(&Event.Body))
    if (Sim.OnOutcome)
      Sim.OnOutcome(Event.Node, Ended->Outcome);
  if (auto *Ended = std::get_if<core::AttemptEnded>(&Event.Body))
    if (!Sim.ShareSuspicion)
      Ended->Outcome.Suspicion = 0;
  applyEvent(Sim, Event.Node, std::move(Event.Body));
}

inline void runUntil(FleetSimulation &Sim, TimePoint End) {
  while (true) {
    TimePoint NextGenerated = std::min(Sim.NextArrival, Sim.NextRenewal);
    bool HasEvent = !Sim.Queue.empty() && Sim.Queue.top().Time <= NextGenerated;
    TimePoint NextTime = HasEvent ? Sim.Queue.top().Time : NextGenerated;
    if (NextTime > End)
      break;
    Sim.Now = NextTime;
    if (HasEvent) {
      PendingEvent Event = Sim.Queue.top();
      Sim.Queue.pop();
      deliverEvent(Sim, std::move(Event));
    } else if (NextGenerated == Sim.NextRenewal) {
      announceBackends(Sim);
      Sim.NextRenewal = Sim.Now + base::seconds(1);
    } else {
      startRequest(Sim);
    }
  }
  Sim.Now = End;
}

} // namespace currantgauge::bench

#endif // CURRANTGAUGE_BENCH_HEALTH_FLEET_H

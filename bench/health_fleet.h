// Virtual time for health_bench: the reducers of a few entries and owners, and
// fakes of the backend servers behind them.
//
//   Fleet World = makeFleet(Shape, Model, Seed);
//   runUntil(World, TimePoint{seconds(60).Micros});
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

// Shape is one service of a customer.
struct Shape {
  std::string Service;
  std::size_t Servers = 0;
  std::uint32_t Slots = 0;
  Duration DomainDelay;  // one way
  double PerServer = 20; // requests a second
};

// Sickness is what a fake backend server does to its requests.
struct Sickness {
  double StallShare = 0;
  double FailShare = 0;
  double ShedShare = 0;
  double Factor = 1; // of every time
};

// Fake is a backend server: its state and the exchanges that it holds.
struct Fake {
  base::BackendName Name;
  Sickness Now;
  std::uint64_t Life = 1;
  TimePoint WarmAt;
  Duration ColdStart;
};

// Pending is an event on its way to a node.
struct Pending {
  TimePoint At;
  std::uint64_t Order = 0;
  std::size_t Node = 0;
  core::EventBody Body;
  bool operator<(const Pending &Other) const {
    return std::pair(Other.At, Other.Order) < std::pair(this->At, this->Order);
  }
};

constexpr std::size_t EntryCount = 4;

// Fleet is nodes 0 to EntryCount - 1 as entries, then one owner a server.
struct Fleet {
  Shape What;
  std::deque<core::State> Nodes;
  std::vector<Fake> Fakes;          // of node EntryCount + I
  std::vector<std::uint64_t> Wakes; // Order of each node's latest wake-up
  std::priority_queue<Pending> Queue;
  std::map<base::NetAddress, std::size_t> ByAddress;
  std::map<base::NodeName, std::size_t> ByName;
  base::Random Source;
  TimePoint Now;
  TimePoint NextArrival;
  TimePoint NextRenewal;
  std::uint64_t Order = 0;
  std::uint64_t Requests = 0;
  std::map<base::AttemptId, bool> Running; // exchanges with the fakes
  bool TellSuspicion = true;               // false: baselines decide
  // Called with the entry and the server of each ended attempt.
  std::function<void(std::size_t, const core::AttemptOutcome &)> OnOutcome;
  std::function<void(std::size_t, const core::LogLine &)> OnLog;
};

inline double normal(base::Random &Source) {
  double A = 1 - base::uniformUnit(Source), B = base::uniformUnit(Source);
  return std::sqrt(-2 * std::log(A)) * std::cos(2 * M_PI * B);
}

inline double exponential(base::Random &Source) {
  return -std::log(1 - base::uniformUnit(Source));
}

// KindModel is a kind of work: its share, times and deadline.
struct KindModel {
  const char *Name;
  double Share;
  double MedianMillis;
  double Sigma;
  Duration Deadline;
  bool Idempotent;
};

inline const std::vector<KindModel> &kindModels() {
  static const std::vector<KindModel> Models = {
      {"lookup", 0.7, 20, 1.0, base::seconds(3), true},
      {"search", 0.2, 40, 0.8, base::seconds(5), true},
      {"commit", 0.1, 60, 0.8, base::seconds(10), false}};
  return Models;
}

// drawTime() is lognormal, and one in 200 has a Pareto tail that lasts seconds.
inline Duration drawTime(const KindModel &Kind, base::Random &Source) {
  double Millis = Kind.MedianMillis * std::exp(Kind.Sigma * normal(Source));
  if (base::uniformUnit(Source) < 0.005)
    Millis += std::min(8000.0,
                       150 * std::pow(1 - base::uniformUnit(Source), -1 / 1.2));
  return base::microseconds(static_cast<std::int64_t>(Millis * 1000));
}

inline config::ConfigurationPtr makeConfig(const Shape &What, double Floor) {
  auto *Config = new config::Configuration;
  base::ServiceName Service(What.Service);
  Config->Services[Service].Name = Service;
  Config->Services[Service].Floor = base::Percent{Floor};
  for (const KindModel &Model : kindModels()) {
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

inline void post(Fleet &World, Duration After, std::size_t Node,
                 core::EventBody Body) {
  World.Queue.push({World.Now + After, ++World.Order, Node, std::move(Body)});
}

// Carry turns the effects of a node into the events that follow.
struct Carry {
  Fleet &World;
  std::size_t From;

  Duration delayTo(std::size_t To) const {
    return To == this->From ? base::microseconds(50)
                            : this->World.What.DomainDelay;
  }
  void operator()(const core::WakeAt &E) const {
    this->World.Wakes[this->From] = 0;
    if (E.Time == base::Never)
      return;
    post(this->World, std::max(E.Time - this->World.Now, Duration{}),
         this->From, core::TimerFired{});
    this->World.Wakes[this->From] = this->World.Order;
  }
  void operator()(const core::StartAttempt &E) const {
    std::size_t To = this->World.ByName.at(E.Owner);
    post(this->World, this->delayTo(To), To, core::AttemptArrived{E.Facts});
  }
  void operator()(const core::EndAttempt &E) const {
    std::size_t Entry = E.Attempt.Origin - 1;
    post(this->World, this->delayTo(Entry), Entry,
         core::AttemptEnded{E.Attempt, E.Outcome});
  }
  void operator()(const core::CancelAttempt &E) const {
    for (std::size_t I = EntryCount; I < this->World.Nodes.size(); ++I)
      if (this->World.Nodes[I].Owner.Attempts.contains(E.Attempt))
        post(this->World, this->delayTo(I), I,
             core::AttemptCancelled{E.Attempt});
  }
  void operator()(const core::SendPeerMessage &E) const {
    auto To = this->World.ByAddress.find(E.Address);
    if (To == this->World.ByAddress.end())
      return;
    core::PeerMessageArrived Arrived{E.Message};
    if (!this->World.TellSuspicion)
      for (routing::BackendRecord &Record : Arrived.Message.Backends)
        Record.Suspicion = 0;
    post(this->World, this->delayTo(To->second), To->second,
         std::move(Arrived));
  }
  void operator()(const core::SendToBackend &E) const;
  void operator()(const core::CancelExchange &E) const {
    core::ExchangeEnded Ended;
    Ended.Attempt = E.Attempt;
    Ended.Outcome.Reason = E.Reason;
    Ended.Outcome.AnyByteSent = true;
    if (this->World.Running.erase(E.Attempt))
      post(this->World, base::microseconds(50), this->From, Ended);
  }
  void operator()(const core::LogLine &E) const {
    if (this->World.OnLog)
      this->World.OnLog(this->From, E);
  }
  template <typename Other> void operator()(const Other &) const {}
};

inline void apply(Fleet &World, std::size_t Node, core::EventBody Body) {
  core::EffectList Effects;
  core::reduce(World.Nodes[Node], {World.Now, {}, std::move(Body)}, Effects);
  for (const core::Effect &Effect : Effects)
    std::visit(Carry{World, Node}, Effect);
}

inline void Carry::operator()(const core::SendToBackend &E) const {
  Fleet &World = this->World;
  Fake &Server = World.Fakes[this->From - EntryCount];
  const base::KindName &Kind =
      World.Nodes[this->From].Owner.Attempts.at(E.Attempt)->Facts.Kind;
  const KindModel *Model = &kindModels().front();
  for (const KindModel &One : kindModels())
    if (Kind.Value == One.Name)
      Model = &One;
  World.Running[E.Attempt] = true;
  double Luck = base::uniformUnit(World.Source);
  if (Luck < Server.Now.StallShare)
    return; // never ends by itself
  core::ExchangeEnded Ended;
  Ended.Attempt = E.Attempt;
  Ended.Outcome.AnyByteSent = true;
  Ended.Outcome.AnswerComplete = true;
  Ended.Outcome.NewConnection = E.NewConnection;
  Ended.Outcome.Status = Luck < Server.Now.FailShare ? 500 : 200;
  Duration Took =
      base::scale(drawTime(*Model, World.Source), Server.Now.Factor);
  if (Server.WarmAt > World.Now) // ten times slower at first
    Took =
        base::scale(Took, 1 + 9 * base::toSeconds(Server.WarmAt - World.Now) /
                                  base::toSeconds(Server.ColdStart));
  if (base::uniformUnit(World.Source) < Server.Now.ShedShare) {
    Ended.Outcome.Status = 503;
    Ended.Outcome.RetryAfter = base::seconds(1);
    Took = base::milliseconds(1);
  }
  post(World, Took, this->From, Ended);
}

inline void announceAll(Fleet &World) {
  for (std::size_t I = 0; I < World.Fakes.size(); ++I) {
    const Fake &Server = World.Fakes[I];
    core::BackendAnnounced Said;
    Said.Announcement.Name = Server.Name;
    Said.Announcement.Service = base::ServiceName(World.What.Service);
    Said.Announcement.Address = base::NetAddress("backend" + std::to_string(I));
    Said.Announcement.Incarnation = base::Incarnation(Server.Life);
    Said.Announcement.Slots = World.What.Slots;
    Said.Announcement.ColdStart = Server.ColdStart;
    apply(World, EntryCount + I, Said);
  }
}

inline Fleet makeFleet(const Shape &What, std::uint64_t Seed, double Floor) {
  Fleet World;
  World.What = What;
  World.Source.seed(Seed);
  World.Now = World.NextArrival = World.NextRenewal = TimePoint{1000000};
  std::size_t Count = EntryCount + What.Servers;
  World.Wakes.assign(Count, 0);
  std::vector<base::NetAddress> Seeds;
  for (std::size_t I = 0; I < Count; ++I)
    Seeds.emplace_back("node" + std::to_string(I));
  for (std::size_t I = 0; I < Count; ++I) {
    core::NodeIdentity Self;
    Self.Name = base::NodeName("n" + std::to_string(100 + I));
    Self.Domain = base::DomainName(I % 2 ? "a" : "b");
    Self.Region = base::RegionName("north");
    Self.PeerAddress = Seeds[I];
    Self.Incarnation = base::Incarnation(I + 1);
    Self.Seeds = Seeds;
    World.Nodes.push_back(core::makeState(Self, Seed * 1000 + I));
    World.Nodes.back().Config.Current = makeConfig(What, Floor);
    World.ByAddress[Seeds[I]] = I;
    World.ByName[Self.Name] = I;
    if (I >= EntryCount)
      World.Fakes.push_back(
          {base::BackendName(What.Service + std::to_string(100 + I))});
  }
  for (std::size_t I = 0; I < Count; ++I)
    post(World, base::milliseconds(static_cast<std::int64_t>(37 * I)), I,
         core::Started{});
  return World;
}

inline void arrive(Fleet &World) {
  double Rate = World.What.PerServer * static_cast<double>(World.What.Servers);
  World.NextArrival = World.Now + base::microseconds(static_cast<std::int64_t>(
                                      exponential(World.Source) / Rate * 1e6));
  double Luck = base::uniformUnit(World.Source);
  const KindModel *Kind = &kindModels().front();
  for (const KindModel &Model : kindModels()) {
    Kind = &Model;
    if ((Luck -= Model.Share) < 0)
      break;
  }
  core::RequestArrived Arrived;
  Arrived.Facts.Request = base::RequestId{1, ++World.Requests};
  Arrived.Facts.Path = std::string("/") + Kind->Name;
  apply(World, base::uniformBelow(World.Source, EntryCount), Arrived);
}

inline void deliver(Fleet &World, Pending Next) {
  if (std::holds_alternative<core::TimerFired>(Next.Body) &&
      World.Wakes[Next.Node] != Next.Order)
    return; // a later WakeAt replaced it
  if (auto *Ended = std::get_if<core::ExchangeEnded>(&Next.Body))
    if (Ended->Outcome.AnswerComplete && !World.Running.erase(Ended->Attempt))
      return; // cancelled meanwhile
  if (auto *Ended = std::get_if<core::AttemptEnded>(&Next.Body))
    if (World.OnOutcome)
      World.OnOutcome(Next.Node, Ended->Outcome);
  if (auto *Ended = std::get_if<core::AttemptEnded>(&Next.Body))
    if (!World.TellSuspicion)
      Ended->Outcome.Suspicion = 0;
  apply(World, Next.Node, std::move(Next.Body));
}

inline void runUntil(Fleet &World, TimePoint End) {
  while (true) {
    TimePoint Own = std::min(World.NextArrival, World.NextRenewal);
    bool Event = !World.Queue.empty() && World.Queue.top().At <= Own;
    TimePoint Next = Event ? World.Queue.top().At : Own;
    if (Next > End)
      break;
    World.Now = Next;
    if (Event) {
      Pending Item = World.Queue.top();
      World.Queue.pop();
      deliver(World, std::move(Item));
    } else if (Own == World.NextRenewal) {
      announceAll(World);
      World.NextRenewal = World.Now + base::seconds(1);
    } else {
      arrive(World);
    }
  }
  World.Now = End;
}

} // namespace currantgauge::bench

#endif // CURRANTGAUGE_BENCH_HEALTH_FLEET_H

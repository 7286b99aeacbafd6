// Measures the microseconds per call of reduce() by kind of event and the
// memory per backend server at several sizes of the fleet, and the memory per
// route and workspace.
//
//   build/reduce_bench > reduce.json
#include "currantgauge/core/reduce.h"

#include "currantgauge/config/model.h"

#include <malloc.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <variant>

namespace currantgauge::bench {
namespace {

using Json = nlohmann::ordered_json;
using Clock = std::chrono::steady_clock;

constexpr int RequestRounds = 20000;
constexpr std::uint32_t ServersPerService = 38;
constexpr std::uint32_t ServersPerNode = 27;

std::uint64_t getBytesInUse() {
  struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

config::Configuration *buildConfig(std::size_t Routes, std::size_t Workspaces,
                                   std::size_t Services) {
  auto *Config = new config::Configuration;
  config::RankSettings &Rank = Config->Ranks[base::RankName("urgent")];
  Rank.Name = base::RankName("urgent");
  Rank.Share = base::Percent{50};
  for (std::size_t I = 0; I < Services; ++I) {
    std::string Number = std::to_string(I);
    base::ServiceName Service("service-" + Number);
    Config->Services[Service].Name = Service;
    config::KindSettings &Kind =
        Config->Kinds[base::KindName("kind-" + Number)];
    Kind.Name = base::KindName("kind-" + Number);
    Kind.Service = Service;
    Kind.Rank = Rank.Name;
    Kind.Deadline = base::seconds(2);
  }
  for (std::size_t I = 0; I < Routes; ++I) {
    std::string Number = std::to_string(I);
    Config->Routes["route-" + Number] = config::RouteSettings{
        "route-" + Number, "", "/path/" + Number,
        base::KindName("kind-" + std::to_string(I % Services))};
  }
  for (std::size_t I = 0; I < Workspaces; ++I) {
    base::WorkspaceName Name("workspace-" + std::to_string(I));
    Config->Workspaces[Name].Name = Name;
  }
  config::indexRoutes(*Config);
  return Config;
}

// EventTimings holds the total microseconds and the number of calls by kind of
// event.
struct EventTimings {
  std::map<std::string, std::pair<double, std::uint64_t>> ByKind;
};

core::EffectList applyEvent(EventTimings &Timings, core::State &Node,
                            base::TimePoint &Now, const std::string &Kind,
                            core::EventBody Body) {
  Now = Now + base::microseconds(200);
  core::Event Event{Now, base::UnixTime{1}, std::move(Body)};
  core::EffectList Effects;
  auto Start = Clock::now();
  core::reduce(Node, Event, Effects);
  auto &Timing = Timings.ByKind[Kind];
  Timing.first +=
      std::chrono::duration<double, std::micro>(Clock::now() - Start).count();
  ++Timing.second;
  return Effects;
}

template <typename EffectType>
const EffectType *find(const core::EffectList &Effects) {
  for (const core::Effect &Effect : Effects)
    if (const auto *Match = std::get_if<EffectType>(&Effect))
      return Match;
  return nullptr;
}

routing::BackendRecord makeRecord(std::size_t I) {
  routing::BackendRecord Record;
  Record.Name = base::BackendName("server-" + std::to_string(I));
  Record.Service =
      base::ServiceName("service-" + std::to_string(I / ServersPerService));
  Record.Owner = base::NodeName("node-" + std::to_string(I / ServersPerNode));
  Record.Region = base::RegionName("north");
  Record.Domain = base::DomainName("north-a");
  Record.Address = base::NetAddress("10.0.0.1:8000");
  Record.Incarnation = base::Incarnation(1);
  Record.Revision = 1;
  Record.Slots = 4;
  return Record;
}

// Answers all probes in Effects at once.
void answerProbes(core::State &Node, base::TimePoint &Now,
                  const core::EffectList &Effects) {
  EventTimings Ignored;
  for (const core::Effect &Effect : Effects) {
    const auto *Sent = std::get_if<core::SendPeerMessage>(&Effect);
    if (!Sent || Sent->Message.Kind != membership::MessageKind::Ping)
      continue;
    core::PeerMessageArrived Arrived;
    Arrived.Message.From = Sent->Recipient;
    Arrived.Message.FromAddress = Sent->Address;
    Arrived.Message.Kind = membership::MessageKind::Ack;
    Arrived.Message.Sequence = Sent->Message.Sequence;
    applyEvent(Ignored, Node, Now, "ack", std::move(Arrived));
  }
}

// Delivers the server records of all peers, one message per node.
void announceRemoteServers(EventTimings &Timings, core::State &Node,
                           base::TimePoint &Now, std::size_t Servers) {
  for (std::size_t FirstServer = 0; FirstServer < Servers;
       FirstServer += ServersPerNode) {
    core::PeerMessageArrived Arrived;
    membership::PeerMessage &Message = Arrived.Message;
    std::string Owner = "node-" + std::to_string(FirstServer / ServersPerNode);
    Message.From = base::NodeName(Owner);
    Message.FromAddress = base::NetAddress("10.0.0.1:8081");
    membership::MemberRecord Member;
    Member.Name = Message.From;
    Member.PeerAddress = Message.FromAddress;
    Member.Region = base::RegionName("north");
    Member.Domain = base::DomainName("north-a");
    Member.Incarnation = base::Incarnation(1);
    Message.Members.push_back(Member);
    for (std::size_t I = FirstServer;
         I < FirstServer + ServersPerNode && I < Servers; ++I)
      Message.Backends.push_back(makeRecord(I));
    applyEvent(Timings, Node, Now, "peer_message_27_servers",
               std::move(Arrived));
  }
}

void announceLocalServers(EventTimings &Timings, core::State &Node,
                          base::TimePoint &Now) {
  for (std::uint32_t I = 0; I < ServersPerNode; ++I) {
    core::BackendAnnounced Announced;
    Announced.Announcement.Name = base::BackendName("own-" + std::to_string(I));
    Announced.Announcement.Service = base::ServiceName("service-0");
    Announced.Announcement.Address = base::NetAddress("127.0.0.1:9");
    Announced.Announcement.Incarnation = base::Incarnation(1);
    Announced.Announcement.Slots = 4;
    applyEvent(Timings, Node, Now, "backend_announced", std::move(Announced));
  }
}

// Runs an attempt that another entry sent to a server of this node.
void runRemoteAttempt(EventTimings &Timings, core::State &Node,
                      base::TimePoint &Now, std::uint64_t Sequence) {
  core::AttemptArrived Arrival;
  Arrival.Facts.Attempt = base::AttemptId{2, Sequence};
  Arrival.Facts.Request = base::RequestId{2, Sequence};
  Arrival.Facts.Entry = base::NodeName("node-0");
  Arrival.Facts.Service = base::ServiceName("service-0");
  Arrival.Facts.Kind = base::KindName("kind-0");
  Arrival.Facts.Rank = base::RankName("urgent");
  Arrival.Facts.PreferredServer =
      base::BackendName("own-" + std::to_string(Sequence % ServersPerNode));
  Arrival.Facts.TimeLeft = base::seconds(1);
  applyEvent(Timings, Node, Now, "attempt_arrived", Arrival);
  core::ExchangeEnded Ended;
  Ended.Attempt = Arrival.Facts.Attempt;
  Ended.Outcome.AnyByteSent = Ended.Outcome.AnswerComplete = true;
  Ended.Outcome.Status = 200;
  applyEvent(Timings, Node, Now, "backend_ended", Ended);
}

// Runs a request with this node as its entry. The attempt ends with status 200
// without running an owner.
void runRequest(EventTimings &Timings, core::State &Node, base::TimePoint &Now,
                std::uint64_t Sequence, std::size_t Routes) {
  core::RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sequence};
  Arrival.Facts.Method = "GET";
  Arrival.Facts.Path = "/path/" + std::to_string(Sequence % Routes);
  core::EffectList Effects =
      applyEvent(Timings, Node, Now, "request_arrived", std::move(Arrival));
  const auto *Start = find<core::StartAttempt>(Effects);
  if (!Start)
    return;
  base::AttemptId Attempt = Start->Facts.Attempt;
  core::AttemptOutcome Outcome;
  Outcome.Verdict = base::Verdict::Ran;
  Outcome.Status = 200;
  Outcome.Server = Start->Facts.PreferredServer;
  applyEvent(Timings, Node, Now, "attempt_ended",
             core::AttemptEnded{Attempt, Outcome});
}

Json measureReduce(std::size_t Servers) {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("self");
  Self.Region = base::RegionName("north");
  Self.Domain = base::DomainName("north-a");
  Self.PeerAddress = base::NetAddress("10.0.0.2:8081");
  Self.Incarnation = base::Incarnation(5);
  core::State Node = core::makeState(Self, 1);
  std::size_t Services = Servers / ServersPerService + 1;
  std::size_t Routes = Services * 8;
  Node.Config.Current =
      config::ConfigurationPtr(buildConfig(Routes, 10, Services));
  EventTimings Timings;
  base::TimePoint Now{1000000};
  applyEvent(Timings, Node, Now, "started", core::Started{});
  std::uint64_t BytesBefore = getBytesInUse();
  announceRemoteServers(Timings, Node, Now, Servers);
  std::uint64_t HeldBytes = getBytesInUse() - BytesBefore;
  announceLocalServers(Timings, Node, Now);
  // The first request of a service builds its routing set. That happens once,
  // so it isn't counted.
  EventTimings Ignored;
  for (std::size_t I = 0; I < Routes; ++I)
    runRequest(Ignored, Node, Now, (1ULL << 40) + I, Routes);
  for (int Round = 0; Round < RequestRounds; ++Round) {
    runRequest(Timings, Node, Now, static_cast<std::uint64_t>(Round) + 1,
               Routes);
    runRemoteAttempt(Timings, Node, Now, static_cast<std::uint64_t>(Round) + 1);
    if (Round % 500 == 0)
      announceLocalServers(Timings, Node, Now); // renewals
    if (Round % 100 == 0)
      answerProbes(
          Node, Now,
          applyEvent(Timings, Node, Now, "timer_fired", core::TimerFired{}));
  }
  Json Out = {{"servers", Servers},
              {"bytes_per_server_with_its_share_of_a_member",
               static_cast<double>(HeldBytes) / static_cast<double>(Servers)}};
  for (const auto &[Kind, Timing] : Timings.ByKind)
    Out["us"][Kind] = Timing.first / static_cast<double>(Timing.second);
  return Out;
}

double measureBytesPerEntry(std::size_t Routes, std::size_t Workspaces) {
  std::uint64_t BytesBefore = getBytesInUse();
  config::ConfigurationPtr Empty(buildConfig(10, 10, 10));
  std::uint64_t BaseBytes = getBytesInUse() - BytesBefore;
  BytesBefore = getBytesInUse();
  config::ConfigurationPtr Full(buildConfig(10 + Routes, 10 + Workspaces, 10));
  return static_cast<double>(getBytesInUse() - BytesBefore - BaseBytes) /
         static_cast<double>(Routes + Workspaces);
}

} // namespace
} // namespace currantgauge::bench

int main() {
  using namespace currantgauge::bench;
  Json Out;
  for (std::size_t Servers : {10, 1000, 110000})
    Out["reduce"].push_back(measureReduce(Servers));
  Out["bytes_per_route"] = measureBytesPerEntry(20000, 0);
  Out["bytes_per_workspace"] = measureBytesPerEntry(0, 100000);
  std::cout << Out.dump(2) << "\n";
  return 0;
}

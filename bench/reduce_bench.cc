// Microseconds a call of reduce() by kind of event, and bytes of memory a
// backend server, a member, a route and a workspace, at several sizes of fleet.
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

std::uint64_t bytesInUse() {
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

// Meter adds up time by kind of event.
struct Meter {
  std::map<std::string, std::pair<double, std::uint64_t>> ByKind;
};

core::EffectList apply(Meter &Watch, core::State &Node, base::TimePoint &Now,
                       const std::string &Kind, core::EventBody Body) {
  Now = Now + base::microseconds(200);
  core::Event Happened{Now, base::UnixTime{1}, std::move(Body)};
  core::EffectList Effects;
  auto Start = Clock::now();
  core::reduce(Node, Happened, Effects);
  auto &Sum = Watch.ByKind[Kind];
  Sum.first +=
      std::chrono::duration<double, std::micro>(Clock::now() - Start).count();
  ++Sum.second;
  return Effects;
}

template <typename What> const What *find(const core::EffectList &Effects) {
  for (const core::Effect &Each : Effects)
    if (const auto *Found = std::get_if<What>(&Each))
      return Found;
  return nullptr;
}

routing::BackendRecord recordOf(std::size_t I) {
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

// Every peer that is probed answers at once.
void answerProbes(core::State &Node, base::TimePoint &Now,
                  const core::EffectList &Effects) {
  Meter Ignored;
  for (const core::Effect &Each : Effects) {
    const auto *Sent = std::get_if<core::SendPeerMessage>(&Each);
    if (!Sent || Sent->Message.Kind != membership::MessageKind::Ping)
      continue;
    core::PeerMessageArrived Arrived;
    Arrived.Message.From = Sent->Recipient;
    Arrived.Message.FromAddress = Sent->Address;
    Arrived.Message.Kind = membership::MessageKind::Ack;
    Arrived.Message.Sequence = Sent->Message.Sequence;
    apply(Ignored, Node, Now, "ack", std::move(Arrived));
  }
}

// Peers tell of their servers, a message a node.
void tellServers(Meter &Watch, core::State &Node, base::TimePoint &Now,
                 std::size_t Servers) {
  for (std::size_t First = 0; First < Servers; First += ServersPerNode) {
    core::PeerMessageArrived Arrived;
    membership::PeerMessage &Message = Arrived.Message;
    std::string Owner = "node-" + std::to_string(First / ServersPerNode);
    Message.From = base::NodeName(Owner);
    Message.FromAddress = base::NetAddress("10.0.0.1:8081");
    membership::MemberRecord Member;
    Member.Name = Message.From;
    Member.PeerAddress = Message.FromAddress;
    Member.Region = base::RegionName("north");
    Member.Domain = base::DomainName("north-a");
    Member.Incarnation = base::Incarnation(1);
    Message.Members.push_back(Member);
    for (std::size_t I = First; I < First + ServersPerNode && I < Servers; ++I)
      Message.Backends.push_back(recordOf(I));
    apply(Watch, Node, Now, "peer_message_27_servers", std::move(Arrived));
  }
}

void announceOwn(Meter &Watch, core::State &Node, base::TimePoint &Now) {
  for (std::uint32_t I = 0; I < ServersPerNode; ++I) {
    core::BackendAnnounced Announced;
    Announced.Announcement.Name = base::BackendName("own-" + std::to_string(I));
    Announced.Announcement.Service = base::ServiceName("service-0");
    Announced.Announcement.Address = base::NetAddress("127.0.0.1:9");
    Announced.Announcement.Incarnation = base::Incarnation(1);
    Announced.Announcement.Slots = 4;
    apply(Watch, Node, Now, "backend_announced", std::move(Announced));
  }
}

// An attempt that another entry sent to a server of this node.
void runForeign(Meter &Watch, core::State &Node, base::TimePoint &Now,
                std::uint64_t Sequence) {
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
  apply(Watch, Node, Now, "attempt_arrived", Arrival);
  core::ExchangeEnded Ended;
  Ended.Attempt = Arrival.Facts.Attempt;
  Ended.Outcome.AnyByteSent = Ended.Outcome.AnswerComplete = true;
  Ended.Outcome.Status = 200;
  apply(Watch, Node, Now, "backend_ended", Ended);
}

// One request through entry and owner of this node, when it is chosen so.
void runRequest(Meter &Watch, core::State &Node, base::TimePoint &Now,
                std::uint64_t Sequence, std::size_t Routes) {
  core::RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sequence};
  Arrival.Facts.Method = "GET";
  Arrival.Facts.Path = "/path/" + std::to_string(Sequence % Routes);
  core::EffectList Effects =
      apply(Watch, Node, Now, "request_arrived", std::move(Arrival));
  const auto *Start = find<core::StartAttempt>(Effects);
  if (!Start)
    return;
  base::AttemptId Attempt = Start->Facts.Attempt;
  core::AttemptOutcome Outcome;
  Outcome.Verdict = base::Verdict::Ran;
  Outcome.Status = 200;
  Outcome.Server = Start->Facts.PreferredServer;
  apply(Watch, Node, Now, "attempt_ended",
        core::AttemptEnded{Attempt, Outcome});
}

Json measure(std::size_t Servers) {
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
  Meter Watch;
  base::TimePoint Now{1000000};
  apply(Watch, Node, Now, "started", core::Started{});
  std::uint64_t Before = bytesInUse();
  tellServers(Watch, Node, Now, Servers);
  std::uint64_t Held = bytesInUse() - Before;
  announceOwn(Watch, Node, Now);
  // A service's first request builds its routing set: once, not counted.
  Meter Ignored;
  for (std::size_t I = 0; I < Routes; ++I)
    runRequest(Ignored, Node, Now, (1ULL << 40) + I, Routes);
  for (int Round = 0; Round < RequestRounds; ++Round) {
    runRequest(Watch, Node, Now, static_cast<std::uint64_t>(Round) + 1, Routes);
    runForeign(Watch, Node, Now, static_cast<std::uint64_t>(Round) + 1);
    if (Round % 500 == 0)
      announceOwn(Watch, Node, Now); // renewals
    if (Round % 100 == 0)
      answerProbes(Node, Now,
                   apply(Watch, Node, Now, "timer_fired", core::TimerFired{}));
  }
  Json Out = {{"servers", Servers},
              {"bytes_per_server_with_its_share_of_a_member",
               static_cast<double>(Held) / static_cast<double>(Servers)}};
  for (const auto &[Kind, Sum] : Watch.ByKind)
    Out["us"][Kind] = Sum.first / static_cast<double>(Sum.second);
  return Out;
}

double bytesPer(std::size_t Routes, std::size_t Workspaces) {
  std::uint64_t Before = bytesInUse();
  config::ConfigurationPtr Empty(buildConfig(10, 10, 10));
  std::uint64_t Base = bytesInUse() - Before;
  Before = bytesInUse();
  config::ConfigurationPtr Full(buildConfig(10 + Routes, 10 + Workspaces, 10));
  return static_cast<double>(bytesInUse() - Before - Base) /
         static_cast<double>(Routes + Workspaces);
}

} // namespace
} // namespace currantgauge::bench

int main() {
  using namespace currantgauge::bench;
  Json Out;
  for (std::size_t Servers : {10, 1000, 110000})
    Out["reduce"].push_back(measure(Servers));
  Out["bytes_per_route"] = bytesPer(20000, 0);
  Out["bytes_per_workspace"] = bytesPer(0, 100000);
  std::cout << Out.dump(2) << "\n";
  return 0;
}

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <variant>

namespace currantgauge::core {
namespace {

const base::ServiceName Cutlist("cutlist");
const base::BackendName FirstServer("cutlist-1");
// Time until a server that announced its leave must get no new work. One whose
// lease expires has 2 s more.
constexpr base::Duration LeaveTimeout = base::seconds(3);

config::ConfigurationPtr sampleConfig() {
  auto *Config = new config::Configuration;
  Config->Services[Cutlist].Name = Cutlist;
  config::KindSettings &Read = Config->Kinds[base::KindName("read")];
  Read.Name = base::KindName("read");
  Read.Service = Cutlist;
  Read.Rank = base::RankName("normal");
  Read.Deadline = base::minutes(1);
  Config->Ranks[Read.Rank].Name = Read.Rank;
  Config->Routes["all"] = config::RouteSettings{"all", "", "/", Read.Name};
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

State makeNode(const std::string &Name) {
  NodeIdentity Self;
  Self.Name = base::NodeName(Name);
  Self.PeerAddress = base::NetAddress(Name);
  Self.Incarnation = base::Incarnation(1);
  Self.Seeds = {base::NetAddress("owner"), base::NetAddress("entry")};
  State Node = makeState(Self, 7);
  Node.Config.Current = sampleConfig();
  return Node;
}

// EntryAndOwner is an entry and an owner of two servers. Messages between them
// arrive immediately.
struct EntryAndOwner {
  State Entry = makeNode("entry");
  State Owner = makeNode("owner");
  base::TimePoint Now{1000000};
  std::vector<SendToBackend> Sent;
  std::vector<CancelExchange> Cancelled;
  std::uint64_t Requests = 0;

  base::UnixTime wallTime() const {
    return base::UnixTime{this->Now.Micros / 1000 + 1700000000000};
  }
  void apply(State &Node, EventBody Body) {
    EffectList Effects;
    reduce(Node, Event{this->Now, this->wallTime(), std::move(Body)}, Effects);
    for (const Effect &Item : Effects)
      this->deliver(Item);
  }
  void deliver(const Effect &Item) {
    if (const auto *Send = std::get_if<SendToBackend>(&Item))
      this->Sent.push_back(*Send);
    if (const auto *Cancel = std::get_if<CancelExchange>(&Item))
      this->Cancelled.push_back(*Cancel);
    if (const auto *Start = std::get_if<StartAttempt>(&Item))
      this->apply(this->Owner, AttemptArrived{Start->Facts});
    if (const auto *PeerSend = std::get_if<SendPeerMessage>(&Item))
      this->apply(PeerSend->Address.Value == "owner" ? this->Owner
                                                     : this->Entry,
                  PeerMessageArrived{PeerSend->Message});
  }
  void announce(const std::string &Name, routing::BackendPhase Phase,
                std::uint64_t Incarnation = 1) {
    BackendAnnounced Announced;
    Announced.Announcement.Name = base::BackendName(Name);
    Announced.Announcement.Service = Cutlist;
    Announced.Announcement.Incarnation = base::Incarnation(Incarnation);
    Announced.Announcement.Slots = 4;
    Announced.Announcement.Phase = Phase;
    this->apply(this->Owner, Announced);
  }
  void request() {
    RequestArrived Arrival;
    Arrival.Facts.Request = base::RequestId{1, ++this->Requests};
    Arrival.Facts.Path = "/lists";
    this->apply(this->Entry, Arrival);
  }
  // answerAll() completes the exchanges in Sent from index First on.
  void answerAll(std::size_t First) {
    for (std::size_t I = First; I < this->Sent.size(); ++I) {
      ExchangeEnded Ended;
      Ended.Attempt = this->Sent[I].Attempt;
      Ended.Outcome.AnyByteSent = true;
      Ended.Outcome.AnswerComplete = true;
      Ended.Outcome.Status = 200;
      this->apply(this->Owner, Ended);
    }
  }
  void advanceTime(base::Duration Elapsed) {
    for (base::TimePoint End = this->Now + Elapsed; this->Now < End;) {
      this->Now = this->Now + base::milliseconds(100);
      this->apply(this->Owner, TimerFired{});
      this->apply(this->Entry, TimerFired{});
    }
  }
};

// countSentTo() counts the exchanges in Sent, from index First on, with Server.
std::size_t countSentTo(const EntryAndOwner &Nodes,
                        const base::BackendName &Server, std::size_t First) {
  std::size_t Count = 0;
  for (std::size_t I = First; I < Nodes.Sent.size(); ++I)
    Count += Nodes.Sent[I].Server == Server ? 1 : 0;
  return Count;
}

EntryAndOwner makeEntryAndOwner() {
  EntryAndOwner Nodes;
  Nodes.apply(Nodes.Owner, Started{});
  Nodes.apply(Nodes.Entry, Started{});
  Nodes.announce("cutlist-1", routing::BackendPhase::Ready);
  Nodes.announce("cutlist-2", routing::BackendPhase::Ready);
  Nodes.advanceTime(base::seconds(2));
  return Nodes;
}

} // namespace

TEST_CASE(
    "a leaving server gets no new work and finishes its running attempts") {
  EntryAndOwner Nodes = makeEntryAndOwner();
  while (countSentTo(Nodes, FirstServer, 0) == 0 && Nodes.Requests < 6)
    Nodes.request();
  REQUIRE(countSentTo(Nodes, FirstServer, 0) > 0);
  Nodes.announce("cutlist-1", routing::BackendPhase::Leaving);
  auto Renew = [&] {
    Nodes.announce("cutlist-1", routing::BackendPhase::Leaving);
    Nodes.announce("cutlist-2", routing::BackendPhase::Ready);
  };
  for (base::TimePoint End = Nodes.Now + LeaveTimeout; Nodes.Now < End; Renew())
    Nodes.advanceTime(base::milliseconds(500));
  std::size_t Before = Nodes.Sent.size();
  for (int I = 0; I < 20; ++I, Renew()) {
    Nodes.request();
    Nodes.answerAll(Before);
    Nodes.advanceTime(base::milliseconds(100));
  }
  CHECK(Nodes.Sent.size() == Before + 20);
  CHECK(countSentTo(Nodes, FirstServer, Before) == 0);
  CHECK(Nodes.Cancelled.empty());
  Nodes.answerAll(0);
  CHECK(Nodes.Owner.Owner.Attempts.empty());
}

TEST_CASE("a server that stops renewing its lease gets no work after expiry") {
  EntryAndOwner Nodes = makeEntryAndOwner();
  base::TimePoint Last = Nodes.Now;
  while (Nodes.Now < Last + LeaveTimeout + base::seconds(2)) {
    Nodes.announce("cutlist-2", routing::BackendPhase::Ready);
    Nodes.advanceTime(base::milliseconds(500));
  }
  std::size_t Before = Nodes.Sent.size();
  for (int I = 0; I < 20; ++I) {
    Nodes.request();
    Nodes.answerAll(Before);
  }
  CHECK(countSentTo(Nodes, FirstServer, Before) == 0);
}

// Guards against a late announcement that revives a server after its exit.
TEST_CASE("a server that announced its exit before its owner knew it gets no "
          "requests") {
  EntryAndOwner Nodes = makeEntryAndOwner();
  const base::BackendName Third("cutlist-3");
  std::uint64_t Started =
      static_cast<std::uint64_t>(Nodes.wallTime().Millis) - 1000;
  BackendAnnounced Exit;
  Exit.Announcement.Name = Third;
  Exit.Announcement.Phase = routing::BackendPhase::Gone;
  Exit.Announcement.IncarnationIsStartTime = true;
  Nodes.apply(Nodes.Owner, Exit);
  Nodes.advanceTime(base::seconds(2));
  auto CountRequestsToThird = [&](std::uint64_t Incarnation) {
    std::size_t First = Nodes.Sent.size();
    for (int I = 0; I < 20; ++I) {
      Nodes.announce("cutlist-1", routing::BackendPhase::Ready);
      Nodes.announce("cutlist-2", routing::BackendPhase::Ready);
      Nodes.announce("cutlist-3", routing::BackendPhase::Ready, Incarnation);
      Nodes.request();
      Nodes.answerAll(First);
      Nodes.advanceTime(base::milliseconds(100));
    }
    return countSentTo(Nodes, Third, First);
  };
  CHECK(CountRequestsToThird(Started) == 0);
  CHECK(CountRequestsToThird(Started + 2000) > 0);
}

} // namespace currantgauge::core

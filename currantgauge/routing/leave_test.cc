#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>

namespace currantgauge::core {
namespace {

const base::ServiceName Cutlist("cutlist");
const base::BackendName Leaver("cutlist-1");
constexpr base::Duration LeaveLimit = base::seconds(3);

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
  Self.Life = base::Incarnation(1);
  Self.Seeds = {base::NetAddress("owner"), base::NetAddress("entry")};
  State Node = makeState(Self, 7);
  Node.Config.Current = sampleConfig();
  return Node;
}

// Pair is an entry and an owner of two servers; what one sends to the other
// arrives at once.
struct Pair {
  State Entry = makeNode("entry");
  State Owner = makeNode("owner");
  base::TimePoint Now{1000000};
  std::vector<SendToBackend> Sent;
  std::vector<CancelBackend> Cancelled;
  std::uint64_t Requests = 0;

  void apply(State &Node, EventBody Body) {
    EffectList Effects;
    reduce(Node, Event{this->Now, {}, std::move(Body)}, Effects);
    for (const Effect &Item : Effects)
      this->carry(Item);
  }
  void carry(const Effect &Item) {
    if (const auto *Send = std::get_if<SendToBackend>(&Item))
      this->Sent.push_back(*Send);
    if (const auto *Cancel = std::get_if<CancelBackend>(&Item))
      this->Cancelled.push_back(*Cancel);
    if (const auto *Start = std::get_if<StartAttempt>(&Item))
      this->apply(this->Owner, AttemptArrived{Start->Facts});
    if (const auto *Say = std::get_if<SendPeerMessage>(&Item))
      this->apply(Say->Address.Value == "owner" ? this->Owner : this->Entry,
                  PeerMessageArrived{Say->Message});
  }
  void announce(const std::string &Name, routing::BackendPhase Phase) {
    BackendAnnounced Said;
    Said.Word.Name = base::BackendName(Name);
    Said.Word.Service = Cutlist;
    Said.Word.Incarnation = base::Incarnation(1);
    Said.Word.Slots = 4;
    Said.Word.Phase = Phase;
    this->apply(this->Owner, Said);
  }
  void request() {
    RequestArrived Arrival;
    Arrival.Facts.Request = base::RequestId{1, ++this->Requests};
    Arrival.Facts.Path = "/lists";
    this->apply(this->Entry, Arrival);
  }
  void answerAll(std::size_t From) {
    for (std::size_t I = From; I < this->Sent.size(); ++I) {
      BackendEnded Ended;
      Ended.Attempt = this->Sent[I].Attempt;
      Ended.Outcome.AnyByteSent = true;
      Ended.Outcome.AnswerWhole = true;
      Ended.Outcome.Status = 200;
      this->apply(this->Owner, Ended);
    }
  }
  void pass(base::Duration Span) {
    for (base::TimePoint End = this->Now + Span; this->Now < End;) {
      this->Now = this->Now + base::milliseconds(100);
      this->apply(this->Owner, TimerFired{});
      this->apply(this->Entry, TimerFired{});
    }
  }
};

std::size_t sentTo(const Pair &Both, const base::BackendName &Server,
                   std::size_t From) {
  std::size_t Count = 0;
  for (std::size_t I = From; I < Both.Sent.size(); ++I)
    Count += Both.Sent[I].Server == Server ? 1 : 0;
  return Count;
}

Pair makePair() {
  Pair Both;
  Both.apply(Both.Owner, Started{});
  Both.apply(Both.Entry, Started{});
  Both.announce("cutlist-1", routing::BackendPhase::Ready);
  Both.announce("cutlist-2", routing::BackendPhase::Ready);
  Both.pass(base::seconds(2));
  return Both;
}

} // namespace

TEST_CASE("a leaving server gets no new work and keeps what runs there") {
  Pair Both = makePair();
  while (sentTo(Both, Leaver, 0) == 0 && Both.Requests < 6)
    Both.request();
  REQUIRE(sentTo(Both, Leaver, 0) > 0);
  Both.announce("cutlist-1", routing::BackendPhase::Leaving);
  auto Renew = [&] {
    Both.announce("cutlist-1", routing::BackendPhase::Leaving);
    Both.announce("cutlist-2", routing::BackendPhase::Ready);
  };
  for (base::TimePoint End = Both.Now + LeaveLimit; Both.Now < End; Renew())
    Both.pass(base::milliseconds(500));
  std::size_t Before = Both.Sent.size();
  for (int I = 0; I < 20; ++I, Renew()) {
    Both.request();
    Both.answerAll(Before);
    Both.pass(base::milliseconds(100));
  }
  CHECK(Both.Sent.size() == Before + 20);
  CHECK(sentTo(Both, Leaver, Before) == 0);
  CHECK(Both.Cancelled.empty());
  Both.answerAll(0);
  CHECK(Both.Owner.Owner.Attempts.empty());
}

TEST_CASE("a server that stops renewing gets no work after its lease") {
  Pair Both = makePair();
  base::TimePoint Last = Both.Now;
  while (Both.Now < Last + LeaveLimit + base::seconds(2)) {
    Both.announce("cutlist-2", routing::BackendPhase::Ready);
    Both.pass(base::milliseconds(500));
  }
  std::size_t Before = Both.Sent.size();
  for (int I = 0; I < 20; ++I) {
    Both.request();
    Both.answerAll(Before);
  }
  CHECK(sentTo(Both, Leaver, Before) == 0);
}

} // namespace currantgauge::core

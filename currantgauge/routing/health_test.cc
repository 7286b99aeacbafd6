#include "currantgauge/routing/health.h"

#include <doctest/doctest.h>

namespace currantgauge::routing {
namespace {

const base::BackendName Server("cutlist-1");
const base::ServiceName Cutlist("cutlist");

// Owner is a node that owns one server. run() starts an exchange with it and
// ends it after Elapsed, for Reason.
struct Owner {
  RoutingState State;
  membership::MembershipState Peers;
  base::TimePoint Now{1000000};
  std::uint64_t Last = 0;

  BackendRecord &record() { return this->State.Servers[Server].Record; }
  void run(base::Duration Elapsed, base::Reason Reason) {
    admission::QueuedAttempt Attempt;
    Attempt.Server = Server;
    Attempt.Facts.Attempt = base::AttemptId{1, ++this->Last};
    Attempt.Facts.Kind = base::KindName("lookup");
    Attempt.Facts.Idempotent = true;
    core::EffectList Effects;
    onExchangeStarted(this->State, Attempt, this->Now);
    this->Now = this->Now + Elapsed;
    onExchangeEnded(this->State, this->Peers, Attempt, {}, Reason, this->Now,
                    Effects);
  }
};

Owner makeOwner() {
  Owner Node;
  Node.record().Name = Server;
  Node.record().Service = Cutlist;
  Node.record().Slots = 4;
  Node.State.ByService[Cutlist].insert(Server);
  Node.State.Owned.insert(Server);
  return Node;
}

} // namespace

// Guards against stale published failure shares: at half of the servers, they
// raised the other servers' share so far that the failures of one server were
// missed.
TEST_CASE("the published failure share returns to zero after the failures") {
  Owner Node = makeOwner();
  constexpr base::Duration Elapsed = base::milliseconds(50);
  for (int I = 0; I < 100; ++I)
    Node.run(Elapsed,
             I % 3 == 0 ? base::Reason::BackendError : base::Reason::None);
  CHECK(Node.record().FailShare >= 0.15);
  for (int I = 0; I < 400; ++I)
    Node.run(Elapsed, base::Reason::None);
  CHECK(Node.record().FailShare == 0);
}

// Guards against other servers that publish no usual times for 15 s: a server
// that stalled in this time had no bounds and went undetected.
TEST_CASE("usual times are published as soon as they are known") {
  Owner Node = makeOwner();
  for (int I = 0; I < 100; ++I)
    Node.run(base::milliseconds(5), base::Reason::None);
  REQUIRE(Node.record().Times.size() == 1);
  CHECK(Node.record().Times[0].Kind == base::KindName("lookup"));
}

TEST_CASE("an entry without recent reports doesn't presume full servers") {
  Owner Entry = makeOwner();
  Entry.State.UnevenServers = true;
  Entry.State.Self = base::NodeName("entry");
  Entry.record().Owner = base::NodeName("owner");
  base::Random Source(1);
  core::EffectList Effects;
  ChoiceQuery Query;
  Query.Service = Cutlist;
  auto HasFreeSlot = [&](base::Duration Later) {
    Query.Now = Entry.Now + Later;
    return selectServer(Entry.State, Query, {}, Source, Effects).HasFreeSlot;
  };
  core::AttemptOutcome Full;
  Full.Load.Busy = 2;
  for (int I = 0; I < 50; ++I)
    noteOwnerReport(Entry.State, Server, Full, Entry.Now);
  CHECK_FALSE(HasFreeSlot(base::Duration{}));
  CHECK_FALSE(HasFreeSlot(base::seconds(1)));
  CHECK(HasFreeSlot(base::seconds(8)));
  Entry.Now = Entry.Now + base::seconds(8);
  noteOwnerReport(Entry.State, Server, Full, Entry.Now);
  CHECK_FALSE(HasFreeSlot(base::seconds(1)));
}

} // namespace currantgauge::routing

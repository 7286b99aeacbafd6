#include "currantgauge/routing/health.h"

#include <doctest/doctest.h>

namespace currantgauge::routing {
namespace {

const base::BackendName Server("cutlist-1");
const base::ServiceName Cutlist("cutlist");

// An owner with one server, to which exchanges come one after another.
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

// A stale share at half of the servers hid that one of them failed.
TEST_CASE("a failure share that is over is told as over") {
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

// Peers that were silent on their times for 15 s left a server that stalled
// early without a measure.
TEST_CASE("usual times are told as soon as they are known") {
  Owner Node = makeOwner();
  for (int I = 0; I < 100; ++I)
    Node.run(base::milliseconds(5), base::Reason::None);
  REQUIRE(Node.record().Times.size() == 1);
  CHECK(Node.record().Times[0].Kind == base::KindName("lookup"));
}

} // namespace currantgauge::routing

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
  void run(base::Duration Took, base::Reason Why) {
    admission::QueuedAttempt Attempt;
    Attempt.Server = Server;
    Attempt.Facts.Attempt = base::AttemptId{1, ++this->Last};
    Attempt.Facts.Kind = base::KindName("lookup");
    Attempt.Facts.Idempotent = true;
    core::EffectList Effects;
    onExchangeStarted(this->State, Attempt, this->Now);
    this->Now = this->Now + Took;
    onExchangeEnded(this->State, this->Peers, Attempt, {}, Why, this->Now,
                    Effects);
  }
};

Owner makeOwner() {
  Owner Made;
  Made.record().Name = Server;
  Made.record().Service = Cutlist;
  Made.record().Slots = 4;
  Made.State.ByService[Cutlist].insert(Server);
  Made.State.Owned.insert(Server);
  return Made;
}

} // namespace

// A stale share at half of the servers hid that one of them failed.
TEST_CASE("a failure share that is over is told as over") {
  Owner Made = makeOwner();
  constexpr base::Duration Took = base::milliseconds(50);
  for (int I = 0; I < 100; ++I)
    Made.run(Took,
             I % 3 == 0 ? base::Reason::BackendError : base::Reason::None);
  CHECK(Made.record().FailShare >= 0.15);
  for (int I = 0; I < 400; ++I)
    Made.run(Took, base::Reason::None);
  CHECK(Made.record().FailShare == 0);
}

// Peers that were silent on their times for 15 s left a server that stalled
// early without a measure.
TEST_CASE("usual times are told as soon as they are known") {
  Owner Made = makeOwner();
  for (int I = 0; I < 100; ++I)
    Made.run(base::milliseconds(5), base::Reason::None);
  REQUIRE(Made.record().Times.size() == 1);
  CHECK(Made.record().Times[0].Kind == base::KindName("lookup"));
}

} // namespace currantgauge::routing

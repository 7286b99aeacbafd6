#include "currantgauge/routing/slots.h"

#include <doctest/doctest.h>

namespace currantgauge::routing {
namespace {

constexpr base::TimePoint Start{1000000};

BackendServer makeServer(std::uint32_t Slots, base::Duration ColdStart) {
  BackendServer Server;
  Server.Record.Slots = Slots;
  Server.Record.ColdStart = ColdStart;
  Server.ReadySince = Start;
  return Server;
}

} // namespace

TEST_CASE("slots open one by one over the cold start") {
  BackendServer Server = makeServer(4, base::seconds(4));
  CHECK(countOpenSlots(Server, Start) == 1);
  CHECK(countOpenSlots(Server, Start + base::seconds(2)) == 2);
  CHECK(countOpenSlots(Server, Start + base::seconds(4)) == 4);
}

TEST_CASE(
    "a server that shed load gets no work until its Retry-After has passed") {
  BackendServer Server = makeServer(4, base::Duration{});
  base::TimePoint Now = Start + base::seconds(10);
  base::TimePoint Until = pauseServer(Server, base::seconds(2), Now);
  CHECK(Until == Now + base::seconds(2));
  CHECK(countOpenSlots(Server, Now) == 0);
  CHECK(countOpenSlots(Server, Until) == 1);
  CHECK(countOpenSlots(Server, Until + base::milliseconds(500)) == 2);
  CHECK(countOpenSlots(Server, Until + base::seconds(1)) == 4);
  // A shorter Retry-After doesn't shorten a pause.
  pauseServer(Server, base::seconds(5), Now);
  CHECK(pauseServer(Server, base::Duration{}, Now) == Now + base::seconds(5));
}

} // namespace currantgauge::routing

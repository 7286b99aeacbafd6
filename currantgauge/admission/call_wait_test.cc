#include "currantgauge/admission/queue_fixture_test.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

namespace currantgauge::admission {

// A service that is short of room: a call refused for its aim wastes the work
// of the request that waits for it.
TEST_CASE("a call waits as long as its request can, other work within its "
          "aim") {
  QueueFixture Fixture = makeFixture(1000);
  Fixture.Config.RequiresKeys = true;
  Fixture.Config.Kinds[base::KindName("read")].Aim = base::milliseconds(120);
  auto CountAdmitted = [&](const std::string &Workspace) {
    QueueFixture Copy = makeFixture(1000);
    Copy.Config = Fixture.Config;
    std::uint32_t Admitted = 0;
    for (int I = 0; I < 500; ++I) {
      QueuedAttempt &Attempt =
          addAttempt(Copy, "normal", "read", Workspace, base::seconds(1));
      Attempt.Facts.TimeLeft = base::seconds(1);
      if (enqueueAttempt(Copy, Attempt).Reason == base::Reason::None)
        ++Admitted;
      if (I < 20)
        serveNext(Copy);
    }
    return Admitted;
  };
  std::uint32_t Calls = CountAdmitted("");
  std::uint32_t Requests = CountAdmitted("w1");
  CHECK(Calls > 3 * Requests);
  // 50 a second and slot, 4 slots, 0.7 of the time that the work leaves.
  CHECK(Calls <= 20 + 140);
  Fixture.Config.RequiresKeys = false;
  CHECK(CountAdmitted("") == Requests);
}

} // namespace currantgauge::admission

#include "currantgauge/admission/pressure.h"

#include "currantgauge/base/random.h"

#include <doctest/doctest.h>

#include <cstdint>

namespace currantgauge::admission {
namespace {

const base::ServiceName Service("cutlist");
const base::NodeName Owner("b");
constexpr std::uint32_t Order = 2;
constexpr base::TimePoint Start{1000000};

// reportAttempts() reports 200 attempts within a second, of which RefusedShare
// are refused, and returns the time after the last one.
base::TimePoint reportAttempts(AdmissionState &State, double RefusedShare,
                               base::TimePoint Now) {
  double Due = 0;
  for (int I = 0; I < 200; ++I) {
    Now = Now + base::milliseconds(5);
    Due += RefusedShare;
    if (Due >= 1) {
      Due -= 1;
      noteRefused(State, Service, Order, Now);
    } else {
      noteStarted(State.Queues[Service].ByRank[Order], Now);
    }
  }
  return Now;
}

core::Pressure reportedPressure(double Share) {
  core::Pressure Result;
  Result.Service = Service;
  Result.Owner = Owner;
  Result.RankOrder = Order;
  Result.RefusedShare = Share;
  return Result;
}

} // namespace

TEST_CASE(
    "an owner reports pressure while it refuses attempts and then its end") {
  AdmissionState State;
  base::TimePoint Now = reportAttempts(State, 0, Start);
  CHECK(pressureOf(State, Service, Order).RefusedShare == 0);
  Now = reportAttempts(State, 0.9, Now);
  CHECK(pressureOf(State, Service, Order).RefusedShare > 0.5);
  CHECK(isPressed(State.Queues[Service].ByRank[Order], Now));
  for (int Second = 0; Second < 10; ++Second)
    Now = reportAttempts(State, 0, Now);
  CHECK(pressureOf(State, Service, Order).RefusedShare == 0);
  CHECK_FALSE(isPressed(State.Queues[Service].ByRank[Order], Now));
}

TEST_CASE("few attempts do not keep a rank's admitted share low") {
  AdmissionState State;
  base::TimePoint Now = reportAttempts(State, 0.95, Start);
  Now = Now + base::seconds(10);
  noteStarted(State.Queues[Service].ByRank[Order], Now);
  CHECK(pressureOf(State, Service, Order).RefusedShare == 0);
}

TEST_CASE("an entry sheds the reported share and probes with the rest") {
  AdmissionState State;
  base::Random Source(7);
  notePressure(State, reportedPressure(0.8), Start);
  int Shed = 0;
  for (int I = 0; I < 1000; ++I)
    Shed += shouldShed(State, Service, Owner, Order, Start,
                       base::uniformUnit(Source))
                ? 1
                : 0;
  CHECK(Shed == doctest::Approx(800).epsilon(0.05));
  CHECK_FALSE(shouldShed(State, Service, Owner, Order - 1, Start, 0));
}

TEST_CASE("reported pressure decays and a newer report replaces it") {
  AdmissionState State;
  notePressure(State, reportedPressure(0.8), Start);
  CHECK(pressureCost(State, Service, Owner, Order, Start) == 0.8);
  CHECK(pressureCost(State, Service, Owner, Order, Start + base::seconds(3)) <
        0.2);
  CHECK(pressureCost(State, Service, Owner, Order, Start + base::seconds(10)) ==
        0);
  notePressure(State, reportedPressure(0), Start + base::milliseconds(1));
  CHECK(pressureCost(State, Service, Owner, Order,
                     Start + base::milliseconds(2)) == 0);
}

} // namespace currantgauge::admission

#include "currantgauge/admission/queue.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::admission {
namespace {

constexpr std::uint32_t Slots = 4;
constexpr base::TimePoint Start{1000000};
constexpr base::Duration Aim = base::milliseconds(1200);
constexpr base::Duration ServiceTime = base::milliseconds(300);
const base::ServiceName Service("cutlist");

// QueueFixture is a queue of three kinds of work that take 300 ms each.
struct QueueFixture {
  AdmissionState State;
  config::Configuration Config;
  std::vector<QueuedAttemptPtr> Attempts;
  std::uint64_t LastSequence = 0;
};

QueuedAttemptPtr makeAttempt(QueueFixture &Fixture, const char *Kind,
                             std::uint32_t Order, std::uint32_t Number) {
  QueuedAttemptPtr Attempt(new QueuedAttempt);
  Attempt->Facts.Attempt = base::AttemptId{1, ++Fixture.LastSequence};
  Attempt->Facts.Service = Service;
  Attempt->Facts.Kind = base::KindName(Kind);
  Attempt->Facts.Number = Number;
  Attempt->RankOrder = Order;
  Attempt->ArrivedAt = Start;
  Attempt->Deadline = Start + base::seconds(8);
  Fixture.Attempts.push_back(Attempt);
  return Attempt;
}

base::Reason enqueueAttempt(QueueFixture &Fixture, const char *Kind,
                            std::uint32_t Order, std::uint32_t Number = 1) {
  return enqueue(Fixture.State, Fixture.Config,
                 *makeAttempt(Fixture, Kind, Order, Number), Slots, Start)
      .Reason;
}

bool takeNext(QueueFixture &Fixture) {
  QueuedAttempt *Next = peekNextToRun(Fixture.State, Service, Slots, Start);
  if (Next)
    dequeueToRun(Fixture.State, Fixture.Config, *Next, Start);
  return Next != nullptr;
}

QueueFixture makeFixture() {
  QueueFixture Fixture;
  for (const char *Name : {"order", "browse", "check"}) {
    config::KindSettings &Kind = Fixture.Config.Kinds[base::KindName(Name)];
    Kind.Name = base::KindName(Name);
    Kind.Service = Service;
    Kind.Aim = Aim;
    Fixture.State.Queues[Service].ServiceTimes[Kind.Name] = ServiceTime;
  }
  return Fixture;
}

} // namespace

TEST_CASE("long work leaves a slot free for more urgent short work") {
  QueueFixture Fixture = makeFixture();
  ServiceQueue &Queue = Fixture.State.Queues[Service];
  Queue.ByRank[0].LongTermSlotUse = 0.3;
  Queue.ByRank[0].MeanServiceTime = base::milliseconds(90);
  Queue.ByRank[2].MeanServiceTime = base::milliseconds(560);
  for (int I = 0; I < 4; ++I)
    REQUIRE(enqueueAttempt(Fixture, "browse", 2, 3) == base::Reason::None);
  for (int I = 0; I < 3; ++I)
    CHECK(takeNext(Fixture));
  CHECK_FALSE(takeNext(Fixture));
  REQUIRE(enqueueAttempt(Fixture, "check", 0, 3) == base::Reason::None);
  CHECK(takeNext(Fixture));
}

TEST_CASE("work of similar length may take every slot") {
  QueueFixture Fixture = makeFixture();
  ServiceQueue &Queue = Fixture.State.Queues[Service];
  Queue.ByRank[0].LongTermSlotUse = 0.3;
  Queue.ByRank[0].MeanServiceTime = base::milliseconds(250);
  Queue.ByRank[1].MeanServiceTime = base::milliseconds(300);
  for (int I = 0; I < 4; ++I)
    REQUIRE(enqueueAttempt(Fixture, "order", 1, 3) == base::Reason::None);
  for (int I = 0; I < 4; ++I)
    CHECK(takeNext(Fixture));
}

} // namespace currantgauge::admission

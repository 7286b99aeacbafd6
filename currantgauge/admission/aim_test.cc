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
constexpr base::Duration Work = base::milliseconds(300);
const base::ServiceName Service("cutlist");

// Owner is one queue in which every slot is taken by work of 300 ms.
struct Owner {
  AdmissionState State;
  config::Configuration Config;
  std::vector<QueuedAttemptPtr> Held;
  std::uint64_t Last = 0;
};

QueuedAttemptPtr makeAttempt(Owner &Case, const char *Kind, std::uint32_t Order,
                             std::uint32_t Number) {
  QueuedAttemptPtr Attempt(new QueuedAttempt);
  Attempt->Facts.Attempt = base::AttemptId{1, ++Case.Last};
  Attempt->Facts.Service = Service;
  Attempt->Facts.Kind = base::KindName(Kind);
  Attempt->Facts.Number = Number;
  Attempt->RankOrder = Order;
  Attempt->ArrivedAt = Start;
  Attempt->Deadline = Start + base::seconds(8);
  Case.Held.push_back(Attempt);
  return Attempt;
}

base::Reason put(Owner &Case, const char *Kind, std::uint32_t Order,
                 std::uint32_t Number = 1) {
  return enqueue(Case.State, Case.Config,
                 *makeAttempt(Case, Kind, Order, Number), Slots, Start)
      .Reason;
}

bool takeNext(Owner &Case) {
  QueuedAttempt *Next = peekNextToRun(Case.State, Service, Slots, Start);
  if (Next)
    dequeueToRun(Case.State, Case.Config, *Next, Start);
  return Next != nullptr;
}

Owner makeOwner() {
  Owner Case;
  for (const char *Name : {"order", "browse", "check"}) {
    config::KindSettings &Kind = Case.Config.Kinds[base::KindName(Name)];
    Kind.Name = base::KindName(Name);
    Kind.Service = Service;
    Kind.Aim = Aim;
    Case.State.Queues[Service].ServiceTimes[Kind.Name] = Work;
  }
  return Case;
}

} // namespace

TEST_CASE("long work leaves a slot to short work that is more urgent") {
  Owner Case = makeOwner();
  ServiceQueue &Queue = Case.State.Queues[Service];
  Queue.ByRank[0].LongTermSlotUse = 0.3;
  Queue.ByRank[0].MeanServiceTime = base::milliseconds(90);
  Queue.ByRank[2].MeanServiceTime = base::milliseconds(560);
  for (int I = 0; I < 4; ++I)
    REQUIRE(put(Case, "browse", 2, 3) == base::Reason::None);
  for (int I = 0; I < 3; ++I)
    CHECK(takeNext(Case));
  CHECK_FALSE(takeNext(Case));
  REQUIRE(put(Case, "check", 0, 3) == base::Reason::None);
  CHECK(takeNext(Case));
}

TEST_CASE("work of about the same length may take every slot") {
  Owner Case = makeOwner();
  ServiceQueue &Queue = Case.State.Queues[Service];
  Queue.ByRank[0].LongTermSlotUse = 0.3;
  Queue.ByRank[0].MeanServiceTime = base::milliseconds(250);
  Queue.ByRank[1].MeanServiceTime = base::milliseconds(300);
  for (int I = 0; I < 4; ++I)
    REQUIRE(put(Case, "order", 1, 3) == base::Reason::None);
  for (int I = 0; I < 4; ++I)
    CHECK(takeNext(Case));
}

} // namespace currantgauge::admission

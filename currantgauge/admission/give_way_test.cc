#include "currantgauge/admission/give_way.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <vector>

namespace currantgauge::admission {
namespace {

constexpr base::TimePoint Now{60'000'000};
constexpr base::ByteCount MiB{1024 * 1024};

PartialInput inputOf(base::ByteCount Held, base::Duration Standstill) {
  return PartialInput{Held, Now - Standstill};
}

MemoryShortage shortageOf(base::ByteCount Needed) {
  MemoryShortage Shortage;
  Shortage.Needed = Needed;
  return Shortage;
}

} // namespace

TEST_CASE("the input that holds most for longest gives way") {
  std::vector<PartialInput> Inputs = {
      inputOf(base::ByteCount{4 * MiB.Bytes}, base::milliseconds(600)),
      inputOf(MiB, base::seconds(10)),
      inputOf(base::ByteCount{1024}, base::seconds(30)),
      inputOf(base::ByteCount{8 * MiB.Bytes}, base::milliseconds(20))};
  ShortageDecision Decision = decideShortage(Inputs, shortageOf(MiB), Now);
  CHECK(Decision.Step == ShortageStep::GiveWay);
  CHECK(Decision.Victim == 1);
}

TEST_CASE("an input that makes progress or waits for memory doesn't give way") {
  std::vector<PartialInput> Inputs = {inputOf(MiB, base::milliseconds(100)),
                                      inputOf(MiB, base::seconds(10))};
  Inputs[1].AwaitsMemory = true;
  CHECK(decideShortage(Inputs, shortageOf(MiB), Now).Step ==
        ShortageStep::Refuse);
}

TEST_CASE("an input that can't yield is passed over") {
  std::vector<PartialInput> Inputs = {inputOf(MiB, base::seconds(10)),
                                      inputOf(MiB, base::seconds(1))};
  Inputs[0].CanYield = false;
  ShortageDecision Decision = decideShortage(Inputs, shortageOf(MiB), Now);
  CHECK(Decision.Step == ShortageStep::GiveWay);
  CHECK(Decision.Victim == 1);
  Inputs[0].GivesWay = true;
  CHECK(decideShortage(Inputs, shortageOf(MiB), Now).Step ==
        ShortageStep::GiveWay);
}

TEST_CASE("no more inputs give way than the shortage needs") {
  std::vector<PartialInput> Inputs = {inputOf(MiB, base::seconds(10)),
                                      inputOf(MiB, base::seconds(9))};
  Inputs[0].GivesWay = true;
  CHECK(decideShortage(Inputs, shortageOf(MiB), Now).Step ==
        ShortageStep::Wait);
  ShortageDecision Larger =
      decideShortage(Inputs, shortageOf(base::ByteCount{2 * MiB.Bytes}), Now);
  CHECK(Larger.Step == ShortageStep::GiveWay);
  CHECK(Larger.Victim == 1);
}

TEST_CASE("memory of requests in service is waited for, but not for long") {
  MemoryShortage Shortage = shortageOf(MiB);
  Shortage.InService = MiB;
  CHECK(decideShortage({}, Shortage, Now).Step == ShortageStep::Wait);
  Shortage.Waited = base::milliseconds(500);
  CHECK(decideShortage({}, Shortage, Now).Step == ShortageStep::Refuse);
}

// A crowd of 64 holds all memory and stops; each ordinary caller is received.
TEST_CASE("a stalled crowd gives way to ordinary callers one by one") {
  std::vector<PartialInput> Crowd;
  for (int I = 0; I < 64; ++I)
    Crowd.push_back(inputOf(base::ByteCount{384 * 1024}, base::seconds(1)));
  for (int Ordinary = 0; Ordinary < 64; ++Ordinary) {
    ShortageDecision Decision =
        decideShortage(Crowd, shortageOf(base::ByteCount{64 * 1024}), Now);
    REQUIRE(Decision.Step == ShortageStep::GiveWay);
    Crowd.erase(Crowd.begin() + static_cast<std::ptrdiff_t>(Decision.Victim));
  }
  CHECK(Crowd.empty());
}

} // namespace currantgauge::admission

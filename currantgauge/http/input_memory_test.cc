#include "currantgauge/http/input_memory.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>

namespace currantgauge::http {
namespace {

constexpr base::TimePoint Start{60'000'000};
constexpr base::ByteCount KiB{1024};

// ClaimsFixture is a crowd of callers of which each holds 1 KiB.
struct ClaimsFixture {
  InputClaims Claims;
  runtime::MemoryBudget Budget;
  std::deque<InputClaim> Crowd;
  std::deque<std::unique_ptr<ClaimScope>> Scopes;
  int Released = 0;

  explicit ClaimsFixture(std::size_t Callers) {
    this->Budget.Used = Callers * KiB.Bytes;
    for (std::size_t I = 0; I < Callers; ++I) {
      InputClaim &Claim = this->Crowd.emplace_back();
      Claim.GiveWay = [this] { ++this->Released; };
      this->Scopes.push_back(std::make_unique<ClaimScope>(this->Claims, Claim));
      Claim.Input.Held = KiB;
      Claim.Input.ProgressAt = Start - base::seconds(1);
    }
  }

  bool mayWait(base::ByteCount Needed, base::TimePoint Now) {
    return mayWaitForMemory(this->Claims, this->Budget, Needed, {}, Now);
  }
};

} // namespace

// Every request that waited searched all others, 20 times a second.
TEST_CASE("requests that wait together share one search per interval") {
  ClaimsFixture Fixture(2000);
  for (int I = 0; I < 2000; ++I)
    CHECK(Fixture.mayWait(KiB, Start));
  CHECK(Fixture.Claims.LastScan.Count == 1);
  CHECK(Fixture.Released == 1);
  for (int I = 0; I < 2000; ++I)
    CHECK(
        Fixture.mayWait(base::ByteCount{2 * KiB.Bytes}, Start + ScanInterval));
  CHECK(Fixture.Claims.LastScan.Count == 2);
  CHECK(Fixture.Released == 2);
}

TEST_CASE("between searches only what could not be released is refused") {
  ClaimsFixture Fixture(10);
  for (InputClaim &Claim : Fixture.Crowd)
    Claim.Input.ProgressAt = Start;
  CHECK_FALSE(Fixture.mayWait(KiB, Start));
  CHECK_FALSE(Fixture.mayWait(KiB, Start));
  CHECK(Fixture.mayWait(base::ByteCount{1}, Start));
  CHECK(Fixture.Claims.LastScan.Count == 1);
}

TEST_CASE("time in which the node holds a request up is no standstill") {
  ClaimsFixture Fixture(1);
  InputClaim &Claim = Fixture.Crowd.front();
  beginMemoryWait(Fixture.Claims, Claim);
  endMemoryWait(Fixture.Claims, Claim, base::milliseconds(800));
  CHECK_FALSE(Fixture.mayWait(KiB, Start));
  CHECK(Fixture.Released == 0);
}

} // namespace currantgauge::http

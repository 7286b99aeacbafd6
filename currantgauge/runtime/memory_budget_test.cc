#include "currantgauge/runtime/memory_budget.h"

#include <doctest/doctest.h>

#include <utility>

namespace currantgauge::runtime {
namespace {

constexpr base::ByteCount Part{60};

} // namespace

TEST_CASE("holds never exceed the budget together") {
  MemoryBudget Budget;
  Budget.Limit = base::ByteCount{100};
  MemoryHold First, Second;
  CHECK(tryHold(First, Budget, Part));
  CHECK_FALSE(hasMemory(Budget, Part));
  CHECK_FALSE(tryHold(Second, Budget, Part));
  CHECK(Budget.Used == 60);
  CHECK(tryHold(First, Budget, base::ByteCount{40}));
  CHECK(tryHold(Second, Budget, Part));
  CHECK(Budget.Used == 100);
}

TEST_CASE("a hold is released once, by whoever has it last") {
  MemoryBudget Budget;
  {
    MemoryHold Last;
    {
      MemoryHold First;
      REQUIRE(tryHold(First, Budget, Part));
      Last = std::move(First);
    }
    CHECK(Budget.Used == 60);
  }
  CHECK(Budget.Used == 0);
}

} // namespace currantgauge::runtime

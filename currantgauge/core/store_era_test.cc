#include "currantgauge/core/store_era.h"

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace currantgauge::core {
namespace {

// Reduces the answer to a call that no component waits for. Returns the number
// of store_restored lines.
std::size_t receiveEra(State &Node, std::uint64_t Era,
                       base::StoreStatus Status = base::StoreStatus::Done) {
  StoreAnswered Answer;
  Answer.Call = nextCallId(Node);
  Answer.Result.Status = Status;
  Answer.Result.Era = base::StoreEra(Era);
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{1000}, {}, Answer}, Effects);
  std::size_t Lines = 0;
  for (const Effect &Item : Effects)
    if (const auto *Line = std::get_if<LogLine>(&Item))
      Lines += Line->Event == "store_restored" ? 1 : 0;
  return Lines;
}

} // namespace

TEST_CASE("each restore of the store is logged and counted once") {
  State Node = makeState(NodeIdentity(), 1);
  CHECK(receiveEra(Node, 4) == 0);
  CHECK(receiveEra(Node, 4) == 0);
  CHECK(receiveEra(Node, 5, base::StoreStatus::HistoryLost) == 1);
  CHECK(receiveEra(Node, 5) == 0);
  CHECK(receiveEra(Node, 8, base::StoreStatus::Unavailable) == 1);
  CHECK(Node.Store.Restores == 2);
}

TEST_CASE("a late answer of an older era doesn't reset the known era") {
  State Node = makeState(NodeIdentity(), 1);
  receiveEra(Node, 5);
  CHECK(receiveEra(Node, 4) == 0);
  CHECK(receiveEra(Node, 0) == 0);
  CHECK(Node.Store.Era == base::StoreEra(5));
  base::StoreResult Late;
  Late.Era = base::StoreEra(4);
  CHECK(isOfOlderEra(Node.Store, Late));
  Late.Era = base::StoreEra();
  CHECK_FALSE(isOfOlderEra(Node.Store, Late));
}

TEST_CASE("a store that reports no era is never taken for a restored one") {
  State Node = makeState(NodeIdentity(), 1);
  CHECK(receiveEra(Node, 0) == 0);
  CHECK(receiveEra(Node, 0, base::StoreStatus::HistoryLost) == 0);
  CHECK(Node.Store.Restores == 0);
}

TEST_CASE("the first era after answers without one is a restore") {
  State Node = makeState(NodeIdentity(), 1);
  CHECK(receiveEra(Node, 0) == 0);
  CHECK(receiveEra(Node, 1) == 1);
}

} // namespace currantgauge::core

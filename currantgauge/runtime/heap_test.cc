#include "currantgauge/runtime/heap.h"

#include <doctest/doctest.h>

namespace currantgauge::runtime {

TEST_CASE("the heap is trimmed once after much memory was released") {
  constexpr base::ByteCount Little{1024}, Much{32UL * 1024 * 1024};
  HeapTrim Trim;
  CHECK_FALSE(isTrimDue(Trim, Little));
  CHECK_FALSE(isTrimDue(Trim, Much));
  CHECK(isTrimDue(Trim, Little));
  CHECK_FALSE(isTrimDue(Trim, Little));
}

} // namespace currantgauge::runtime

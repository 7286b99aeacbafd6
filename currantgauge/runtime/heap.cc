#include "currantgauge/runtime/heap.h"

#include <malloc.h>

#include <algorithm>
#include <cstdint>

namespace currantgauge::runtime {
namespace {

// The allocator's own initial value. Setting it stops the allocator from
// raising it to the size of the largest block that was freed.
constexpr int MappedBlockBytes = 128 * 1024;
constexpr std::uint64_t TrimBytes = 4UL * 1024 * 1024;

} // namespace

void mapLargeBlocks() { ::mallopt(M_MMAP_THRESHOLD, MappedBlockBytes); }

bool isTrimDue(HeapTrim &Trim, base::ByteCount Held) {
  Trim.Peak = std::max(Trim.Peak, Held);
  if (Trim.Peak.Bytes - Held.Bytes < TrimBytes)
    return false;
  Trim.Peak = Held;
  return true;
}

void trimHeap() { ::malloc_trim(0); }

} // namespace currantgauge::runtime

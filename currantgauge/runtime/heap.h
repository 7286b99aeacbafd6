// Returns memory that the process no longer uses to the system.
//
//   mapLargeBlocks(); // once, before threads start
//   if (isTrimDue(Trim, Held)) trimHeap();
#ifndef CURRANTGAUGE_RUNTIME_HEAP_H
#define CURRANTGAUGE_RUNTIME_HEAP_H

#include "currantgauge/base/units.h"

namespace currantgauge::runtime {

// mapLargeBlocks() makes the allocator map each large block by itself, so that
// it is returned as soon as it is freed.
void mapLargeBlocks();

// HeapTrim remembers how much messages have held since the heap was trimmed.
struct HeapTrim {
  base::ByteCount Peak;
};

// isTrimDue() returns whether much less is held now than before, and then
// starts over.
bool isTrimDue(HeapTrim &Trim, base::ByteCount Held);

// trimHeap() returns free memory of small blocks to the system. Allocations of
// other threads wait meanwhile.
void trimHeap();

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_HEAP_H

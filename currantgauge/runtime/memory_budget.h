// Bounds the memory that callers, backend servers and other nodes can make this
// node hold, in bytes of all their messages together.
//
//   MemoryHold Hold;
//   if (!tryHold(Hold, Budget, base::ByteCount{Size})) refuse();
#ifndef CURRANTGAUGE_RUNTIME_MEMORY_BUDGET_H
#define CURRANTGAUGE_RUNTIME_MEMORY_BUDGET_H

#include "currantgauge/base/units.h"

#include <atomic>
#include <cstdint>
#include <limits>

namespace currantgauge::runtime {

// MemoryBudget is thread-safe. It must outlive its holds. The limit is set
// before the budget is used.
struct MemoryBudget {
  base::ByteCount Limit{std::numeric_limits<std::uint64_t>::max()};
  std::atomic<std::uint64_t> Used{0}; // bytes, never above Limit
};

// MemoryHold is a part of a budget that is in use until the hold is destroyed.
struct MemoryHold {
  MemoryBudget *Budget = nullptr;
  base::ByteCount Size;

  MemoryHold() = default;
  MemoryHold(MemoryHold &&Other) noexcept;
  MemoryHold &operator=(MemoryHold &&Other) noexcept;
  ~MemoryHold();
};

// tryHold() changes the size of a hold. Returns false, and changes nothing, if
// it would exceed the limit. A decrease always succeeds.
bool tryHold(MemoryHold &Hold, MemoryBudget &Budget, base::ByteCount Size);

// hasMemory() returns whether Size more bytes could be held now.
bool hasMemory(const MemoryBudget &Budget, base::ByteCount Size);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_MEMORY_BUDGET_H

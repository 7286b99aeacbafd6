#include "currantgauge/runtime/memory_budget.h"

#include <utility>

namespace currantgauge::runtime {

MemoryHold::MemoryHold(MemoryHold &&Other) noexcept
    : Budget(Other.Budget), Size(std::exchange(Other.Size, {})) {}

MemoryHold &MemoryHold::operator=(MemoryHold &&Other) noexcept {
  std::swap(this->Budget, Other.Budget);
  std::swap(this->Size, Other.Size);
  return *this;
}

MemoryHold::~MemoryHold() {
  if (this->Budget)
    this->Budget->Used -= this->Size.Bytes;
}

bool tryHold(MemoryHold &Hold, MemoryBudget &Budget, base::ByteCount Size) {
  Hold.Budget = &Budget;
  if (Size <= Hold.Size) {
    Budget.Used -= Hold.Size.Bytes - Size.Bytes;
    Hold.Size = Size;
    return true;
  }
  std::uint64_t More = Size.Bytes - Hold.Size.Bytes;
  std::uint64_t Used = Budget.Used;
  do {
    if (More > Budget.Limit.Bytes - Used)
      return false;
  } while (!Budget.Used.compare_exchange_weak(Used, Used + More));
  Hold.Size = Size;
  return true;
}

bool hasMemory(const MemoryBudget &Budget, base::ByteCount Size) {
  return Size.Bytes <= Budget.Limit.Bytes - Budget.Used;
}

} // namespace currantgauge::runtime

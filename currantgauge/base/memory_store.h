// The platform's service in memory: the same operations and conditions, for a
// node without a platform, for the stand-in and for tests.
//
//   MemoryStore Store;
//   StoreResult Result = applyOperation(Store, ReadRow{"claims", Key});
#ifndef CURRANTGAUGE_BASE_MEMORY_STORE_H
#define CURRANTGAUGE_BASE_MEMORY_STORE_H

#include "currantgauge/base/store.h"

#include <cstdint>
#include <map>
#include <string>

namespace currantgauge::base {

// MemoryRow is a row and its revision, which its ETag names.
struct MemoryRow {
  std::string Value;
  std::uint64_t Revision = 0;
};

// MemoryStore holds tables and objects.
struct MemoryStore {
  std::map<std::string, std::map<std::string, MemoryRow>> Tables;
  std::map<std::string, std::string> Objects;
  std::uint64_t LastRevision = 0;
};

// applyOperation() carries out an operation. A WriteRows applies all its rows,
// or none and returns ConditionFailed with the present rows that stood in the
// way.
StoreResult applyOperation(MemoryStore &Store, const StoreOperation &Operation);

} // namespace currantgauge::base

#endif // CURRANTGAUGE_BASE_MEMORY_STORE_H

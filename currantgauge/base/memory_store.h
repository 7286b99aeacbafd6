// An in-memory implementation of the platform's store with the same operations
// and write conditions. Used by nodes that run without a platform, by the
// platform stand-in and by tests.
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

// MemoryRow is a row and its revision, from which its ETag is made.
struct MemoryRow {
  std::string Value;
  std::uint64_t Revision = 0;
};

// MemoryStore holds the rows of all tables by key, and all objects by name.
struct MemoryStore {
  std::map<std::string, std::map<std::string, MemoryRow>> Tables;
  std::map<std::string, std::string> Objects;
  std::uint64_t LastRevision = 0;
};

// applyOperation() executes an operation. WriteRows is atomic: if any write
// condition fails, it applies nothing and returns ConditionFailed with the
// existing rows that conflict.
StoreResult applyOperation(MemoryStore &Store, const StoreOperation &Operation);

} // namespace currantgauge::base

#endif // CURRANTGAUGE_BASE_MEMORY_STORE_H

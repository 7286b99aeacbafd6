#include "currantgauge/base/memory_store.h"

#include <variant>

namespace currantgauge::base {
namespace {

std::string formatETag(const MemoryRow &Row) {
  return '"' + std::to_string(Row.Revision) + '"';
}

const MemoryRow *findRow(const MemoryStore &Store, const std::string &Table,
                         const std::string &Key) {
  auto Rows = Store.Tables.find(Table);
  if (Rows == Store.Tables.end())
    return nullptr;
  auto It = Rows->second.find(Key);
  return It == Rows->second.end() ? nullptr : &It->second;
}

bool isConditionMet(const RowWrite &Write, const MemoryRow *Existing) {
  switch (Write.Condition) {
  case WriteCondition::Always:
    return true;
  case WriteCondition::IfAbsent:
    return Existing == nullptr;
  case WriteCondition::IfMatch:
    return Existing != nullptr && formatETag(*Existing) == Write.ETag;
  }
  return false;
}

StoreResult apply(MemoryStore &Store, const ReadRow &Read) {
  const MemoryRow *Existing = findRow(Store, Read.Table, Read.Key);
  if (!Existing)
    return StoreResult{StoreStatus::NotFound, {}, {}};
  StoreRow Row{Read.Key, Existing->Value, formatETag(*Existing)};
  return StoreResult{StoreStatus::Done, {Row}, {}};
}

StoreResult apply(MemoryStore &Store, const ScanRows &Scan) {
  StoreResult Result{StoreStatus::Done, {}, {}};
  const auto &Rows = Store.Tables[Scan.Table];
  for (auto Row = Rows.upper_bound(Scan.After);
       Row != Rows.end() && Result.Rows.size() < Scan.Limit; ++Row)
    Result.Rows.push_back(
        StoreRow{Row->first, Row->second.Value, formatETag(Row->second)});
  return Result;
}

StoreResult apply(MemoryStore &Store, const WriteRows &Writes) {
  StoreResult Result{StoreStatus::Done, {}, {}};
  for (const RowWrite &Write : Writes.Rows) {
    const MemoryRow *Existing = findRow(Store, Write.Table, Write.Key);
    if (isConditionMet(Write, Existing))
      continue;
    Result.Status = StoreStatus::ConditionFailed;
    if (Existing)
      Result.Rows.push_back(
          StoreRow{Write.Key, Existing->Value, formatETag(*Existing)});
  }
  if (Result.Status != StoreStatus::Done)
    return Result;
  for (const RowWrite &Write : Writes.Rows) {
    auto &Rows = Store.Tables[Write.Table];
    if (Write.Remove) {
      Rows.erase(Write.Key);
      continue;
    }
    MemoryRow &Row = Rows[Write.Key];
    Row = MemoryRow{Write.Value, ++Store.LastRevision};
    Result.Rows.push_back(StoreRow{Write.Key, {}, formatETag(Row)});
  }
  return Result;
}

StoreResult apply(MemoryStore &Store, const GetObject &Get) {
  auto It = Store.Objects.find(Get.Name);
  if (It == Store.Objects.end())
    return StoreResult{StoreStatus::NotFound, {}, {}};
  return StoreResult{StoreStatus::Done, {}, It->second};
}

StoreResult apply(MemoryStore &Store, const PutObject &Put) {
  Store.Objects[Put.Name] = Put.Bytes;
  return StoreResult{StoreStatus::Done, {}, {}};
}

StoreResult apply(MemoryStore &Store, const DeleteObject &Delete) {
  Store.Objects.erase(Delete.Name);
  return StoreResult{StoreStatus::Done, {}, {}};
}

// The memory store of a node has a single client, which already knows its own
// writes, so no changed rows are reported.
StoreResult apply(MemoryStore &Store, const WatchRows &) {
  StoreResult Result{StoreStatus::Done, {}, {}};
  Result.Revision = Store.LastRevision;
  return Result;
}

} // namespace

StoreResult applyOperation(MemoryStore &Store,
                           const StoreOperation &Operation) {
  return std::visit([&](const auto &Typed) { return apply(Store, Typed); },
                    Operation);
}

} // namespace currantgauge::base

#include "currantgauge/base/memory_store.h"

#include <variant>

namespace currantgauge::base {
namespace {

std::string etagOf(const MemoryRow &Row) {
  return '"' + std::to_string(Row.Revision) + '"';
}

const MemoryRow *findRow(const MemoryStore &Store, const std::string &Table,
                         const std::string &Key) {
  auto Rows = Store.Tables.find(Table);
  if (Rows == Store.Tables.end())
    return nullptr;
  auto Found = Rows->second.find(Key);
  return Found == Rows->second.end() ? nullptr : &Found->second;
}

bool conditionHolds(const RowWrite &Write, const MemoryRow *Present) {
  switch (Write.Condition) {
  case WriteCondition::Always:
    return true;
  case WriteCondition::IfAbsent:
    return Present == nullptr;
  case WriteCondition::IfMatch:
    return Present != nullptr && etagOf(*Present) == Write.ETag;
  }
  return false;
}

StoreResult apply(MemoryStore &Store, const ReadRow &Read) {
  const MemoryRow *Present = findRow(Store, Read.Table, Read.Key);
  if (!Present)
    return StoreResult{StoreStatus::NotFound, {}, {}};
  StoreRow Row{Read.Key, Present->Value, etagOf(*Present)};
  return StoreResult{StoreStatus::Done, {Row}, {}};
}

StoreResult apply(MemoryStore &Store, const ScanRows &Scan) {
  StoreResult Result{StoreStatus::Done, {}, {}};
  const auto &Rows = Store.Tables[Scan.Table];
  for (auto Row = Rows.upper_bound(Scan.After);
       Row != Rows.end() && Result.Rows.size() < Scan.Limit; ++Row)
    Result.Rows.push_back(
        StoreRow{Row->first, Row->second.Value, etagOf(Row->second)});
  return Result;
}

StoreResult apply(MemoryStore &Store, const WriteRows &Writes) {
  StoreResult Result{StoreStatus::Done, {}, {}};
  for (const RowWrite &Write : Writes.Rows) {
    const MemoryRow *Present = findRow(Store, Write.Table, Write.Key);
    if (conditionHolds(Write, Present))
      continue;
    Result.Status = StoreStatus::ConditionFailed;
    if (Present)
      Result.Rows.push_back(
          StoreRow{Write.Key, Present->Value, etagOf(*Present)});
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
    Result.Rows.push_back(StoreRow{Write.Key, {}, etagOf(Row)});
  }
  return Result;
}

StoreResult apply(MemoryStore &Store, const GetObject &Get) {
  auto Found = Store.Objects.find(Get.Name);
  if (Found == Store.Objects.end())
    return StoreResult{StoreStatus::NotFound, {}, {}};
  return StoreResult{StoreStatus::Done, {}, Found->second};
}

StoreResult apply(MemoryStore &Store, const PutObject &Put) {
  Store.Objects[Put.Name] = Put.Bytes;
  return StoreResult{StoreStatus::Done, {}, {}};
}

StoreResult apply(MemoryStore &Store, const DeleteObject &Delete) {
  Store.Objects.erase(Delete.Name);
  return StoreResult{StoreStatus::Done, {}, {}};
}

// A store in memory has one user, which knows what it wrote.
StoreResult apply(MemoryStore &Store, const WatchRows &) {
  StoreResult Result{StoreStatus::Done, {}, {}};
  Result.Revision = Store.LastRevision;
  return Result;
}

} // namespace

StoreResult applyOperation(MemoryStore &Store,
                           const StoreOperation &Operation) {
  return std::visit([&](const auto &What) { return apply(Store, What); },
                    Operation);
}

} // namespace currantgauge::base

// Operations on the platform's store (table rows and objects) and their
// results, as data. The reducer emits a StoreOperation in a CallStore effect
// and receives the StoreResult in a StoreAnswered event.
//
//   StoreOperation Claim = WriteRows{{RowWrite{"claims", Key, Value,
//                                              WriteCondition::IfAbsent, ""}}};
#ifndef CURRANTGAUGE_BASE_STORE_H
#define CURRANTGAUGE_BASE_STORE_H

#include "currantgauge/base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace currantgauge::base {

// WriteCondition is the precondition of a row write, as If-None-Match and
// If-Match in RFC 9110.
enum class WriteCondition { Always, IfAbsent, IfMatch };

// RowWrite writes or removes one row. ETag is used only with IfMatch.
struct RowWrite {
  std::string Table;
  std::string Key;
  std::string Value;
  WriteCondition Condition = WriteCondition::Always;
  std::string ETag;
  bool Remove = false;
};

// ReadRow reads one row.
struct ReadRow {
  std::string Table;
  std::string Key;
};

// ScanRows reads up to Limit rows of a table, in key order, whose keys are
// greater than After.
struct ScanRows {
  std::string Table;
  std::string After;
  std::uint32_t Limit = 100;
};

// WriteRows writes all rows in one atomic transaction, or none if the condition
// of one of them fails.
struct WriteRows {
  std::vector<RowWrite> Rows;
};

// GetObject reads an object by name.
struct GetObject {
  std::string Name;
};

// PutObject writes an object by name.
struct PutObject {
  std::string Name;
  std::string Bytes;
};

// DeleteObject deletes an object. Deleting a missing object returns Done.
struct DeleteObject {
  std::string Name;
};

// WatchRows is a long poll: it waits up to WaitMillis for rows of a table that
// changed after Revision. The store may answer earlier without any rows.
struct WatchRows {
  std::string Table;
  std::uint64_t Revision = 0;
  std::uint32_t WaitMillis = 0;
};

using StoreOperation = std::variant<ReadRow, ScanRows, WriteRows, GetObject,
                                    PutObject, DeleteObject, WatchRows>;

// StoreStatus is the outcome of an operation as far as the client knows it.
enum class StoreStatus {
  Done,
  NotFound,
  ConditionFailed, // not applied; Rows holds the conflicting rows if known
  HistoryLost,     // WatchRows: changes were discarded, rescan the table
  Unavailable,     // definitely not applied
  Unknown,         // may have been applied; read back to find out
};

// StoreRow is a row returned by the store.
struct StoreRow {
  std::string Key;
  std::string Value;
  std::string ETag;
  bool Removed = false; // WatchRows: the row was deleted
};

// StoreResult is the result of a StoreOperation.
struct StoreResult {
  StoreStatus Status = StoreStatus::Unavailable;
  std::vector<StoreRow> Rows;
  std::string Bytes;          // content of the object for GetObject
  std::uint64_t Revision = 0; // of the whole store when read; 0: unknown
  // Describes the first malformed row that was skipped; empty: no row was.
  std::string RowError;
  // Revisions and ETags are comparable only within an era.
  StoreEra Era;
  std::uint32_t MalformedRows = 0; // that were skipped
};

// operationName() returns an operation's snake_case name for metrics.
std::string_view operationName(const StoreOperation &Operation);

// statusName() returns a status's snake_case name for metrics.
std::string_view statusName(StoreStatus Status);

} // namespace currantgauge::base

#endif // CURRANTGAUGE_BASE_STORE_H

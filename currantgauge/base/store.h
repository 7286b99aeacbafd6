// The platform's service as data: operations on table rows and objects, and
// what is known after each. Decisions emit a StoreOperation in an effect and
// take the StoreResult from an event.
//
//   StoreOperation Claim = WriteRows{{RowWrite{"claims", Key, Value,
//                                              WriteCondition::IfAbsent, ""}}};
#ifndef CURRANTGAUGE_BASE_STORE_H
#define CURRANTGAUGE_BASE_STORE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace currantgauge::base {

// WriteCondition guards a row write (RFC 9110, If-None-Match and If-Match).
enum class WriteCondition { Always, IfAbsent, IfMatch };

// RowWrite writes one row; ETag is used with IfMatch alone.
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

// ScanRows reads up to Limit rows of a table whose keys follow After.
struct ScanRows {
  std::string Table;
  std::string After;
  std::uint32_t Limit = 100;
};

// WriteRows writes all rows in one transaction, or none.
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

// DeleteObject removes an object; Done also when there is none.
struct DeleteObject {
  std::string Name;
};

// WatchRows waits up to WaitMillis for rows of a table that changed after
// Revision; the service may answer earlier, without rows.
struct WatchRows {
  std::string Table;
  std::uint64_t Revision = 0;
  std::uint32_t WaitMillis = 0;
};

using StoreOperation = std::variant<ReadRow, ScanRows, WriteRows, GetObject,
                                    PutObject, DeleteObject, WatchRows>;

// StoreStatus is what is known after an operation.
enum class StoreStatus {
  Done,
  NotFound,
  ConditionFailed, // not applied; Rows holds the present rows where known
  HistoryLost,     // of WatchRows: changes were forgotten, read the table again
  Unavailable,     // certainly not applied
  Unknown,         // may have been applied: settle it by a read
};

// StoreRow is a row as read.
struct StoreRow {
  std::string Key;
  std::string Value;
  std::string ETag;
  bool Removed = false; // of WatchRows: the row is gone
};

// StoreResult answers a StoreOperation.
struct StoreResult {
  StoreStatus Status = StoreStatus::Unavailable;
  std::vector<StoreRow> Rows;
  std::string Bytes;          // of GetObject
  std::uint64_t Revision = 0; // of the whole store as read, 0: not told
  // What is wrong with the first row that was left out; empty: all were read.
  std::string RowError;
};

// operationName() returns the snake_case name used in metrics.
std::string_view operationName(const StoreOperation &Operation);

// statusName() returns the snake_case name used in metrics.
std::string_view statusName(StoreStatus Status);

} // namespace currantgauge::base

#endif // CURRANTGAUGE_BASE_STORE_H

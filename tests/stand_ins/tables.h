// The store of the machines' platform in memory: rows with version numbers,
// transactions, objects and a change feed, in the platform's protocol. It can
// be put back to an earlier copy, which loses what was written since.
//
//   TableStore Tables;
//   if (auto Response = handleTableRequest(Tables, Request, Now))
//     send(*Response);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_TABLES_H
#define CURRANTGAUGE_TESTS_STAND_INS_TABLES_H

#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::stand_ins {

using TimePoint = std::chrono::steady_clock::time_point;

// TableRow is the value of a row, in base64 as it was written, and the version
// of the transaction that wrote it.
struct TableRow {
  std::string Value;
  std::uint64_t Version = 0;
};

// RowName is a table and a key. The "part" of the protocol is always empty.
using RowName = std::pair<std::string, std::string>;

// RowChange is one entry of the change feed.
struct RowChange {
  RowName Row;
  std::uint64_t Version = 0;
};

// TableUndo reverts one write: the store's version and the rows and objects
// that the write changed, as they were before it. No value: absent.
struct TableUndo {
  TimePoint WrittenAt;
  std::uint64_t Version = 0;
  std::map<RowName, std::optional<TableRow>> Rows;
  std::map<std::string, std::optional<std::string>> Objects;
};

// TableStore is the state of the store.
struct TableStore {
  std::map<RowName, TableRow> Rows;
  std::map<std::string, std::string> Objects;
  std::vector<RowChange> Changes;
  std::uint64_t Version = 0;
  std::uint64_t DroppedVersion = 0; // history up to here was dropped
  std::uint64_t Era = 1;            // rises by one with each restore
  std::deque<TableUndo> UndoLog;    // oldest write first
};

// handleTableRequest() executes one call; an unknown one gets 404. Returns no
// value for a feed request that has no changes yet. Throws if a body is
// malformed.
std::optional<boost::beast::http::response<boost::beast::http::string_body>>
handleTableRequest(
    TableStore &Tables,
    const boost::beast::http::request<boost::beast::http::string_body> &Request,
    TimePoint Now);

// emptyFeedResponse() is the response to a feed request that timed out.
boost::beast::http::response<boost::beast::http::string_body>
emptyFeedResponse(const TableStore &Tables);

// writeAsOperator() writes a row of the operator's table. Value is plain text,
// which it encodes in base64.
void writeAsOperator(TableStore &Tables, const std::string &Key,
                     const std::string &Value, TimePoint Now);

// dropHistory() drops the recorded changes. A feed request after an older
// version than the current one then gets 410.
void dropHistory(TableStore &Tables);

// restoreCopy() puts the store back to a copy of Moment, or of MaxCopyAge
// before the last write if that is later. Versions go back with it.
void restoreCopy(TableStore &Tables, TimePoint Moment);

// setEraField() sets the header field that all responses of the store have.
void setEraField(
    const TableStore &Tables,
    boost::beast::http::response<boost::beast::http::string_body> &Response);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_TABLES_H

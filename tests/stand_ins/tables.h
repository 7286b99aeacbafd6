// The store of the machines' platform in memory: rows with version numbers,
// transactions and a feed of changes, as its protocol says.
//
//   TableStore Tables;
//   if (auto Answer = handleTableRequest(Tables, Request)) send(*Answer);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_TABLES_H
#define CURRANTGAUGE_TESTS_STAND_INS_TABLES_H

#include <boost/beast/http.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::stand_ins {

// TableRow is a row's value, in base64 as it was written, and the transaction
// that wrote it.
struct TableRow {
  std::string Value;
  std::uint64_t Version = 0;
};

// RowName is a table and a key; the parts are all empty.
using RowName = std::pair<std::string, std::string>;

// RowChange is one line of the feed.
struct RowChange {
  RowName Row;
  std::uint64_t Version = 0;
};

// TableStore is the state.
struct TableStore {
  std::map<RowName, TableRow> Rows;
  std::map<std::string, std::string> Objects;
  std::vector<RowChange> Changes;
  std::uint64_t Version = 0;
  std::uint64_t DroppedVersion = 0; // changes up to this one
};

// handleTableRequest() applies one call; none while a feed has nothing to tell.
std::optional<boost::beast::http::response<boost::beast::http::string_body>>
handleTableRequest(
    TableStore &Tables,
    const boost::beast::http::request<boost::beast::http::string_body>
        &Request);

// emptyFeedResponse() is the answer of a feed whose time is over.
boost::beast::http::response<boost::beast::http::string_body>
emptyFeedResponse(const TableStore &Tables);

// writeAsOperator() writes a row of the operator; Value is plain bytes.
void writeAsOperator(TableStore &Tables, const std::string &Key,
                     const std::string &Value);

// dropHistory() drops the changes so far; feeds behind them get 410.
void dropHistory(TableStore &Tables);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_TABLES_H

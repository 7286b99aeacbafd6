#include "tests/stand_ins/tables.h"

#include "tests/stand_ins/target.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace currantgauge::stand_ins {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

constexpr std::size_t MaxRows = 500; // per response
// Bounds the undo log.
constexpr std::chrono::seconds MaxCopyAge{60};

HttpResponse makeResponse(const TableStore &Tables, http::status Status,
                          json Rows = json::array(), bool HasMore = false) {
  HttpResponse Response{Status, 11};
  setEraField(Tables, Response);
  Response.set(http::field::content_type, "application/json");
  Response.body() = json{
      {"rows", std::move(Rows)},
      {"hasMore", HasMore},
      {"versionNumber", Tables.Version},
      {"monotonicTimeMs",
       0}}.dump();
  return Response;
}

json nameJson(const RowName &Name) {
  return {{"table", Name.first}, {"part", ""}, {"key", Name.second}};
}

json rowJson(const RowName &Name, const TableRow &Row) {
  json Encoded = nameJson(Name);
  Encoded["value"] = Row.Value;
  Encoded["versionNumber"] = Row.Version;
  return Encoded;
}

RowName nameOf(const json &Entry) {
  return {Entry.at("table"), Entry.at("key")};
}

std::uint64_t versionOf(const TableStore &Tables, const RowName &Name) {
  auto It = Tables.Rows.find(Name);
  return It == Tables.Rows.end() ? 0 : It->second.Version;
}

// Starts a write: the rows and objects that it changes are to be added to the
// entry before they change.
TableUndo &startUndo(TableStore &Tables, TimePoint Now) {
  while (!Tables.UndoLog.empty() &&
         Tables.UndoLog.front().WrittenAt + MaxCopyAge < Now)
    Tables.UndoLog.pop_front();
  return Tables.UndoLog.emplace_back(TableUndo{Now, Tables.Version, {}, {}});
}

// Copies Items[Name] to the undo entry, unless the same write changed it
// before.
template <typename Map, typename UndoMap>
void keepForUndo(const Map &Items, const typename Map::key_type &Name,
                 UndoMap &Undo) {
  auto It = Items.find(Name);
  if (It == Items.end())
    Undo.try_emplace(Name);
  else
    Undo.try_emplace(Name, It->second);
}

template <typename Map, typename UndoMap>
void revert(Map &Items, const UndoMap &Undo) {
  for (const auto &[Name, Item] : Undo)
    if (Item)
      Items[Name] = *Item;
    else
      Items.erase(Name);
}

// No value for Row removes the row.
void changeRow(TableStore &Tables, TableUndo &Undo, const RowName &Name,
               std::optional<TableRow> Row) {
  keepForUndo(Tables.Rows, Name, Undo.Rows);
  if (Row)
    Tables.Rows[Name] = std::move(*Row);
  else
    Tables.Rows.erase(Name);
  Tables.Changes.push_back(RowChange{Name, Tables.Version});
}

HttpResponse runTransaction(TableStore &Tables, const json &Body,
                            TimePoint Now) {
  json Conflicts = json::array();
  bool ConditionsHold = true;
  for (const json &Entry : Body.value("expected", json::array())) {
    RowName Name = nameOf(Entry);
    ConditionsHold =
        ConditionsHold && versionOf(Tables, Name) == Entry.at("versionNumber");
    if (auto It = Tables.Rows.find(Name); It != Tables.Rows.end())
      Conflicts.push_back(rowJson(Name, It->second));
  }
  if (!ConditionsHold)
    return makeResponse(Tables, http::status::precondition_failed, Conflicts);
  TableUndo &Undo = startUndo(Tables, Now);
  ++Tables.Version;
  for (const json &Entry : Body.value("put", json::array()))
    changeRow(Tables, Undo, nameOf(Entry),
              TableRow{Entry.at("value"), Tables.Version});
  for (const json &Entry : Body.value("remove", json::array()))
    changeRow(Tables, Undo, nameOf(Entry), std::nullopt);
  return makeResponse(Tables, http::status::ok);
}

HttpResponse getRows(const TableStore &Tables, RequestTarget &Target) {
  std::size_t Limit = MaxRows;
  if (Target.Query.count("limit") != 0)
    Limit = std::min<std::size_t>(
        Limit, std::strtoul(Target.Query["limit"].c_str(), nullptr, 10));
  json Rows = json::array();
  bool HasMore = false;
  RowName From{Target.Query["table"], Target.Query["from"]};
  for (auto Row = Tables.Rows.lower_bound(From);
       Row != Tables.Rows.end() && Row->first.first == From.first; ++Row) {
    HasMore = Rows.size() == Limit;
    if (HasMore)
      break;
    Rows.push_back(rowJson(Row->first, Row->second));
  }
  return makeResponse(Tables, http::status::ok, Rows, HasMore);
}

std::optional<HttpResponse> readFeed(const TableStore &Tables,
                                     RequestTarget &Target) {
  std::uint64_t After =
      std::strtoull(Target.Query["after"].c_str(), nullptr, 10);
  if (After < Tables.DroppedVersion || After > Tables.Version)
    return makeResponse(Tables, http::status::gone);
  std::set<RowName> Reported;
  json Rows = json::array();
  for (const RowChange &Change : Tables.Changes) {
    bool Matches =
        Change.Version > After && Change.Row.first == Target.Query["table"];
    if (!Matches || !Reported.insert(Change.Row).second)
      continue;
    auto Present = Tables.Rows.find(Change.Row);
    json Row = Present == Tables.Rows.end()
                   ? nameJson(Change.Row)
                   : rowJson(Change.Row, Present->second);
    if (Present == Tables.Rows.end())
      Row["removed"] = true;
    Rows.push_back(std::move(Row));
  }
  if (Rows.empty())
    return std::nullopt;
  return makeResponse(Tables, http::status::ok, Rows);
}

HttpResponse handleObject(TableStore &Tables, const HttpRequest &Request,
                          const std::string &Name, TimePoint Now) {
  if (Request.method() != http::verb::get)
    keepForUndo(Tables.Objects, Name, startUndo(Tables, Now).Objects);
  if (Request.method() == http::verb::put) {
    Tables.Objects[Name] = Request.body();
    return makeResponse(Tables, http::status::ok);
  }
  if (Request.method() == http::verb::delete_) {
    Tables.Objects.erase(Name);
    return makeResponse(Tables, http::status::ok);
  }
  auto It = Tables.Objects.find(Name);
  if (It == Tables.Objects.end())
    return makeResponse(Tables, http::status::not_found);
  HttpResponse Response{http::status::ok, 11};
  setEraField(Tables, Response);
  Response.body() = It->second;
  return Response;
}

} // namespace

std::optional<HttpResponse> handleTableRequest(TableStore &Tables,
                                               const HttpRequest &Request,
                                               TimePoint Now) {
  RequestTarget Target = parseTarget(Request.target());
  bool IsApi = Target.Parts.size() >= 2 && Target.Parts[0] == "api";
  std::string Call = IsApi ? Target.Parts[1] : "";
  if (Call == "rows-tx")
    return runTransaction(Tables, json::parse(Request.body()), Now);
  if (Call == "rows-get")
    return getRows(Tables, Target);
  if (Call == "rows-feed")
    return readFeed(Tables, Target);
  if (Call.starts_with("blob-") && Target.Parts.size() == 3)
    return handleObject(Tables, Request, Target.Parts[2], Now);
  return makeResponse(Tables, http::status::not_found);
}

HttpResponse emptyFeedResponse(const TableStore &Tables) {
  return makeResponse(Tables, http::status::ok);
}

void writeAsOperator(TableStore &Tables, const std::string &Key,
                     const std::string &Value, TimePoint Now) {
  std::string Text(4 * ((Value.size() + 2) / 3) + 1, '\0');
  int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Value.data()),
                      static_cast<int>(Value.size()));
  Text.resize(static_cast<std::size_t>(Size));
  TableUndo &Undo = startUndo(Tables, Now);
  ++Tables.Version;
  changeRow(Tables, Undo, {"op", Key}, TableRow{Text, Tables.Version});
}

void dropHistory(TableStore &Tables) {
  Tables.DroppedVersion = Tables.Version;
  Tables.Changes.clear();
}

// History that was dropped stays dropped.
void restoreCopy(TableStore &Tables, TimePoint Moment) {
  while (!Tables.UndoLog.empty() && Tables.UndoLog.back().WrittenAt > Moment) {
    const TableUndo &Undo = Tables.UndoLog.back();
    revert(Tables.Rows, Undo.Rows);
    revert(Tables.Objects, Undo.Objects);
    Tables.Version = Undo.Version;
    Tables.UndoLog.pop_back();
  }
  Tables.DroppedVersion = std::min(Tables.DroppedVersion, Tables.Version);
  std::erase_if(Tables.Changes, [&](const RowChange &Change) {
    return Change.Version > Tables.Version;
  });
  ++Tables.Era;
}

void setEraField(const TableStore &Tables, HttpResponse &Response) {
  Response.set("Store-Era", std::to_string(Tables.Era));
}

} // namespace currantgauge::stand_ins

#include "tests/stand_ins/tables.h"

#include "tests/stand_ins/target.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <cstdlib>
#include <set>

namespace currantgauge::stand_ins {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::size_t MostRows = 500; // of one answer

Response answer(const TableStore &Tables, http::status Status,
                json Rows = json::array(), bool HasMore = false) {
  Response Answer{Status, 11};
  Answer.set(http::field::content_type, "application/json");
  Answer.body() = json{
      {"rows", std::move(Rows)},
      {"hasMore", HasMore},
      {"versionNumber", Tables.Version},
      {"monotonicTimeMs",
       0}}.dump();
  return Answer;
}

json nameJson(const RowName &Name) {
  return {{"table", Name.first}, {"part", ""}, {"key", Name.second}};
}

json rowJson(const RowName &Name, const TableRow &Row) {
  json Shown = nameJson(Name);
  Shown["value"] = Row.Value;
  Shown["versionNumber"] = Row.Version;
  return Shown;
}

RowName nameOf(const json &Entry) {
  return {Entry.at("table"), Entry.at("key")};
}

std::uint64_t versionOf(const TableStore &Tables, const RowName &Name) {
  auto Found = Tables.Rows.find(Name);
  return Found == Tables.Rows.end() ? 0 : Found->second.Version;
}

void change(TableStore &Tables, const RowName &Name) {
  Tables.Changes.push_back(RowChange{Name, Tables.Version});
}

Response transact(TableStore &Tables, const json &Body) {
  json InTheWay = json::array();
  bool Holds = true;
  for (const json &Entry : Body.value("expected", json::array())) {
    RowName Name = nameOf(Entry);
    Holds = Holds && versionOf(Tables, Name) == Entry.at("versionNumber");
    if (auto Found = Tables.Rows.find(Name); Found != Tables.Rows.end())
      InTheWay.push_back(rowJson(Name, Found->second));
  }
  if (!Holds)
    return answer(Tables, http::status::precondition_failed, InTheWay);
  ++Tables.Version;
  for (const json &Entry : Body.value("put", json::array())) {
    Tables.Rows[nameOf(Entry)] = TableRow{Entry.at("value"), Tables.Version};
    change(Tables, nameOf(Entry));
  }
  for (const json &Entry : Body.value("remove", json::array())) {
    Tables.Rows.erase(nameOf(Entry));
    change(Tables, nameOf(Entry));
  }
  return answer(Tables, http::status::ok);
}

Response getRows(const TableStore &Tables, RequestTarget &Asked) {
  std::size_t Limit = MostRows;
  if (Asked.Query.count("limit") != 0)
    Limit = std::min<std::size_t>(
        Limit, std::strtoul(Asked.Query["limit"].c_str(), nullptr, 10));
  json Rows = json::array();
  bool HasMore = false;
  RowName From{Asked.Query["table"], Asked.Query["from"]};
  for (auto Row = Tables.Rows.lower_bound(From);
       Row != Tables.Rows.end() && Row->first.first == From.first; ++Row) {
    HasMore = Rows.size() == Limit;
    if (HasMore)
      break;
    Rows.push_back(rowJson(Row->first, Row->second));
  }
  return answer(Tables, http::status::ok, Rows, HasMore);
}

std::optional<Response> feed(const TableStore &Tables, RequestTarget &Asked) {
  std::uint64_t After =
      std::strtoull(Asked.Query["after"].c_str(), nullptr, 10);
  if (After < Tables.DroppedVersion)
    return answer(Tables, http::status::gone);
  std::set<RowName> Told;
  json Rows = json::array();
  for (const RowChange &Each : Tables.Changes) {
    bool Asks = Each.Version > After && Each.Row.first == Asked.Query["table"];
    if (!Asks || !Told.insert(Each.Row).second)
      continue;
    auto Present = Tables.Rows.find(Each.Row);
    json Row = Present == Tables.Rows.end()
                   ? nameJson(Each.Row)
                   : rowJson(Each.Row, Present->second);
    if (Present == Tables.Rows.end())
      Row["removed"] = true;
    Rows.push_back(std::move(Row));
  }
  if (Rows.empty())
    return std::nullopt;
  return answer(Tables, http::status::ok, Rows);
}

Response object(TableStore &Tables, const Request &Asked,
                const std::string &Name) {
  if (Asked.method() == http::verb::put) {
    Tables.Objects[Name] = Asked.body();
    return answer(Tables, http::status::ok);
  }
  if (Asked.method() == http::verb::delete_) {
    Tables.Objects.erase(Name);
    return answer(Tables, http::status::ok);
  }
  auto Found = Tables.Objects.find(Name);
  if (Found == Tables.Objects.end())
    return answer(Tables, http::status::not_found);
  Response Answer{http::status::ok, 11};
  Answer.body() = Found->second;
  return Answer;
}

} // namespace

std::optional<Response> handleTableRequest(TableStore &Tables,
                                           const Request &Asked) {
  RequestTarget Where = parseTarget(Asked.target());
  bool IsApi = Where.Parts.size() >= 2 && Where.Parts[0] == "api";
  std::string Call = IsApi ? Where.Parts[1] : "";
  if (Call == "rows-tx")
    return transact(Tables, json::parse(Asked.body()));
  if (Call == "rows-get")
    return getRows(Tables, Where);
  if (Call == "rows-feed")
    return feed(Tables, Where);
  if (Call.starts_with("blob-") && Where.Parts.size() == 3)
    return object(Tables, Asked, Where.Parts[2]);
  return answer(Tables, http::status::not_found);
}

Response emptyFeedResponse(const TableStore &Tables) {
  return answer(Tables, http::status::ok);
}

void writeAsOperator(TableStore &Tables, const std::string &Key,
                     const std::string &Value) {
  std::string Text(4 * ((Value.size() + 2) / 3) + 1, '\0');
  int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Value.data()),
                      static_cast<int>(Value.size()));
  Text.resize(static_cast<std::size_t>(Size));
  ++Tables.Version;
  Tables.Rows[{"op", Key}] = TableRow{Text, Tables.Version};
  change(Tables, {"op", Key});
}

void dropHistory(TableStore &Tables) {
  Tables.DroppedVersion = Tables.Version;
  Tables.Changes.clear();
}

} // namespace currantgauge::stand_ins

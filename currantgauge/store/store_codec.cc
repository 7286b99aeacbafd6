#include "currantgauge/store/store_codec.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <variant>

namespace currantgauge::store {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr int HttpVersion = 11;

StoreRequest makeRequest(http::verb Verb, const std::string &Target) {
  return StoreRequest{Verb, Target, HttpVersion};
}

std::string makeRowTarget(const std::string &Table, const std::string &Key) {
  return "/tables/" + encodePercent(Table) + "/rows/" + encodePercent(Key);
}

StoreRequest encode(const base::ReadRow &Read) {
  return makeRequest(http::verb::get, makeRowTarget(Read.Table, Read.Key));
}

StoreRequest encode(const base::ScanRows &Scan) {
  return makeRequest(http::verb::get,
                     "/tables/" + encodePercent(Scan.Table) +
                         "/rows?after=" + encodePercent(Scan.After) +
                         "&limit=" + std::to_string(Scan.Limit));
}

StoreRequest encodeRow(const base::RowWrite &Write) {
  StoreRequest Request =
      makeRequest(Write.Remove ? http::verb::delete_ : http::verb::put,
                  makeRowTarget(Write.Table, Write.Key));
  if (Write.Condition == base::WriteCondition::IfAbsent)
    Request.set(http::field::if_none_match, "*");
  if (Write.Condition == base::WriteCondition::IfMatch)
    Request.set(http::field::if_match, Write.ETag);
  Request.body() = Write.Value;
  return Request;
}

json encodeRowAsJson(const base::RowWrite &Write) {
  json Item = {{"table", Write.Table}, {"key", Write.Key}};
  if (Write.Remove)
    Item["remove"] = true;
  else
    Item["value"] = Write.Value;
  if (Write.Condition == base::WriteCondition::IfAbsent)
    Item["if_none_match"] = "*";
  if (Write.Condition == base::WriteCondition::IfMatch)
    Item["if_match"] = Write.ETag;
  return Item;
}

StoreRequest encode(const base::WriteRows &Writes) {
  if (Writes.Rows.size() == 1)
    return encodeRow(Writes.Rows[0]);
  json Items = json::array();
  for (const base::RowWrite &Write : Writes.Rows)
    Items.push_back(encodeRowAsJson(Write));
  StoreRequest Request = makeRequest(http::verb::post, "/transactions");
  Request.set(http::field::content_type, "application/json");
  Request.body() = json{{"writes", Items}}.dump();
  return Request;
}

StoreRequest encode(const base::GetObject &Get) {
  return makeRequest(http::verb::get, "/objects/" + encodePercent(Get.Name));
}

StoreRequest encode(const base::PutObject &Put) {
  StoreRequest Request =
      makeRequest(http::verb::put, "/objects/" + encodePercent(Put.Name));
  Request.body() = Put.Bytes;
  return Request;
}

StoreRequest encode(const base::DeleteObject &Delete) {
  return makeRequest(http::verb::delete_,
                     "/objects/" + encodePercent(Delete.Name));
}

// The native protocol has no change feed.
StoreRequest encode(const base::WatchRows &Watch) {
  return makeRequest(http::verb::get,
                     "/tables/" + encodePercent(Watch.Table) + "/changes");
}

// An overloaded or unavailable service refuses an operation (429 or 503) before
// it applies anything. After any other server error, a write may have been
// applied.
base::StoreStatus decodeStatus(const base::StoreOperation &Operation,
                               const StoreResponse &Response) {
  unsigned Code = Response.result_int();
  if (Code >= 200 && Code < 300)
    return base::StoreStatus::Done;
  if (Code == 404 && std::holds_alternative<base::DeleteObject>(Operation))
    return base::StoreStatus::Done;
  if (Code == 404 && !isWrite(Operation))
    return base::StoreStatus::NotFound;
  if (Code == 412)
    return base::StoreStatus::ConditionFailed;
  if (Code < 500 || Code == 503 || !isWrite(Operation))
    return base::StoreStatus::Unavailable;
  return base::StoreStatus::Unknown;
}

std::vector<base::StoreRow> parseRows(const std::string &Body) {
  std::vector<base::StoreRow> Rows;
  json Parsed = json::parse(Body);
  for (const json &Item : Parsed.at("rows"))
    Rows.push_back(
        base::StoreRow{Item.at("key"), Item.at("value"), Item.at("etag")});
  return Rows;
}

} // namespace

std::optional<StoreRequest>
encodeOperation(const base::StoreOperation &Operation) {
  try {
    return std::visit([](const auto &Typed) { return encode(Typed); },
                      Operation);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

base::StoreResult decodeAnswer(const base::StoreOperation &Operation,
                               const StoreResponse &Response) {
  base::StoreResult Result;
  Result.Status = decodeStatus(Operation, Response);
  bool HasBody = Result.Status == base::StoreStatus::Done ||
                 Result.Status == base::StoreStatus::ConditionFailed;
  if (!HasBody || std::holds_alternative<base::PutObject>(Operation) ||
      std::holds_alternative<base::DeleteObject>(Operation))
    return Result;
  if (std::holds_alternative<base::GetObject>(Operation)) {
    Result.Bytes = Response.body();
    return Result;
  }
  if (const auto *Read = std::get_if<base::ReadRow>(&Operation)) {
    Result.Rows.push_back(base::StoreRow{
        Read->Key, Response.body(), std::string(Response[http::field::etag])});
    return Result;
  }
  try {
    Result.Rows = parseRows(Response.body());
  } catch (const json::exception &) {
    // For a write, the HTTP status alone tells whether it was applied.
    if (!isWrite(Operation))
      Result.Status = base::StoreStatus::Unavailable;
  }
  return Result;
}

} // namespace currantgauge::store

#include "tests/stand_ins/platform.h"

#include "tests/stand_ins/target.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>
#include <variant>

namespace currantgauge::stand_ins {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

// Range of the fixed sequence that LoseShare is compared with.
constexpr std::uint64_t LoseShareScale = 1000;
// Tests write the operator's document here.
constexpr char ConfigPath[] = "/control/config";

json rowsOf(const base::StoreResult &Result) {
  json Rows = json::array();
  for (const base::StoreRow &Row : Result.Rows)
    Rows.push_back(
        {{"key", Row.Key}, {"value", Row.Value}, {"etag", Row.ETag}});
  return Rows;
}

base::RowWrite parseRowWrite(const json &Item) {
  base::RowWrite Write;
  Write.Table = Item.at("table");
  Write.Key = Item.at("key");
  Write.Value = Item.value("value", "");
  Write.Remove = Item.value("remove", false);
  if (Item.value("if_none_match", "") == "*")
    Write.Condition = base::WriteCondition::IfAbsent;
  if (Item.contains("if_match")) {
    Write.Condition = base::WriteCondition::IfMatch;
    Write.ETag = Item.at("if_match");
  }
  return Write;
}

base::RowWrite parseRowWrite(const HttpRequest &Request,
                             const RequestTarget &Target) {
  base::RowWrite Write;
  Write.Table = Target.Parts.at(1);
  Write.Key = Target.Parts.at(3);
  Write.Value = Request.body();
  Write.Remove = Request.method() == http::verb::delete_;
  if (Request[http::field::if_none_match] == "*")
    Write.Condition = base::WriteCondition::IfAbsent;
  if (Request.count(http::field::if_match) != 0) {
    Write.Condition = base::WriteCondition::IfMatch;
    Write.ETag = std::string(Request[http::field::if_match]);
  }
  return Write;
}

base::WriteRows parseTransaction(const HttpRequest &Request) {
  base::WriteRows Transaction;
  json Body = json::parse(Request.body());
  for (const json &Item : Body.at("writes"))
    Transaction.Rows.push_back(parseRowWrite(Item));
  return Transaction;
}

// Returns no value if the request is not a store operation.
std::optional<base::StoreOperation> parseOperation(const HttpRequest &Request) {
  RequestTarget Target = parseTarget(Request.target());
  const auto &Parts = Target.Parts;
  bool IsGet = Request.method() == http::verb::get;
  if (Parts.size() == 1 && Parts[0] == "transactions")
    return parseTransaction(Request);
  if (Parts.size() == 2 && Parts[0] == "objects" && IsGet)
    return base::GetObject{Parts[1]};
  if (Parts.size() == 2 && Parts[0] == "objects" &&
      Request.method() == http::verb::delete_)
    return base::DeleteObject{Parts[1]};
  if (Parts.size() == 2 && Parts[0] == "objects")
    return base::PutObject{Parts[1], Request.body()};
  if (Parts.size() < 3 || Parts[0] != "tables" || Parts[2] != "rows")
    return std::nullopt;
  if (Parts.size() == 3)
    return base::ScanRows{Parts[1], Target.Query["after"],
                          static_cast<std::uint32_t>(std::strtoul(
                              Target.Query["limit"].c_str(), nullptr, 10))};
  if (IsGet)
    return base::ReadRow{Parts[1], Parts[3]};
  return base::WriteRows{{parseRowWrite(Request, Target)}};
}

http::status statusOf(base::StoreStatus Status) {
  switch (Status) {
  case base::StoreStatus::Done:
    return http::status::ok;
  case base::StoreStatus::NotFound:
    return http::status::not_found;
  case base::StoreStatus::ConditionFailed:
    return http::status::precondition_failed;
  default:
    return http::status::service_unavailable;
  }
}

HttpResponse makeResponse(http::status Status, std::string Body = {}) {
  HttpResponse Response{Status, 11};
  Response.body() = std::move(Body);
  return Response;
}

HttpResponse encodeResult(const base::StoreOperation &Operation,
                          const base::StoreResult &Result) {
  HttpResponse Response = makeResponse(statusOf(Result.Status));
  if (std::holds_alternative<base::GetObject>(Operation)) {
    Response.body() = Result.Bytes;
    return Response;
  }
  bool IsRead = std::holds_alternative<base::ReadRow>(Operation);
  if (IsRead && !Result.Rows.empty()) {
    Response.set(http::field::etag, Result.Rows[0].ETag);
    Response.body() = Result.Rows[0].Value;
    return Response;
  }
  Response.set(http::field::content_type, "application/json");
  Response.body() = json{{"rows", rowsOf(Result)}}.dump();
  return Response;
}

bool isWrite(const base::StoreOperation &Operation) {
  return std::holds_alternative<base::WriteRows>(Operation) ||
         std::holds_alternative<base::PutObject>(Operation) ||
         std::holds_alternative<base::DeleteObject>(Operation);
}

// Returns whether one more operation in the current second exceeds
// MaxPerSecond, and counts it if not. 0 is no limit.
bool exceedsRate(RateCount &Rate, double MaxPerSecond, TimePoint Now) {
  std::int64_t Second =
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
          .count();
  if (Second != Rate.Second)
    Rate = RateCount{Second, 0};
  if (MaxPerSecond > 0 && Rate.Count + 1 > MaxPerSecond)
    return true;
  Rate.Count += 1;
  return false;
}

// Returns whether the response to a write is to be lost, and counts it if so.
// LoseShare uses a fixed sequence instead of random numbers, so that a run is
// reproducible.
bool decideAnswerLoss(PlatformState &Platform) {
  PlatformFaults &Faults = Platform.Faults;
  bool LosesAnswer = Faults.LoseAnswers > 0;
  if (LosesAnswer) {
    --Faults.LoseAnswers;
  } else {
    std::uint64_t Draw = (++Platform.Draws * 7919) % LoseShareScale;
    LosesAnswer = static_cast<double>(Draw) < Faults.LoseShare * LoseShareScale;
  }
  Platform.LostAnswers += LosesAnswer ? 1 : 0;
  return LosesAnswer;
}

json faultsJson(const PlatformState &Platform) {
  const PlatformFaults &Faults = Platform.Faults;
  return {{"outage", Faults.Outage},
          {"delay_ms", Faults.DelayMillis},
          {"lose_answers", Faults.LoseAnswers},
          {"lose_share", Faults.LoseShare},
          {"writes_per_second", Faults.WritesPerSecond},
          {"reads_per_second", Faults.ReadsPerSecond},
          {"reads", Platform.Reads},
          {"writes", Platform.Writes},
          {"rows", Platform.WrittenRows},
          {"limited", Platform.RateLimited},
          {"lost", Platform.LostAnswers}};
}

HttpResponse control(PlatformState &Platform, const HttpRequest &Request,
                     TimePoint Now) {
  if (Request.target() == ConfigPath) {
    writeAsOperator(Platform.Tables, "config", Request.body(), Now);
    return makeResponse(http::status::ok);
  }
  if (Request.method() == http::verb::put) {
    json Body = json::parse(Request.body());
    if (Body.value("forget", false))
      dropHistory(Platform.Tables);
    if (Body.contains("restore_ms"))
      restoreCopy(Platform.Tables,
                  Now - std::chrono::milliseconds(
                            Body["restore_ms"].get<std::uint32_t>()));
    PlatformFaults &Faults = Platform.Faults;
    Faults.Outage = Body.value("outage", "");
    Faults.DelayMillis = Body.value("delay_ms", 0U);
    Faults.LoseAnswers = Body.value("lose_answers", 0U);
    Faults.LoseShare = Body.value("lose_share", 0.0);
    Faults.WritesPerSecond = Body.value("writes_per_second", 0.0);
    Faults.ReadsPerSecond = Body.value("reads_per_second", 0.0);
  }
  return makeResponse(http::status::ok, faultsJson(Platform).dump());
}

HttpResponse rateLimitedResponse(PlatformState &Platform) {
  ++Platform.RateLimited;
  HttpResponse Response = makeResponse(http::status::too_many_requests);
  Response.set(http::field::retry_after, "1");
  return Response;
}

// Counts a call, or returns false if it exceeds the rate limit.
bool admitCall(PlatformState &Platform, bool Write, TimePoint Now) {
  if (exceedsRate(Write ? Platform.WriteRate : Platform.ReadRate,
                  Write ? Platform.Faults.WritesPerSecond
                        : Platform.Faults.ReadsPerSecond,
                  Now))
    return false;
  ++(Write ? Platform.Writes : Platform.Reads);
  return true;
}

PlatformResponse handleStoreOperation(PlatformState &Platform,
                                      const base::StoreOperation &Operation,
                                      TimePoint Now) {
  bool Write = isWrite(Operation);
  if (!admitCall(Platform, Write, Now))
    return {rateLimitedResponse(Platform), ResponseAction::Send};
  if (const auto *Rows = std::get_if<base::WriteRows>(&Operation))
    Platform.WrittenRows += Rows->Rows.size();
  base::StoreResult Result = base::applyOperation(Platform.Store, Operation);
  if (Write && decideAnswerLoss(Platform))
    return {{}, ResponseAction::Close};
  return {encodeResult(Operation, Result), ResponseAction::Send};
}

PlatformResponse handleTableCall(PlatformState &Platform,
                                 const HttpRequest &Request, TimePoint Now) {
  bool Write = Request.method() != http::verb::get;
  if (!admitCall(Platform, Write, Now))
    return {rateLimitedResponse(Platform), ResponseAction::Send};
  auto Response = handleTableRequest(Platform.Tables, Request, Now);
  if (!Response)
    return {{}, ResponseAction::WaitForChange};
  if (Write && decideAnswerLoss(Platform))
    return {{}, ResponseAction::Close};
  return {std::move(*Response), ResponseAction::Send};
}

PlatformResponse handleStoreCall(PlatformState &Platform,
                                 const HttpRequest &Request, TimePoint Now) {
  if (Platform.Faults.Outage == "silent")
    return {{}, ResponseAction::Ignore};
  if (!Platform.Faults.Outage.empty())
    return {makeResponse(http::status::service_unavailable),
            ResponseAction::Send};
  if (Platform.UsesTableProtocol)
    return handleTableCall(Platform, Request, Now);
  auto Operation = parseOperation(Request);
  if (!Operation)
    return {makeResponse(http::status::bad_request), ResponseAction::Send};
  return handleStoreOperation(Platform, *Operation, Now);
}

} // namespace

bool isControl(const HttpRequest &Request) {
  return Request.target().starts_with("/control");
}

PlatformResponse handlePlatformRequest(PlatformState &Platform,
                                       const HttpRequest &Request,
                                       TimePoint Now) {
  PlatformResponse Reply;
  try {
    if (isControl(Request))
      return {control(Platform, Request, Now), ResponseAction::Send};
    Reply = handleStoreCall(Platform, Request, Now);
  } catch (const std::exception &Error) {
    Reply = {makeResponse(http::status::bad_request, Error.what()),
             ResponseAction::Send};
  }
  if (Platform.UsesTableProtocol)
    setEraField(Platform.Tables, Reply.Response);
  return Reply;
}

PlatformResponse resumeFeedRequest(PlatformState &Platform,
                                   const HttpRequest &Request,
                                   std::uint64_t Era, TimePoint Now) {
  if (Platform.Tables.Era != Era)
    return {{}, ResponseAction::Close};
  if (auto Response = handleTableRequest(Platform.Tables, Request, Now))
    return {std::move(*Response), ResponseAction::Send};
  return {{}, ResponseAction::WaitForChange};
}

} // namespace currantgauge::stand_ins

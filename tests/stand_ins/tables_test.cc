#include "tests/stand_ins/platform.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace currantgauge::stand_ins {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr TimePoint Start{std::chrono::hours(1)};

TimePoint after(int Seconds) { return Start + std::chrono::seconds(Seconds); }

PlatformState makePlatform() {
  PlatformState Platform;
  Platform.UsesTableProtocol = true;
  return Platform;
}

PlatformResponse call(PlatformState &Platform, TimePoint Now, http::verb Method,
                      const std::string &Target, const json &Body = nullptr) {
  HttpRequest Request{Method, Target, 11};
  if (!Body.is_null())
    Request.body() = Body.dump();
  return handlePlatformRequest(Platform, Request, Now);
}

void writeRow(PlatformState &Platform, TimePoint Now, const std::string &Key,
              const std::string &Value) {
  json Row = {{"table", "t"}, {"part", ""}, {"key", Key}, {"value", Value}};
  auto Reply = call(Platform, Now, http::verb::post, "/api/rows-tx",
                    {{"put", json::array({Row})}});
  REQUIRE(Reply.Response.result_int() == 200);
}

void removeRow(PlatformState &Platform, TimePoint Now, const std::string &Key) {
  json Row = {{"table", "t"}, {"part", ""}, {"key", Key}};
  auto Reply = call(Platform, Now, http::verb::post, "/api/rows-tx",
                    {{"remove", json::array({Row})}});
  REQUIRE(Reply.Response.result_int() == 200);
}

// Returns the rows of the table as KEY=VALUE@VERSION, in the order of the keys.
std::string readRows(PlatformState &Platform) {
  auto Reply =
      call(Platform, after(100), http::verb::get, "/api/rows-get?table=t");
  json Body = json::parse(Reply.Response.body());
  std::string Text;
  for (const json &Row : Body["rows"])
    Text += Row["key"].get<std::string>() + "=" +
            Row["value"].get<std::string>() + "@" +
            Row["versionNumber"].dump() + " ";
  return Text;
}

unsigned feedStatus(PlatformState &Platform, std::uint64_t Version) {
  auto Reply = call(Platform, after(100), http::verb::get,
                    "/api/rows-feed?table=t&after=" + std::to_string(Version));
  return Reply.Action == ResponseAction::WaitForChange
             ? 0
             : Reply.Response.result_int();
}

void restore(PlatformState &Platform, TimePoint Now, std::uint32_t AgeMillis) {
  REQUIRE(call(Platform, Now, http::verb::put, "/control",
               {{"restore_ms", AgeMillis}})
              .Response.result_int() == 200);
}

} // namespace

TEST_CASE("a restore reverts rows and objects and gives out versions again") {
  PlatformState Platform = makePlatform();
  writeRow(Platform, after(0), "a", "one");
  writeRow(Platform, after(1), "b", "one");
  call(Platform, after(1), http::verb::put, "/api/blob-put/kept", "old");
  writeRow(Platform, after(4), "a", "two");
  removeRow(Platform, after(5), "b");
  writeRow(Platform, after(6), "c", "new");
  call(Platform, after(6), http::verb::put, "/api/blob-put/kept", "new");
  call(Platform, after(6), http::verb::put, "/api/blob-put/lost", "new");
  REQUIRE(readRows(Platform) == "a=two@3 c=new@5 ");

  restore(Platform, after(7), 4000);
  CHECK(readRows(Platform) == "a=one@1 b=one@2 ");
  CHECK(call(Platform, after(7), http::verb::get, "/api/blob-get/kept")
            .Response.body() == "\"old\"");
  CHECK(call(Platform, after(7), http::verb::get, "/api/blob-get/lost")
            .Response.result_int() == 404);
  writeRow(Platform, after(8), "d", "again");
  CHECK(readRows(Platform) == "a=one@1 b=one@2 d=again@3 ");
}

TEST_CASE("a second restore goes back beyond the copy of the first") {
  PlatformState Platform = makePlatform();
  writeRow(Platform, after(0), "a", "one");
  writeRow(Platform, after(2), "a", "two");
  writeRow(Platform, after(4), "a", "three");
  restore(Platform, after(5), 2000);
  REQUIRE(readRows(Platform) == "a=two@2 ");
  writeRow(Platform, after(6), "a", "four");
  restore(Platform, after(7), 6000);
  CHECK(readRows(Platform) == "a=one@1 ");
  CHECK(Platform.Tables.Era == 3);
}

TEST_CASE("the feed refuses versions that a restored store doesn't have") {
  PlatformState Platform = makePlatform();
  writeRow(Platform, after(0), "a", "one");
  writeRow(Platform, after(2), "a", "two");
  writeRow(Platform, after(4), "a", "three");
  CHECK(feedStatus(Platform, 3) == 0);
  CHECK(feedStatus(Platform, 1) == 200);
  restore(Platform, after(5), 2000);
  CHECK(feedStatus(Platform, 3) == 410);
  CHECK(feedStatus(Platform, 2) == 0);
  CHECK(feedStatus(Platform, 1) == 200);
  writeRow(Platform, after(6), "a", "other");
  CHECK(feedStatus(Platform, 3) == 0);
}

TEST_CASE("a restore ends the feed requests that wait for a change") {
  PlatformState Platform = makePlatform();
  writeRow(Platform, after(0), "a", "one");
  HttpRequest Waiting{http::verb::get, "/api/rows-feed?table=t&after=1", 11};
  std::uint64_t Era = Platform.Tables.Era;
  CHECK(resumeFeedRequest(Platform, Waiting, Era, after(1)).Action ==
        ResponseAction::WaitForChange);
  restore(Platform, after(2), 1000);
  CHECK(resumeFeedRequest(Platform, Waiting, Era, after(2)).Action ==
        ResponseAction::Close);
}

TEST_CASE("every response of the table protocol names the store's era") {
  PlatformState Platform = makePlatform();
  Platform.Faults.ReadsPerSecond = 8;
  auto EraOf = [&](const std::string &Target) {
    auto Reply = call(Platform, after(3), http::verb::get, Target);
    return std::to_string(Reply.Response.result_int()) + " " +
           std::string(Reply.Response["Store-Era"]);
  };
  call(Platform, after(0), http::verb::put, "/api/blob-put/x", "bytes");
  CHECK(EraOf("/api/rows-get?table=t") == "200 1");
  restore(Platform, after(1), 0);
  CHECK(EraOf("/api/rows-get?table=t") == "200 2");
  CHECK(EraOf("/api/blob-get/x") == "200 2");
  CHECK(EraOf("/api/blob-get/y") == "404 2");
  CHECK(EraOf("/api/rows-feed?table=t&after=7") == "410 2");
  CHECK(std::string(emptyFeedResponse(Platform.Tables)["Store-Era"]) == "2");
  CHECK(call(Platform, after(3), http::verb::post, "/api/rows-tx", "no object")
            .Response["Store-Era"] == "2");
  Platform.Faults.ReadsPerSecond = 1;
  CHECK(EraOf("/api/rows-get?table=t") == "429 2");
  Platform.Faults.Outage = "refuse";
  CHECK(EraOf("/api/rows-get?table=t") == "503 2");
}

} // namespace currantgauge::stand_ins

#include "currantgauge/http/announce_codec.h"

#include "currantgauge/base/random.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::http {

TEST_CASE("all fields of an announcement are parsed") {
  std::string Error;
  auto Announcement = parseAnnouncement(
      "cutlist-1",
      R"({"service":"cutlist","address":"127.0.0.1:9","incarnation":7,)"
      R"("slots":4,"state":"leaving","cold_start_ms":1500})",
      Error);
  REQUIRE(Announcement.has_value());
  CHECK(Announcement->Slots == 4);
  CHECK(Announcement->Phase == routing::BackendPhase::Leaving);
  CHECK(Announcement->ColdStart == base::milliseconds(1500));
}

TEST_CASE("a malformed announcement is rejected with a message") {
  const char *Malformed[] = {
      "",
      "[]",
      R"({"service":"cutlist"})",
      R"({"service":"cutlist","address":"here"})",
      R"({"service":"cutlist","address":"127.0.0.1:0"})",
      R"({"service":"cutlist","address":"127.0.0.1:65536"})",
      R"({"service":"cutlist","address":"127.0.0.1:9","slots":0})",
      R"({"service":"cutlist","address":"127.0.0.1:9","slots":-1})",
      R"({"service":"cutlist","address":"127.0.0.1:9","state":"tired"})",
  };
  for (const char *Text : Malformed) {
    std::string Error;
    CHECK_FALSE(parseAnnouncement("cutlist-1", Text, Error).has_value());
    CHECK_FALSE(Error.empty());
  }
}

TEST_CASE(
    "the announcement parser reports an error for every text that it rejects") {
  const std::string Sample =
      R"({"service":"cutlist","address":"127.0.0.1:9","slots":4})";
  base::Random Random(11);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Text = Sample;
    for (int Change = 0; Change < 3; ++Change)
      Text[base::uniformBelow(Random, Text.size())] =
          static_cast<char>(base::uniformBelow(Random, 256));
    std::string Error;
    if (!parseAnnouncement("cutlist-1", Text, Error))
      CHECK_FALSE(Error.empty());
  }
}

} // namespace currantgauge::http

#include "currantgauge/http/announce_codec.h"

#include "currantgauge/base/random.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::http {

TEST_CASE("an announcement is read whole") {
  std::string Error;
  auto Word = parseAnnouncement(
      "cutlist-1",
      R"({"service":"cutlist","address":"127.0.0.1:9","incarnation":7,)"
      R"("slots":4,"state":"leaving","cold_start_ms":1500})",
      Error);
  REQUIRE(Word.has_value());
  CHECK(Word->Slots == 4);
  CHECK(Word->Phase == routing::BackendPhase::Leaving);
  CHECK(Word->ColdStart == base::milliseconds(1500));
}

TEST_CASE("a malformed announcement gets a plain sentence") {
  const char *Bad[] = {
      "",
      "[]",
      R"({"service":"cutlist"})",
      R"({"service":"cutlist","address":"here"})",
      R"({"service":"cutlist","address":"127.0.0.1:9","slots":0})",
      R"({"service":"cutlist","address":"127.0.0.1:9","slots":-1})",
      R"({"service":"cutlist","address":"127.0.0.1:9","state":"tired"})",
  };
  for (const char *Text : Bad) {
    std::string Error;
    CHECK_FALSE(parseAnnouncement("cutlist-1", Text, Error).has_value());
    CHECK_FALSE(Error.empty());
  }
}

TEST_CASE("no text makes the announcement parser fail without a sentence") {
  const std::string Sample =
      R"({"service":"cutlist","address":"127.0.0.1:9","slots":4})";
  base::Random Source(11);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Text = Sample;
    for (int Change = 0; Change < 3; ++Change)
      Text[base::uniformBelow(Source, Text.size())] =
          static_cast<char>(base::uniformBelow(Source, 256));
    std::string Error;
    if (!parseAnnouncement("cutlist-1", Text, Error))
      CHECK_FALSE(Error.empty());
  }
}

} // namespace currantgauge::http

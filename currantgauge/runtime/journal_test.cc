#include "currantgauge/runtime/journal.h"

#include "currantgauge/core/reduce.h"
#include "currantgauge/runtime/journal_codec.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

namespace currantgauge::runtime {
namespace {

core::Event makeAnnouncement() {
  core::BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName("cutlist-1");
  Announced.Announcement.Service = base::ServiceName("cutlist");
  Announced.Announcement.Address = base::NetAddress("127.0.0.1:9");
  Announced.Announcement.Slots = 4;
  return core::Event{base::TimePoint{5000}, base::UnixTime{1}, Announced};
}

} // namespace

TEST_CASE("an event is the same after encoding and decoding") {
  core::Event Decoded;
  fromJson(Json::parse(toJson(makeAnnouncement()).dump()), Decoded);
  CHECK(Decoded.Now == base::TimePoint{5000});
  const auto *Announced = std::get_if<core::BackendAnnounced>(&Decoded.Body);
  REQUIRE(Announced);
  CHECK(Announced->Announcement.Name == base::BackendName("cutlist-1"));
  CHECK(Announced->Announcement.Slots == 4);
}

TEST_CASE("an event without the fields that were added since is decoded") {
  Json Body = toJson(makeAnnouncement().Body);
  Json &Announcement = Body.at(1).at(0);
  Announcement.erase(Announcement.size() - 1);
  core::EventBody Decoded;
  fromJson(Body, Decoded);
  const auto *Announced = std::get_if<core::BackendAnnounced>(&Decoded);
  REQUIRE(Announced);
  CHECK(Announced->Announcement.Name == base::BackendName("cutlist-1"));
  CHECK(Announced->Announcement.Slots == 4);
}

TEST_CASE(
    "a string that is not UTF-8 is the same after encoding and decoding") {
  std::string Bytes = "a\xff\x80z\xc3";
  std::string Decoded;
  fromJson(Json::parse(toJson(Bytes).dump()), Decoded);
  CHECK(Decoded == Bytes);
}

TEST_CASE("a replay matches the journal and detects a changed event") {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  core::State Node = core::makeState(Self, 3);
  std::string Path = "journal_test.journal";
  std::error_code Error;
  {
    Journal File;
    openJournal(File, Path, Self, 3, Error);
    REQUIRE_FALSE(bool(Error));
    core::Event Events[] = {
        {base::TimePoint{1000}, base::UnixTime{1}, core::Started{}},
        makeAnnouncement(),
        {base::TimePoint{9000000}, base::UnixTime{9}, core::TimerFired{}}};
    for (const core::Event &Event : Events) {
      core::EffectList Effects;
      core::reduce(Node, Event, Effects);
      writeEvent(File, Event, Effects);
    }
  }
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  std::remove(Path.c_str());
  std::istringstream Same(Text.str());
  ReplayResult Result = replay(Same);
  CHECK(Result.Error == "");
  CHECK(Result.Events == 3);
  CHECK(Result.Mismatches == 0);
  std::string Changed = Text.str();
  Changed.replace(Changed.find("cutlist-1"), 9, "cutlist-2");
  std::istringstream Other(Changed);
  CHECK(replay(Other).Mismatches > 0);
}

} // namespace currantgauge::runtime

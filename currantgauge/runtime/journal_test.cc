#include "currantgauge/runtime/journal.h"

#include "currantgauge/core/reduce.h"
#include "currantgauge/runtime/journal_codec.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

namespace currantgauge::runtime {
namespace {

core::Event announcement() {
  core::BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName("cutlist-1");
  Announced.Announcement.Service = base::ServiceName("cutlist");
  Announced.Announcement.Address = base::NetAddress("127.0.0.1:9");
  Announced.Announcement.Slots = 4;
  return core::Event{base::TimePoint{5000}, base::UnixTime{1}, Announced};
}

} // namespace

TEST_CASE("an event survives the journal's encoding") {
  core::Event Back;
  fromJson(Json::parse(toJson(announcement()).dump()), Back);
  CHECK(Back.Now == base::TimePoint{5000});
  const auto *Word = std::get_if<core::BackendAnnounced>(&Back.Body);
  REQUIRE(Word);
  CHECK(Word->Announcement.Name == base::BackendName("cutlist-1"));
  CHECK(Word->Announcement.Slots == 4);
}

TEST_CASE("bytes that are no UTF-8 survive the journal's encoding") {
  std::string Bytes = "a\xff\x80z\xc3";
  std::string Back;
  fromJson(Json::parse(toJson(Bytes).dump()), Back);
  CHECK(Back == Bytes);
}

TEST_CASE("a journal replays to the same effects, a changed one does not") {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  core::State Node = core::makeState(Self, 3);
  std::string Path = "journal_test.journal";
  std::error_code Error;
  {
    Journal Log;
    openJournal(Log, Path, Self, 3, Error);
    REQUIRE_FALSE(bool(Error));
    core::Event Events[] = {
        {base::TimePoint{1000}, base::UnixTime{1}, core::Started{}},
        announcement(),
        {base::TimePoint{9000000}, base::UnixTime{9}, core::TimerFired{}}};
    for (const core::Event &Each : Events) {
      core::EffectList Effects;
      core::reduce(Node, Each, Effects);
      writeEvent(Log, Each, Effects);
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
  CHECK(Result.Different == 0);
  std::string Changed = Text.str();
  Changed.replace(Changed.find("cutlist-1"), 9, "cutlist-2");
  std::istringstream Other(Changed);
  CHECK(replay(Other).Different > 0);
}

} // namespace currantgauge::runtime

#include "tests/stand_ins/schedule.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace currantgauge::actions {
namespace {

using stand_ins::InjectedDefect;
using stand_ins::runSchedule;
using stand_ins::ScheduleResult;

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t ScheduleCount = 20000;
constexpr std::uint64_t DefectScheduleCount = 4000; // with an injected defect

std::uint64_t countFailedSchedules(InjectedDefect Defect, std::uint64_t Count) {
  std::uint64_t Violated = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Count; ++Seed)
    if (!runSchedule(Seed, Defect).Violations.empty())
      ++Violated;
  return Violated;
}

} // namespace

TEST_CASE("no action runs twice and no verdict is wrong in any schedule") {
  std::map<std::string, std::uint64_t> Endings;
  std::uint64_t Runs = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + ScheduleCount;
       ++Seed) {
    ScheduleResult Result = runSchedule(Seed, InjectedDefect::None);
    for (const std::string &Violation : Result.Violations)
      FAIL_CHECK("seed " << Seed << ": " << Violation);
    for (const auto &[Name, Count] : Result.Outcomes)
      Endings[Name] += Count;
    Runs += Result.Runs;
  }
  for (const auto &[Name, Count] : Endings)
    MESSAGE(Name << ": " << Count);
  MESSAGE("runs: " << Runs);
  // The schedules cover these endings.
  CHECK(Runs > ScheduleCount / 2);
  CHECK(Endings["ran"] > ScheduleCount / 2);
  for (const char *Name :
       {"answers repeated", "not_run action_mismatch",
        "not_run store_unavailable", "may_have_run action_running",
        "may_have_run action_lost", "may_have_run action_foreign",
        "may_have_run action_expired", "may_have_run peer_lost",
        "not_run peer_unavailable", "may_have_run deadline_passed"})
    CHECK_MESSAGE(Endings[Name] > 0, Name);
}

TEST_CASE("a guard that takes a lost store response for success is detected") {
  CHECK(countFailedSchedules(InjectedDefect::ReportUnknownAsDone,
                             DefectScheduleCount) > 0);
}

TEST_CASE("a guard that ignores a failed condition is detected") {
  CHECK(countFailedSchedules(InjectedDefect::IgnoreCondition,
                             DefectScheduleCount) > 0);
}

TEST_CASE("a lost peer that is reported as not run is detected") {
  CHECK(countFailedSchedules(InjectedDefect::ReportLostPeerAsNotRun,
                             DefectScheduleCount) > 0);
}

TEST_CASE("a restarted node that keeps its incarnation is detected") {
  CHECK(countFailedSchedules(InjectedDefect::KeepIncarnation,
                             DefectScheduleCount) > 0);
}

} // namespace currantgauge::actions

// Open connections to the platform's store go silent; later the operator moves
// one route, drops another and adds a third.
#include "review/lab/config_change.h"

namespace {

using namespace currantgauge::review;

constexpr Millis Watched{10000};

} // namespace

int main(int, char **Values) {
  static Lab Bench;
  static Fleet All;
  openLab(Bench, Values[1], std::chrono::seconds(100));
  startConfigFleet(Bench, All);
  writeConfig(All.Platform, makeConfig(ConfigStep::Second));
  note(Bench, "operator: r11 acknowledged");
  if (!waitUntil([] { return allServe(All, "/second/1", "cutlist"); },
                 ConfigPropagation))
    closeLab(Bench, CouldNotRun);
  note(Bench, "r11 is in force at all nodes");
  if (Bench.Trouble)
    note(Bench, "open connections to the store go silent: " +
                    std::to_string(silenceOpenConnections(All.Platform)) +
                    " so far; new ones work");
  sleepUntil(Clock::now() + StabilityWindow + Millis(500));
  writeConfig(All.Platform, makeConfig(ConfigStep::Last));
  auto Acknowledged = Clock::now();
  note(Bench, "operator: r12 acknowledged");
  int Late = countStale(Bench, All, Acknowledged, Watched);
  closeLab(Bench, Late > 0 ? RuleBroken : RuleHeld);
}

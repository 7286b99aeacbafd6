#include "tests/soak/plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string_view>

namespace currantgauge::soak {
namespace {

struct KindInfo {
  FaultKind Kind;
  std::string_view Name;
  int MaxDurationMillis; // 0: the fault has no duration
};

// Some maximum durations are below and some above the lease and the grace
// period of the deployments, as in the users' scenarios.
constexpr std::array KindTable = {
    KindInfo{FaultKind::NodeKill, "node_kill", 3000},
    KindInfo{FaultKind::NodeFreeze, "node_freeze", 4000},
    KindInfo{FaultKind::NodeStop, "node_stop", 500},
    KindInfo{FaultKind::HerdKill, "herd_kill", 1500},
    KindInfo{FaultKind::ServerKill, "server_kill", 3000},
    KindInfo{FaultKind::ServerDrain, "server_drain", 1000},
    KindInfo{FaultKind::ServerFail, "server_fail", 5000},
    KindInfo{FaultKind::ServerReset, "server_reset", 5000},
    KindInfo{FaultKind::ServerCut, "server_cut", 5000},
    KindInfo{FaultKind::ServerSlow, "server_slow", 5000},
    KindInfo{FaultKind::StoreRefuse, "store_refuse", 5000},
    KindInfo{FaultKind::StoreSilent, "store_silent", 5000},
    KindInfo{FaultKind::StoreSlow, "store_slow", 5000},
    KindInfo{FaultKind::StoreLoses, "store_loses", 5000},
    KindInfo{FaultKind::StoreForgets, "store_forgets", 0},
    KindInfo{FaultKind::StoreCut, "store_cut", 6000},
    KindInfo{FaultKind::PeerCut, "peer_cut", 5000},
    KindInfo{FaultKind::PeerOneWay, "peer_one_way", 5000},
    KindInfo{FaultKind::PeerSilence, "peer_silence", 0},
    KindInfo{FaultKind::PeerReset, "peer_reset", 0},
    KindInfo{FaultKind::PeerDelay, "peer_delay", 5000},
    KindInfo{FaultKind::ConfigChange, "config_change", 0},
    KindInfo{FaultKind::LateHeartbeat, "late_heartbeat", 0},
    KindInfo{FaultKind::StoreRestored, "store_restored", 3000},
    KindInfo{FaultKind::StoreSilence, "store_silence", 0},
};

static_assert(KindTable.size() == static_cast<std::size_t>(LastFaultKind) + 1);

// Kinds that the generator draws from. Later kinds are added to some plans
// separately, so that a seed keeps the rest of its plan.
constexpr std::size_t DrawnKinds =
    static_cast<std::size_t>(FaultKind::StoreRestored) + 1;
constexpr std::uint64_t SilenceOneIn = 4; // seeds
// From the silence to the version: the machines are in touch again when it is
// due.
constexpr Millis SilenceToChange{1500};
constexpr int FirstFaultMillis = 1000; // no fault before this time
// Between the starts of two faults; MaxSeriesGapMillis within a series.
constexpr int MinGapMillis = 50;
constexpr int MaxGapMillis = 1800;
constexpr int MaxSeriesGapMillis = 400;
constexpr int SeriesOneIn = 3; // one draw in 3 starts a series
constexpr int MaxSeriesLength = 3;
constexpr int MinDurationMillis = 200; // of a fault that has a duration
constexpr std::array CopyAges = {Millis(1000), Millis(3000), Millis(5000),
                                 Millis(7000), Millis(9000)};

int drawInt(std::mt19937_64 &Random, int Min, int Max) {
  return std::uniform_int_distribution<>(Min, std::max(Min, Max))(Random);
}

void addSilence(std::vector<Fault> &Plan, std::mt19937_64 &Random,
                Millis Length) {
  Millis Start(drawInt(Random, FirstFaultMillis,
                       static_cast<int>((Length - SilenceToChange).count())));
  Plan.push_back({Start, FaultKind::StoreSilence, 0, Millis(0)});
  Plan.push_back(
      {Start + SilenceToChange, FaultKind::ConfigChange, 0, Millis(0)});
  std::stable_sort(
      Plan.begin(), Plan.end(),
      [](const Fault &A, const Fault &B) { return A.StartTime < B.StartTime; });
}

} // namespace

std::string faultName(FaultKind Kind) {
  return std::string(KindTable[static_cast<std::size_t>(Kind)].Name);
}

bool isPlanned(FaultKind Kind) {
  return Kind == FaultKind::NodeStop || Kind == FaultKind::ServerDrain ||
         Kind == FaultKind::ConfigChange;
}

Millis copyAge(const Fault &Entry) {
  return CopyAges[Entry.Machine % CopyAges.size()];
}

std::vector<Fault> makePlan(std::uint64_t Seed, Millis Length,
                            std::size_t MachineCount) {
  std::mt19937_64 Random(Seed);
  std::vector<Fault> Plan;
  int StartMillis = FirstFaultMillis;
  while (StartMillis < Length.count()) {
    const KindInfo &Info = KindTable[std::uniform_int_distribution<std::size_t>(
        0, DrawnKinds - 1)(Random)];
    bool IsSeries = drawInt(Random, 1, SeriesOneIn) == 1;
    int Count = IsSeries ? drawInt(Random, 2, MaxSeriesLength) : 1;
    for (int I = 0; I < Count && StartMillis < Length.count(); ++I) {
      std::size_t Machine = std::uniform_int_distribution<std::size_t>(
          0, MachineCount - 1)(Random);
      int DurationMillis =
          Info.MaxDurationMillis == 0
              ? 0
              : drawInt(Random, MinDurationMillis, Info.MaxDurationMillis);
      Plan.push_back(
          {Millis(StartMillis), Info.Kind, Machine, Millis(DurationMillis)});
      StartMillis += drawInt(Random, MinGapMillis,
                             I + 1 < Count ? MaxSeriesGapMillis : MaxGapMillis);
    }
  }
  if (Seed % SilenceOneIn == SilenceOneIn - 1)
    addSilence(Plan, Random, Length);
  return Plan;
}

std::string formatPlan(const std::vector<Fault> &Plan) {
  std::ostringstream Text;
  for (const Fault &Entry : Plan)
    Text << Entry.StartTime.count() << ' ' << faultName(Entry.Kind) << ' '
         << Entry.Machine << ' ' << Entry.Duration.count() << '\n';
  return Text.str();
}

std::vector<Fault> parsePlan(const std::string &Text) {
  std::vector<Fault> Plan;
  std::istringstream Lines(Text);
  std::size_t LineNumber = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    ++LineNumber;
    std::istringstream Fields(Line);
    std::int64_t StartMillis = 0, DurationMillis = 0;
    std::string Name;
    Fault Entry;
    if (Line.empty() || Line.front() == '#')
      continue;
    bool Parsed = static_cast<bool>(Fields >> StartMillis >> Name >>
                                    Entry.Machine >> DurationMillis);
    auto It =
        std::find_if(KindTable.begin(), KindTable.end(),
                     [&](const KindInfo &Info) { return Info.Name == Name; });
    if (!Parsed || StartMillis < 0 || DurationMillis < 0 ||
        It == KindTable.end())
      throw std::runtime_error(
          "plan: line " + std::to_string(LineNumber) +
          ": expected \"START_MS KIND MACHINE DURATION_MS\"");
    Entry.StartTime = Millis(StartMillis);
    Entry.Kind = It->Kind;
    Entry.Duration = Millis(DurationMillis);
    Plan.push_back(Entry);
  }
  return Plan;
}

} // namespace currantgauge::soak

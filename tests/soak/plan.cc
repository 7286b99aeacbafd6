#include "tests/soak/plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string_view>

namespace currantgauge::soak {
namespace {

struct KindRow {
  FaultKind Kind;
  std::string_view Name;
  int Longest; // milliseconds
};

// The longest times stay below the lease and the grace period of the
// deployments, or pass them, as the users' days do.
constexpr std::array KindRows = {
    KindRow{FaultKind::NodeKill, "node_kill", 3000},
    KindRow{FaultKind::NodeFreeze, "node_freeze", 4000},
    KindRow{FaultKind::NodeStop, "node_stop", 500},
    KindRow{FaultKind::HerdKill, "herd_kill", 1500},
    KindRow{FaultKind::ServerKill, "server_kill", 3000},
    KindRow{FaultKind::ServerDrain, "server_drain", 1000},
    KindRow{FaultKind::ServerFail, "server_fail", 5000},
    KindRow{FaultKind::ServerReset, "server_reset", 5000},
    KindRow{FaultKind::ServerCut, "server_cut", 5000},
    KindRow{FaultKind::ServerSlow, "server_slow", 5000},
    KindRow{FaultKind::StoreRefuse, "store_refuse", 5000},
    KindRow{FaultKind::StoreSilent, "store_silent", 5000},
    KindRow{FaultKind::StoreSlow, "store_slow", 5000},
    KindRow{FaultKind::StoreLoses, "store_loses", 5000},
    KindRow{FaultKind::StoreForgets, "store_forgets", 0},
    KindRow{FaultKind::StoreCut, "store_cut", 6000},
    KindRow{FaultKind::PeerCut, "peer_cut", 5000},
    KindRow{FaultKind::PeerOneWay, "peer_one_way", 5000},
    KindRow{FaultKind::PeerSilence, "peer_silence", 0},
    KindRow{FaultKind::PeerReset, "peer_reset", 0},
    KindRow{FaultKind::PeerDelay, "peer_delay", 5000},
    KindRow{FaultKind::ConfigChange, "config_change", 0},
    KindRow{FaultKind::LateHeartbeat, "late_heartbeat", 0},
};

static_assert(KindRows.size() == static_cast<std::size_t>(LastFault) + 1);

constexpr int FirstFault = 1000; // milliseconds; until then all is well
constexpr int ShortestGap = 50;
constexpr int LongestGap = 1800;
constexpr int SeriesGap = 400;
constexpr int SeriesOneIn = 3;
constexpr int LongestSeries = 3;
constexpr int ShortestTime = 200;

int drawTime(std::mt19937_64 &Source, int From, int To) {
  return std::uniform_int_distribution<>(From, std::max(From, To))(Source);
}

} // namespace

std::string faultName(FaultKind Kind) {
  return std::string(KindRows[static_cast<std::size_t>(Kind)].Name);
}

bool isPlanned(FaultKind Kind) {
  return Kind == FaultKind::NodeStop || Kind == FaultKind::ServerDrain ||
         Kind == FaultKind::ConfigChange;
}

std::vector<Fault> makePlan(std::uint64_t Seed, Millis Length,
                            std::size_t Machines) {
  std::mt19937_64 Source(Seed);
  std::vector<Fault> Plan;
  int At = FirstFault;
  while (At < Length.count()) {
    const KindRow &Row = KindRows[std::uniform_int_distribution<std::size_t>(
        0, KindRows.size() - 1)(Source)];
    bool Series = drawTime(Source, 1, SeriesOneIn) == 1;
    int Count = Series ? drawTime(Source, 2, LongestSeries) : 1;
    for (int I = 0; I < Count && At < Length.count(); ++I) {
      std::size_t Machine =
          std::uniform_int_distribution<std::size_t>(0, Machines - 1)(Source);
      int For =
          Row.Longest == 0 ? 0 : drawTime(Source, ShortestTime, Row.Longest);
      Plan.push_back({Millis(At), Row.Kind, Machine, Millis(For)});
      At +=
          drawTime(Source, ShortestGap, I + 1 < Count ? SeriesGap : LongestGap);
    }
  }
  return Plan;
}

std::string planText(const std::vector<Fault> &Plan) {
  std::ostringstream Text;
  for (const Fault &One : Plan)
    Text << One.At.count() << ' ' << faultName(One.Kind) << ' ' << One.Machine
         << ' ' << One.For.count() << '\n';
  return Text.str();
}

std::vector<Fault> parsePlan(const std::string &Text) {
  std::vector<Fault> Plan;
  std::istringstream Lines(Text);
  std::size_t Number = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    ++Number;
    std::istringstream Fields(Line);
    std::int64_t At = 0, For = 0;
    std::string Name;
    Fault One;
    if (Line.empty() || Line.front() == '#')
      continue;
    bool Read = static_cast<bool>(Fields >> At >> Name >> One.Machine >> For);
    auto Row =
        std::find_if(KindRows.begin(), KindRows.end(),
                     [&](const KindRow &Each) { return Each.Name == Name; });
    if (!Read || At < 0 || For < 0 || Row == KindRows.end())
      throw std::runtime_error("plan, line " + std::to_string(Number) +
                               ": expected \"AT_MS KIND MACHINE FOR_MS\"");
    One.At = Millis(At);
    One.Kind = Row->Kind;
    One.For = Millis(For);
    Plan.push_back(One);
  }
  return Plan;
}

} // namespace currantgauge::soak

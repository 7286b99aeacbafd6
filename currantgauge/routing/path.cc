#include "currantgauge/routing/path.h"

#include <algorithm>

namespace currantgauge::routing {
namespace {

constexpr std::uint32_t FailuresToAvoid = 2; // consecutive
constexpr base::Duration InitialAvoidance = base::milliseconds(500);
constexpr std::uint32_t MaxDoublings = 6; // longest avoidance: 32 s

} // namespace

void notePathFailure(PathEvidence &Path, base::TimePoint Now) {
  if (++Path.Failures < FailuresToAvoid)
    return;
  std::uint32_t Doublings =
      std::min(Path.Failures - FailuresToAvoid, MaxDoublings);
  Path.BadUntil = Now + InitialAvoidance * (std::int64_t{1} << Doublings);
}

void notePathSuccess(std::map<base::NodeName, PathEvidence> &Paths,
                     const base::NodeName &Owner) {
  auto It = Paths.find(Owner);
  if (It == Paths.end())
    return;
  if (!It->second.Unreachable)
    Paths.erase(It);
  else
    It->second = PathEvidence{0, {}, true};
}

void setUnreachable(std::map<base::NodeName, PathEvidence> &Paths,
                    const base::NodeName &Owner, bool Unreachable) {
  if (Unreachable)
    Paths[Owner].Unreachable = true;
  else if (auto It = Paths.find(Owner); It != Paths.end())
    It->second.Unreachable = false;
}

bool isUnreachable(const std::map<base::NodeName, PathEvidence> &Paths,
                   const base::NodeName &Owner) {
  auto It = Paths.find(Owner);
  return It != Paths.end() && It->second.Unreachable;
}

bool isPathBad(const std::map<base::NodeName, PathEvidence> &Paths,
               const base::NodeName &Owner, base::TimePoint Now) {
  if (Paths.empty())
    return false;
  auto It = Paths.find(Owner);
  return It != Paths.end() &&
         (It->second.Unreachable || Now < It->second.BadUntil);
}

} // namespace currantgauge::routing

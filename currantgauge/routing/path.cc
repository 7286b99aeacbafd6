#include "currantgauge/routing/path.h"

#include <algorithm>

namespace currantgauge::routing {
namespace {

constexpr std::uint32_t FailuresToAvoid = 2; // in a row
constexpr base::Duration FirstAvoidance = base::milliseconds(500);
constexpr std::uint32_t DoublingLimit = 6; // up to 32 s

} // namespace

void notePathFailure(PathEvidence &Path, base::TimePoint Now) {
  if (++Path.Failures < FailuresToAvoid)
    return;
  std::uint32_t Doublings =
      std::min(Path.Failures - FailuresToAvoid, DoublingLimit);
  Path.BadUntil = Now + FirstAvoidance * (std::int64_t{1} << Doublings);
}

void notePathSuccess(std::map<base::NodeName, PathEvidence> &Paths,
                     const base::NodeName &Owner) {
  auto Found = Paths.find(Owner);
  if (Found == Paths.end())
    return;
  if (!Found->second.Unreachable)
    Paths.erase(Found);
  else
    Found->second = PathEvidence{0, {}, true};
}

void setUnreachable(std::map<base::NodeName, PathEvidence> &Paths,
                    const base::NodeName &Owner, bool Unreachable) {
  if (Unreachable)
    Paths[Owner].Unreachable = true;
  else if (auto Found = Paths.find(Owner); Found != Paths.end())
    Found->second.Unreachable = false;
}

bool isUnreachable(const std::map<base::NodeName, PathEvidence> &Paths,
                   const base::NodeName &Owner) {
  auto Found = Paths.find(Owner);
  return Found != Paths.end() && Found->second.Unreachable;
}

bool isPathBad(const std::map<base::NodeName, PathEvidence> &Paths,
               const base::NodeName &Owner, base::TimePoint Now) {
  if (Paths.empty())
    return false;
  auto Found = Paths.find(Owner);
  return Found != Paths.end() &&
         (Found->second.Unreachable || Now < Found->second.BadUntil);
}

} // namespace currantgauge::routing

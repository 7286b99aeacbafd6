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

void notePathOk(std::map<base::NodeName, PathEvidence> &Paths,
                const base::NodeName &Owner) {
  if (!Paths.empty())
    Paths.erase(Owner);
}

bool isPathBad(const std::map<base::NodeName, PathEvidence> &Paths,
               const base::NodeName &Owner, base::TimePoint Now) {
  if (Paths.empty())
    return false;
  auto Found = Paths.find(Owner);
  return Found != Paths.end() && Now < Found->second.BadUntil;
}

} // namespace currantgauge::routing

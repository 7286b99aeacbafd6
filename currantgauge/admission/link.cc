#include "currantgauge/admission/link.h"

#include <algorithm>

namespace currantgauge::admission {
namespace {

constexpr double BucketSeconds = 1;     // time to fill an empty bucket
constexpr double ReservePerRank = 0.25; // of the bucket, times the rank order
constexpr double MaxReserve = 0.75;

double bucketSize(const config::LinkSettings &Settings) {
  return static_cast<double>(Settings.BytesPerSecond.Bytes) * BucketSeconds;
}

void refill(LinkBudget &Budget, const config::LinkSettings &Settings,
            base::TimePoint Now) {
  double Refilled = base::toSeconds(Now - Budget.UpdatedAt) *
                    static_cast<double>(Settings.BytesPerSecond.Bytes);
  Budget.Spent = std::max(0.0, Budget.Spent - Refilled);
  Budget.UpdatedAt = Now;
}

} // namespace

bool takeLinkBudget(LinkBudget &Budget, const config::LinkSettings &Settings,
                    std::uint32_t RankOrder, base::ByteCount Bytes,
                    base::TimePoint Now) {
  if (Settings.BytesPerSecond.Bytes == 0)
    return true;
  refill(Budget, Settings, Now);
  double Reserve = std::min(ReservePerRank * RankOrder, MaxReserve);
  // An attempt larger than the part of the bucket open to its rank is sent when
  // the bucket is full, and may leave a debt.
  double Available = bucketSize(Settings) * (1 - Reserve);
  auto Cost = static_cast<double>((Bytes + AttemptOverhead).Bytes);
  if (Budget.Spent + std::min(Cost, Available) > Available)
    return false;
  Budget.Spent += Cost;
  return true;
}

void chargeLinkBudget(LinkBudget &Budget, const config::LinkSettings &Settings,
                      base::ByteCount Bytes, base::TimePoint Now) {
  if (Settings.BytesPerSecond.Bytes == 0)
    return;
  refill(Budget, Settings, Now);
  Budget.Spent += static_cast<double>(Bytes.Bytes);
}

} // namespace currantgauge::admission

#include "currantgauge/admission/permit_buckets.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

// The operators' target: in any window, the requests that the limit permits in
// it, with this much more.
constexpr base::Duration LimitWindow = base::seconds(5);
constexpr double OverageRatio = 0.1;
constexpr double OverageRequests = 20;
// Part of the overage that a new home may issue at once, in place of what the
// home before it has left. So many changes fit in a window.
constexpr double OveragePartPerHome = 0.25;
// Longer than the first repeats of an ask take.
constexpr base::Duration AnswerMemory = base::seconds(3);
constexpr base::Duration MaxRetryAfter = base::seconds(10);
// Tolerates the rounding of times to microseconds.
constexpr double TokenTolerance = 1e-6;

double requestsInWindow(const FleetLimit &Limit) {
  return Limit.Rate * base::toSeconds(LimitWindow) + Limit.Burst;
}

double startTokens(const FleetLimit &Limit, const BucketStart &Start,
                   base::TimePoint Now) {
  if (Start.Full)
    return Limit.Burst;
  double Overage = allowedRequests(Limit) - requestsInWindow(Limit);
  double Refilled = base::toSeconds(Now - Start.Time) * Limit.Rate;
  return std::min(Limit.Burst, OveragePartPerHome * Overage + Refilled);
}

void eraseExpired(PermitBuckets &Table, base::TimePoint Now) {
  while (!Table.ByExpiry.empty() && Table.ByExpiry.begin()->first <= Now) {
    Table.Buckets.erase(Table.ByExpiry.begin()->second);
    Table.ByExpiry.erase(Table.ByExpiry.begin());
  }
  while (!Table.AnswersByTime.empty() &&
         Table.AnswersByTime.front().first + AnswerMemory <= Now) {
    PermitId Id = Table.AnswersByTime.front().second;
    Table.AnswersByTime.pop_front();
    auto It = Table.Answers.find(Id);
    if (It->second.SentAt + AnswerMemory <= Now)
      Table.Answers.erase(It);
    else
      Table.AnswersByTime.emplace_back(It->second.SentAt, Id);
  }
}

base::Duration timeFor(double Tokens, const FleetLimit &Limit) {
  return base::scale(base::seconds(1), std::max(Tokens, 0.0) / Limit.Rate);
}

void storeBucket(PermitBuckets &Table, const base::WorkspaceName &Workspace,
                 PermitBucket Bucket, const FleetLimit &Limit) {
  auto [It, Inserted] = Table.Buckets.try_emplace(Workspace);
  if (!Inserted)
    Table.ByExpiry.erase({It->second.ExpiresAt, Workspace});
  base::TimePoint FullAt =
      Bucket.UpdatedAt + timeFor(Limit.Burst - Bucket.Tokens, Limit);
  Bucket.ExpiresAt = std::max(FullAt, Bucket.NextReturn);
  It->second = Bucket;
  Table.ByExpiry.insert({Bucket.ExpiresAt, Workspace});
}

// Tells the refused requests of an ask to return one after the other, at the
// rate at which there will be tokens, and after those refused before. If the
// last one would return too late, all of them return earlier.
void scheduleReturn(PermitBucket &Bucket, const FleetLimit &Limit,
                    std::uint32_t Refused, base::TimePoint Now,
                    PermitAnswer &Answer) {
  base::TimePoint Earliest = Now + timeFor(1 - Bucket.Tokens, Limit);
  base::TimePoint Latest = std::max(Earliest, Now + MaxRetryAfter);
  auto Steps = static_cast<std::int64_t>(Refused) - 1;
  base::Duration Step = timeFor(1, Limit);
  base::Duration Span = std::min(Step * Steps, Latest - Earliest);
  base::TimePoint Return =
      std::clamp(Bucket.NextReturn, Earliest, Latest - Span);
  Answer.RetryAfter = Return - Now;
  Answer.RetryStep = Steps > 0 ? Span / Steps : Step;
  Bucket.NextReturn = std::min(Return + Span + Step, Latest);
}

} // namespace

FleetLimit makeFleetLimit(const config::WorkspaceSettings &Settings) {
  double Rate = Settings.FleetLimit.Value;
  double Burst = Settings.FleetBurst > 0 ? Settings.FleetBurst : Rate;
  return FleetLimit{Rate, std::max(1.0, Burst)};
}

double allowedRequests(const FleetLimit &Limit) {
  return requestsInWindow(Limit) * (1 + OverageRatio) + OverageRequests;
}

double countPermits(const PermitBuckets &Table,
                    const base::WorkspaceName &Workspace,
                    const FleetLimit &Limit, const BucketStart &Start,
                    base::TimePoint Now) {
  auto It = Table.Buckets.find(Workspace);
  // A bucket of an earlier time as the home doesn't count what others issued.
  if (It == Table.Buckets.end() || It->second.UpdatedAt < Start.Time)
    return startTokens(Limit, Start, Now);
  double Refilled = base::toSeconds(Now - It->second.UpdatedAt) * Limit.Rate;
  return std::min(It->second.Tokens + Refilled, Limit.Burst);
}

PermitAnswer takePermits(PermitBuckets &Table, const PermitAsk &Ask,
                         const FleetLimit &Limit, const BucketStart &Start,
                         base::TimePoint Now) {
  eraseExpired(Table, Now);
  if (auto It = Table.Answers.find(Ask.Id); It != Table.Answers.end()) {
    It->second.SentAt = Now;
    return It->second.Answer;
  }
  PermitAnswer Answer{.Id = Ask.Id, .Granted = Ask.Count};
  if (Limit.Rate > 0) {
    double Tokens =
        countPermits(Table, Ask.Workspace, Limit, Start, Now) + TokenTolerance;
    Answer.Granted = static_cast<std::uint32_t>(
        std::clamp(std::floor(Tokens), 0.0, static_cast<double>(Ask.Count)));
    PermitBucket Bucket;
    if (auto It = Table.Buckets.find(Ask.Workspace); It != Table.Buckets.end())
      Bucket = It->second;
    Bucket.Tokens = Tokens - TokenTolerance - Answer.Granted;
    Bucket.UpdatedAt = Now;
    if (Answer.Granted < Ask.Count)
      scheduleReturn(Bucket, Limit, Ask.Count - Answer.Granted, Now, Answer);
    storeBucket(Table, Ask.Workspace, Bucket, Limit);
  }
  Table.Answers.emplace(Ask.Id, RecentAnswer{Answer, Now});
  Table.AnswersByTime.emplace_back(Now, Ask.Id);
  return Answer;
}

} // namespace currantgauge::admission

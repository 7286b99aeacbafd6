#include "currantgauge/admission/fleet_retry.h"

#include <algorithm>

namespace currantgauge::admission {
namespace {

constexpr auto RingSize = static_cast<std::int64_t>(2 * SpansPerWindow);
constexpr auto WindowSpans = static_cast<std::int64_t>(SpansPerWindow);
constexpr base::Duration CountInterval = base::seconds(1);
// Windows for which servers that are gone keep their part of the slack. Nodes
// that are cut off lose sight of others that still retry.
constexpr std::int64_t SharersMemory = 2;

std::int64_t spanOf(const FleetRetryBound &Bound, base::TimePoint Now) {
  return Now.Micros /
         std::max<std::int64_t>(Bound.Window.Micros / WindowSpans, 1);
}

std::size_t slotOf(std::int64_t Span) {
  return static_cast<std::size_t>(Span % RingSize);
}

SendCounts countsOf(const FleetRetryBudget &Budget, std::int64_t Span) {
  bool Held = Span <= Budget.LastSpan && Span > Budget.LastSpan - RingSize;
  return Held && Span >= 0 ? Budget.Spans[slotOf(Span)] : SendCounts();
}

SendCounts &advanceTo(FleetRetryBudget &Budget, std::int64_t Span) {
  for (std::int64_t Next = std::max(Budget.LastSpan + 1, Span - RingSize + 1);
       Next <= Span; ++Next)
    Budget.Spans[slotOf(Next)] = SendCounts();
  Budget.LastSpan = std::max(Budget.LastSpan, Span);
  return Budget.Spans[slotOf(Span)];
}

std::uint32_t &counterOf(SendCounts &Counts, std::uint32_t Number) {
  return Number > 1 ? Counts.Repeats : Counts.Firsts;
}

double ownSlack(const FleetRetryBudget &Budget, const FleetRetryBound &Bound) {
  std::size_t Sharers = std::max({Budget.MostServers, Budget.MostServersBefore,
                                  Budget.OwnedServers, std::size_t{1}});
  return Bound.Slack * static_cast<double>(Budget.OwnedServers) /
         static_cast<double>(Sharers);
}

} // namespace

bool countIsDue(const FleetRetryBudget &Budget, base::TimePoint Now) {
  return Budget.ServersCountedAt == base::TimePoint{} ||
         Now - Budget.ServersCountedAt >= CountInterval;
}

void noteServers(FleetRetryBudget &Budget, const FleetRetryBound &Bound,
                 std::size_t Owned, std::size_t Known, base::TimePoint Now) {
  if (Now - Budget.MemoryStartedAt >= Bound.Window * SharersMemory) {
    Budget.MostServersBefore = Budget.MostServers;
    Budget.MostServers = 0;
    Budget.MemoryStartedAt = Now;
  }
  Budget.ServersCountedAt = Now;
  Budget.OwnedServers = Owned;
  Budget.MostServers = std::max(Budget.MostServers, Known);
}

// The bound counts the requests of a window, of the one half a window before
// it, or of the one a whole window before it, whichever has most. Half of the
// requests of a window and the one before it together is never more than that,
// and is a sum, so that owners that keep it each keep it together.
//
// A retry is in every window that ends within a window from now. Each is
// checked as if no further request came, and rounded to spans against us.
bool canSendRetry(const FleetRetryBudget &Budget, const FleetRetryBound &Bound,
                  bool MayUseSlack, base::TimePoint Now) {
  std::int64_t Span = spanOf(Bound, Now);
  double Repeats = 1;
  double Firsts = 0;
  for (std::int64_t I = Span - WindowSpans; I <= Span; ++I)
    Repeats += countsOf(Budget, I).Repeats;
  for (std::int64_t I = Span - RingSize + 1; I <= Span; ++I)
    Firsts += countsOf(Budget, I).Firsts;
  double Slack = MayUseSlack ? ownSlack(Budget, Bound) : 0;
  for (std::int64_t I = 0; I <= WindowSpans; ++I) {
    if (Repeats > Bound.Ratio * Firsts / 2 + Slack)
      return false;
    Repeats -= countsOf(Budget, Span - WindowSpans + I).Repeats;
    Firsts -= countsOf(Budget, Span - RingSize + 1 + I).Firsts;
  }
  return true;
}

void noteSend(FleetRetryBudget &Budget, const FleetRetryBound &Bound,
              std::uint32_t Number, base::TimePoint Now) {
  ++counterOf(advanceTo(Budget, spanOf(Bound, Now)), Number);
}

void undoSend(FleetRetryBudget &Budget, const FleetRetryBound &Bound,
              std::uint32_t Number, base::TimePoint SentAt) {
  std::int64_t Span = spanOf(Bound, SentAt);
  if (Span > Budget.LastSpan || Span <= Budget.LastSpan - RingSize)
    return;
  std::uint32_t &Count = counterOf(Budget.Spans[slotOf(Span)], Number);
  Count -= std::min<std::uint32_t>(Count, 1);
}

} // namespace currantgauge::admission

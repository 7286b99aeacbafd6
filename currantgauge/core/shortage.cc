#include "currantgauge/core/shortage.h"

#include "currantgauge/admission/caller_cost.h"
#include "currantgauge/admission/entry.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/queue.h"
#include "currantgauge/base/random.h"

#include <algorithm>

namespace currantgauge::core {
namespace {

// Retry-After where no forecast exists.
constexpr base::Duration DefaultRetryAfter = base::seconds(1);
// An estimate near zero would bring the callers back to a queue still full.
constexpr base::Duration MinQueueFullDelay = base::milliseconds(100);

// computeCallerTimeLeft() returns the time that the caller still waits. The
// limit of the route applies only where the caller stated none.
base::Duration computeCallerTimeLeft(const EntryRequest &Request,
                                     base::TimePoint Now) {
  if (Request.Facts.TimeLeft <= base::Duration{})
    return Request.Deadline - Now;
  return Request.Facts.TimeLeft - (Now - Request.ArrivedAt);
}

} // namespace

base::Duration queueFullDelay(const State &Node, const AttemptFacts &Attempt) {
  if (!Node.Self.Policy.ShortageByCost || !Node.Config.Current)
    return DefaultRetryAfter;
  return std::max(admission::drainTime(
                      Node.Admission, Attempt.Service,
                      admission::rankOrder(*Node.Config.Current, Attempt.Rank)),
                  MinQueueFullDelay);
}

// What one server or owner suggests after a random rejection or for its part of
// the retry bound says nothing about the next one.
base::Duration retryAfterOf(State &Node, const EntryRequest &Request,
                            base::Reason Reason, base::Duration Suggested) {
  if (!Node.Self.Policy.ShortageByCost || Request.MayHaveRun ||
      !admission::isShortage(Reason))
    return Suggested;
  admission::RefusedWork Work{.Aim = Request.Kind.Aim,
                              .Waited = Node.Now - Request.ArrivedAt,
                              .TimeLeft =
                                  computeCallerTimeLeft(Request, Node.Now)};
  base::Duration Forecast =
      admission::isLoadRefusal(Reason) ? Suggested : base::Duration{};
  return admission::returnDelay(Work, Forecast, base::uniformUnit(Node.Random));
}

} // namespace currantgauge::core

// An attempt at its owner (the node whose server runs it), queued or in a slot.
//
//   QueuedAttemptPtr Attempt(new QueuedAttempt);
//   Queue.insert(*Attempt);
#ifndef CURRANTGAUGE_ADMISSION_QUEUED_ATTEMPT_H
#define CURRANTGAUGE_ADMISSION_QUEUED_ATTEMPT_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/request.h"

#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>

namespace currantgauge::admission {

// QueueHook removes the attempt from its queue on destruction.
using QueueHook = boost::intrusive::set_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

// QueuedAttempt is reference-counted: the owner's table and code that is ending
// the attempt share it. A queue links it without holding a reference.
struct QueuedAttempt
    : boost::intrusive_ref_counter<QueuedAttempt, boost::thread_unsafe_counter>,
      QueueHook {
  core::AttemptFacts Facts;
  std::uint32_t RankOrder = 0;
  base::TimePoint ArrivedAt;
  base::TimePoint Deadline;
  base::TimePoint StartBy;     // refused if still waiting then
  base::TimePoint SlotTakenAt; // zero without a slot
  base::TimePoint StartedAt;   // of the exchange; zero before it
  base::Duration ExpectedTime; // in a slot, as estimated on arrival
  base::Duration Aim;          // of the kind, as configured on arrival
  base::BackendName Server;    // empty while waiting for a slot
  bool CrossedLink = false;    // the entry is in another region
  bool Cancelled = false;
  base::ByteCount AnswerBytes; // of the backend server's response
};

// EarlierDeadline orders attempts. Equal deadlines keep the order of arrival.
struct EarlierDeadline {
  bool operator()(const QueuedAttempt &A, const QueuedAttempt &B) const {
    return A.Deadline < B.Deadline;
  }
};

using QueuedAttemptPtr = boost::intrusive_ptr<QueuedAttempt>;
using DeadlineQueue =
    boost::intrusive::multiset<QueuedAttempt,
                               boost::intrusive::compare<EarlierDeadline>,
                               boost::intrusive::constant_time_size<false>>;

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_QUEUED_ATTEMPT_H

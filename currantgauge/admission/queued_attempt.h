// An attempt at its owner: waiting in a queue or running in a slot.
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

// QueueHook leaves its queue by itself when the attempt is destroyed.
using QueueHook = boost::intrusive::set_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

// QueuedAttempt is counted: the owner's table and a queue may both hold it.
struct QueuedAttempt
    : boost::intrusive_ref_counter<QueuedAttempt, boost::thread_unsafe_counter>,
      QueueHook {
  core::AttemptFacts Facts;
  std::uint32_t RankOrder = 0;
  base::TimePoint ArrivedAt;
  base::TimePoint Deadline;
  base::TimePoint StartBy;     // refused when it still waits then
  base::TimePoint SlotTakenAt; // when it got its slot
  base::TimePoint StartedAt;   // of the exchange; zero while it waits
  base::Duration ExpectedTime; // slot time, as known when it arrived
  base::Duration Aim;          // of its kind, as known when it arrived
  base::BackendName Server;    // empty while it waits for a slot
  bool CrossedLink = false;    // its entry is in another region
  bool Cancelled = false;
  base::ByteCount AnswerBytes; // of the backend server's answer
};

// EarlierDeadline orders attempts; equal ones stay in order of arrival.
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

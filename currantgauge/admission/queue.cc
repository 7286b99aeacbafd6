#include "currantgauge/admission/queue.h"

#include <algorithm>

namespace currantgauge::admission {
namespace {

const config::ServiceSettings &settingsOf(const config::Configuration &Config,
                                          const base::ServiceName &Service) {
  static const config::ServiceSettings Defaults;
  auto Found = Config.Services.find(Service);
  return Found == Config.Services.end() ? Defaults : Found->second;
}

} // namespace

base::Reason enqueue(AdmissionState &State, const config::Configuration &Config,
                     QueuedAttempt &Attempt, base::TimePoint Now) {
  const config::ServiceSettings &Limits =
      settingsOf(Config, Attempt.Facts.Service);
  ServiceQueue &Queue = State.Queues[Attempt.Facts.Service];
  if (Attempt.Deadline <= Now)
    return base::Reason::DeadlinePassed;
  if (Queue.Length >= Limits.QueueLength)
    return base::Reason::QueueFull;
  if (Queue.Bytes + Attempt.Facts.BodyBytes > Limits.QueueBytes)
    return base::Reason::QueueBytesFull;
  // Earliest deadline first inside a rank: most arrive in that order already,
  // so the walk from the back is short.
  AttemptQueue &Same = Queue.ByRank[Attempt.RankOrder];
  auto At = Same.end();
  while (At != Same.begin() && std::prev(At)->Deadline > Attempt.Deadline)
    --At;
  Same.insert(At, Attempt);
  ++Queue.Length;
  Queue.Bytes = Queue.Bytes + Attempt.Facts.BodyBytes;
  return base::Reason::None;
}

QueuedAttempt *nextToRun(AdmissionState &State,
                         const config::Configuration &Config,
                         const base::ServiceName &Service,
                         base::TimePoint Now) {
  auto Found = State.Queues.find(Service);
  if (Found == State.Queues.end())
    return nullptr;
  for (auto &[Order, Same] : Found->second.ByRank)
    if (!Same.empty())
      return &Same.front();
  return nullptr;
}

void dequeue(AdmissionState &State, QueuedAttempt &Attempt) {
  if (!Attempt.is_linked())
    return;
  Attempt.unlink();
  ServiceQueue &Queue = State.Queues[Attempt.Facts.Service];
  --Queue.Length;
  Queue.Bytes.Bytes -= Attempt.Facts.BodyBytes.Bytes;
}

core::Pressure pressureOf(const AdmissionState &State,
                          const config::Configuration &Config,
                          const base::ServiceName &Service) {
  core::Pressure Load;
  Load.Service = Service;
  return Load;
}

} // namespace currantgauge::admission

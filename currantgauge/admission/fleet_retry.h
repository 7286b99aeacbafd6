// An owner's part of the bound on the retries of all nodes together. Owners
// count, not entries: every attempt passes the owner of its server, whatever
// entry its request reached, and a service has fewer owners than entries.
//
//   if (Attempt.Number > 1 && !canSendRetry(Budget, Bound, Now)) refuse();
//   noteSend(Budget, Bound, Attempt.Number, Now);
#ifndef CURRANTGAUGE_ADMISSION_FLEET_RETRY_H
#define CURRANTGAUGE_ADMISSION_FLEET_RETRY_H

#include "currantgauge/base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace currantgauge::admission {

// FleetRetryBound limits the attempts that reach the backend servers of a
// service beyond the first of each request: in any window, Ratio times its
// requests plus Slack, for all nodes together.
struct FleetRetryBound {
  double Ratio = 0; // attempts per request; 0: not set
  double Slack = 0; // attempts in a window
  base::Duration Window = base::seconds(10);
};

// SendCounts are the sends of one span of time.
struct SendCounts {
  std::uint32_t Firsts = 0;  // first sends of requests
  std::uint32_t Repeats = 0; // further sends of requests
};

constexpr std::size_t SpansPerWindow = 40;

// FleetRetryBudget holds an owner's sends of one service in the last two
// windows, and the servers that share the bound's Slack.
struct FleetRetryBudget {
  std::array<SendCounts, 2 * SpansPerWindow> Spans; // ring, by span number
  std::int64_t LastSpan = 0;                        // of Spans
  std::size_t OwnedServers = 0;                     // of the service
  // Servers of the service that any node owns: the most that were known in the
  // current and in the previous period of SharersMemory.
  std::size_t MostServers = 0;
  std::size_t MostServersBefore = 0;
  base::TimePoint MemoryStartedAt;
  base::TimePoint ServersCountedAt; // zero: never
};

// countIsDue() returns true if the servers that share the slack should be
// counted again, and noteServers() records them.
bool countIsDue(const FleetRetryBudget &Budget, base::TimePoint Now);
void noteServers(FleetRetryBudget &Budget, const FleetRetryBound &Bound,
                 std::size_t Owned, std::size_t Known, base::TimePoint Now);

// canSendRetry() returns true if the owner may send one more repeat now.
// Without MayUseSlack, what first sends permit has to suffice.
bool canSendRetry(const FleetRetryBudget &Budget, const FleetRetryBound &Bound,
                  bool MayUseSlack, base::TimePoint Now);

// noteSend() records a send to a backend server. Number is 1 for the first of a
// request.
void noteSend(FleetRetryBudget &Budget, const FleetRetryBound &Bound,
              std::uint32_t Number, base::TimePoint Now);

// undoSend() takes back the send of SentAt, which reached no server.
void undoSend(FleetRetryBudget &Budget, const FleetRetryBound &Bound,
              std::uint32_t Number, base::TimePoint SentAt);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_FLEET_RETRY_H

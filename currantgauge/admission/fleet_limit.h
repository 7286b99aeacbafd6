// Rate limits of workspaces over all nodes together. The home of a workspace
// holds its only token bucket; entries ask it for permits and hold their
// requests meanwhile. docs/design/fleet-limits.md says what a failure leaves.
//
//   requestPermit(State, Request, Workspace, Now, Output);
//   onPermitAsk(State, Ask, Limit, Now, Output);
//   onPermitAnswer(State, Answer, Now, Output);
#ifndef CURRANTGAUGE_ADMISSION_FLEET_LIMIT_H
#define CURRANTGAUGE_ADMISSION_FLEET_LIMIT_H

#include "currantgauge/admission/fleet_roster.h"
#include "currantgauge/admission/permit.h"
#include "currantgauge/admission/permit_buckets.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::admission {

// PendingAsk is an ask of this node, the entry, that has no answer yet.
struct PendingAsk {
  base::WorkspaceName Workspace;
  std::vector<base::RequestId> Requests;
  std::uint32_t Sends = 0;
  base::NodeName Recipient; // of the last send
  base::TimePoint ResendAt;
};

// WorkspaceAsks holds the asks of a workspace in flight, and the requests for
// the next one.
struct WorkspaceAsks {
  std::size_t InFlight = 0;
  std::vector<base::RequestId> Waiting;
};

// FleetLimitState is the state of a node, as the home of some workspaces and as
// an entry.
struct FleetLimitState {
  FleetRoster Roster;
  PermitBuckets Buckets;
  std::uint64_t Origin = 0; // of its asks; differs between runs of a node
  std::uint64_t LastSequence = 0;
  std::map<std::uint64_t, PendingAsk> Asks;
  std::map<base::WorkspaceName, WorkspaceAsks> Workspaces;
  // Some workspace has a fleet limit, as of a version of the configuration.
  bool InUse = false;
  std::optional<base::ConfigVersion> InUseAsOf;
};

// PermitMessage is a message to another node.
struct PermitMessage {
  base::NodeName Recipient;
  base::NetAddress Address; // empty: that of the member Recipient
  std::variant<PermitAsk, PermitAnswer> Body;
};

// PermitDecision ends the wait of a request.
struct PermitDecision {
  base::RequestId Request;
  bool Granted = false;
  base::Duration RetryAfter; // if not granted
};

// PermitEvent is what happened to permits, for metrics.
enum class PermitEvent { Asked, Repeated, Granted, Refused, TakenOver };

// PermitOutput is what follows from an event.
struct PermitOutput {
  std::vector<PermitMessage> Messages;
  std::vector<PermitDecision> Decisions;
  std::vector<std::uint64_t> Resends; // asks whose ResendAt was set
  // Asks that this node has to answer as the home, with onPermitAsk().
  std::vector<PermitAsk> OwnAsks;
  std::vector<std::pair<PermitEvent, std::uint32_t>> Events;
};

// requestPermit() asks for a permit for a request.
void requestPermit(FleetLimitState &State, const base::RequestId &Request,
                   const base::WorkspaceName &Workspace, base::TimePoint Now,
                   PermitOutput &Output);

// cancelPermit() ends the wait of a request that needs no permit any more.
void cancelPermit(FleetLimitState &State, const base::RequestId &Request,
                  const base::WorkspaceName &Workspace);

// onPermitAsk() answers an ask if this node is the workspace's home and may
// issue permits, else forwards it to the home. Limit is empty if this node
// doesn't know the workspace; then it issues none.
void onPermitAsk(FleetLimitState &State, const PermitAsk &Ask,
                 const std::optional<FleetLimit> &Limit, base::TimePoint Now,
                 PermitOutput &Output);

void onPermitAnswer(FleetLimitState &State, const PermitAnswer &Answer,
                    base::TimePoint Now, PermitOutput &Output);

// resendAsk() repeats an ask whose answer is overdue.
void resendAsk(FleetLimitState &State, std::uint64_t Sequence,
               base::TimePoint Now, PermitOutput &Output);

// onPermitSendFailed() repeats asks that didn't reach their first recipient.
void onPermitSendFailed(FleetLimitState &State, const base::NodeName &Recipient,
                        base::TimePoint Now, PermitOutput &Output);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_FLEET_LIMIT_H

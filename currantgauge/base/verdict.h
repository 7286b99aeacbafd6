// The outcome of a request: whether a backend server may have run it, and why
// it ended that way. Each reason has its own counter.
//
//   if (Outcome.Verdict == Verdict::NotRun) retry();
//   std::error_code Error = Reason::QueueFull; // message: "the queue is full"
#ifndef CURRANTGAUGE_BASE_VERDICT_H
#define CURRANTGAUGE_BASE_VERDICT_H

#include <string_view>
#include <system_error>

namespace currantgauge::base {

// Verdict says whether a backend server ran a request, as far as is known.
enum class Verdict {
  NotRun,     // certain: no backend server ran it
  MayHaveRun, // a backend server may have received it
  Ran,        // a backend server ran it and its complete answer arrived
};

// Reason says why a request or attempt was refused or retried, or ended without
// a successful answer.
enum class Reason {
  None,
  // Invalid input.
  BadRequest,
  BodyTooLarge,
  HeaderTooLarge,
  NoRoute,
  UnknownWorkspace,
  // State of the node.
  NoConfiguration,
  NodeStopping,
  // Admission.
  WorkspaceLimit,
  KindLimit,
  QueueFull,
  QueueBytesFull,
  DeadlineTooShort,
  DeadlinePassed,
  ShedByPressure,
  LinkBudget,
  RetryBudget,
  // Routing.
  NoBackend,
  BackendLeaving,
  PeerUnavailable,
  PeerLost,
  // The backend server.
  BackendShed,
  BackendMisdirected,
  BackendSuspect,
  BackendRefusedConnection,
  BackendReset,
  BackendSilent,
  BackendTimeout,
  BackendError,
  AnswerCutShort,
  // Actions.
  ActionRunning,
  ActionMismatch,
  ActionExpired,
  ActionForged,
  ActionForeign,
  ActionLost,
  StoreUnavailable,
  Quarantined,
  // The caller.
  CallerGone,
  CallerTimeout,

  // Announcements of backend servers.
  BadAnnouncement,

  // Admission. Values are sent to other nodes as numbers: append new ones here.
  LongWait,       // the owner returned the attempt: its queue is long
  MemoryLimit,    // the bodies of requests use all memory that they may
  UnknownKey,     // no workspace has the caller's key
  FleetLimit,     // the workspace is over its limit at all nodes together
  NoRoomForCalls, // the calls that the request leads to would be refused
};

// LastReason is the last enumerator of Reason, for tables indexed by it.
constexpr Reason LastReason = Reason::NoRoomForCalls;

// verdictName() returns a verdict's snake_case name for headers and metrics.
std::string_view verdictName(Verdict Value);

// reasonName() returns a reason's snake_case name for headers and metrics.
std::string_view reasonName(Reason Value);

// reasonText() returns a description of a reason for callers and operators.
std::string_view reasonText(Reason Value);

// reasonCategory() returns the std::error_category of Reason values.
const std::error_category &reasonCategory();

std::error_code make_error_code(Reason Value);

} // namespace currantgauge::base

template <>
struct std::is_error_code_enum<currantgauge::base::Reason> : std::true_type {};

#endif // CURRANTGAUGE_BASE_VERDICT_H

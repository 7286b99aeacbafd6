// What is known of a request that ended: whether a backend server may have run
// it, and the reason, each with its own counter.
//
//   if (Ending.What == Verdict::NotRun) retry();
//   std::error_code Error = Reason::QueueFull; // "queue_full"
#ifndef CURRANTGAUGE_BASE_VERDICT_H
#define CURRANTGAUGE_BASE_VERDICT_H

#include <string_view>
#include <system_error>

namespace currantgauge::base {

// Verdict says whether a request may have run.
enum class Verdict {
  NotRun,     // proof that no backend server received it
  MayHaveRun, // a backend server may have received it
  Ran,        // a backend server ran it and its whole answer is here
};

// Reason says why a request was refused, retried or ended without an answer.
enum class Reason {
  None,
  // Bad input.
  BadRequest,
  BodyTooLarge,
  HeaderTooLarge,
  NoRoute,
  UnknownWorkspace,
  // The node.
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

  // A backend server's word of itself.
  BadAnnouncement,

  // Admission. Values travel by position: new ones stand last.
  LongWait,
};

// LastReason is the highest value of Reason, for tables indexed by it.
constexpr Reason LastReason = Reason::LongWait;

// verdictName() returns the snake_case name used in headers and metrics.
std::string_view verdictName(Verdict What);

// reasonName() returns the snake_case name used in headers and metrics.
std::string_view reasonName(Reason Why);

// reasonText() returns a plain sentence for callers and operators.
std::string_view reasonText(Reason Why);

// reasonCategory() is the category of every Reason as std::error_code.
const std::error_category &reasonCategory();

std::error_code make_error_code(Reason Why);

} // namespace currantgauge::base

template <>
struct std::is_error_code_enum<currantgauge::base::Reason> : std::true_type {};

#endif // CURRANTGAUGE_BASE_VERDICT_H

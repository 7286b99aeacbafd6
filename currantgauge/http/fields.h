// Header fields of ours, and which fields of others end at a hop.
//
//   if (isHopByHop(Name)) continue;
#ifndef CURRANTGAUGE_HTTP_FIELDS_H
#define CURRANTGAUGE_HTTP_FIELDS_H

#include <string_view>

namespace currantgauge::http {

// What callers send.
constexpr std::string_view WorkspaceField = "Currantgauge-Workspace";
constexpr std::string_view TimeoutField = "Currantgauge-Timeout-Ms";
constexpr std::string_view IdempotencyKeyField = "Idempotency-Key";
constexpr std::string_view ActionIdField = "Currantgauge-Action-Id";
// Where callers ask for an action id, by POST.
constexpr std::string_view ActionsPath = "/.currantgauge/actions";
// What callers get; backend servers get the first as well.
constexpr std::string_view RequestIdField = "Currantgauge-Request-Id";
constexpr std::string_view VerdictField = "Currantgauge-Verdict";
constexpr std::string_view ReasonField = "Currantgauge-Reason";
constexpr std::string_view ServerField = "Currantgauge-Server";
// What backend servers get.
constexpr std::string_view AttemptIdField = "Currantgauge-Attempt-Id";

// isHopByHop() says whether a field ends at this hop (RFC 9110, 7.6.1).
bool isHopByHop(std::string_view Name);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_FIELDS_H

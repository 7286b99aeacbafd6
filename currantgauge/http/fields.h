// Names of the header fields of the native dialect, and the test for hop-by-hop
// fields.
//
//   if (isHopByHop(Name)) continue;
#ifndef CURRANTGAUGE_HTTP_FIELDS_H
#define CURRANTGAUGE_HTTP_FIELDS_H

#include <string_view>

namespace currantgauge::http {

// In requests of callers.
constexpr std::string_view KeyField = "Currantgauge-Key";
// Also in requests to backend servers.
constexpr std::string_view WorkspaceField = "Currantgauge-Workspace";
constexpr std::string_view TimeoutField = "Currantgauge-Timeout-Ms";
constexpr std::string_view IdempotencyKeyField = "Idempotency-Key";
constexpr std::string_view ActionIdField = "Currantgauge-Action-Id";
// Target of a POST by which callers request an action id.
constexpr std::string_view ActionsPath = "/.currantgauge/actions";
// In answers to callers. RequestIdField is also in requests to backend servers.
constexpr std::string_view RequestIdField = "Currantgauge-Request-Id";
constexpr std::string_view VerdictField = "Currantgauge-Verdict";
constexpr std::string_view ReasonField = "Currantgauge-Reason";
constexpr std::string_view ServerField = "Currantgauge-Server";
// In requests to backend servers.
constexpr std::string_view AttemptIdField = "Currantgauge-Attempt-Id";

// isHopByHop() returns true for fields that aren't forwarded: those of one
// connection (RFC 9110, section 7.6.1), and Content-Length and Expect, which
// this node handles itself.
bool isHopByHop(std::string_view Name);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_FIELDS_H

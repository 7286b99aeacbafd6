// The listeners of a node: for callers; for announcements of backend servers,
// which also serves metrics and health checks; for operators; and for peers.
// Health checks and metrics may have additional listeners of their own.
//
//   if (!openListeners(Self, Error)) ...
#ifndef CURRANTGAUGE_RUNTIME_LISTENERS_H
#define CURRANTGAUGE_RUNTIME_LISTENERS_H

#include "currantgauge/runtime/node.h"

#include <string>

namespace currantgauge::runtime {

// openListeners() opens all listeners. Returns false and sets Error if one of
// the addresses or the operators' TLS certificate can't be used.
bool openListeners(Node &Self, std::string &Error);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_LISTENERS_H

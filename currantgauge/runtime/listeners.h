// A node's listeners: callers, backend servers' announcements with metrics and
// health, operators, peers.
//
//   if (!openListeners(Self, Error)) ...
#ifndef CURRANTGAUGE_RUNTIME_LISTENERS_H
#define CURRANTGAUGE_RUNTIME_LISTENERS_H

#include "currantgauge/runtime/node.h"

#include <string>

namespace currantgauge::runtime {

// openListeners() opens all of them; false and a sentence in Error when one
// address can't be used.
bool openListeners(Node &Self, std::string &Error);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_LISTENERS_H

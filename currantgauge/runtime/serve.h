// The serve command: one node, until it is told to stop.
//
//   return serveNode(Settings, "");
#ifndef CURRANTGAUGE_RUNTIME_SERVE_H
#define CURRANTGAUGE_RUNTIME_SERVE_H

#include "currantgauge/config/node_settings.h"
#include "currantgauge/runtime/adapter.h"

#include <functional>
#include <optional>
#include <string>

namespace currantgauge::runtime {

// serveNode() runs a node and returns its exit code. JournalPath is empty for
// no journal. SIGTERM and SIGINT start a graceful shutdown, a second one ends
// the process at once.
// Reread returns the settings as their file has them now; none when it can't be
// read, which it has told of.
using RereadSettings = std::function<std::optional<config::NodeSettings>()>;

// SIGHUP has the settings read again, as does a file that changed without one.
int serveNode(const config::NodeSettings &Settings, const Adapter &Spoken,
              const std::string &JournalPath, const RereadSettings &Reread);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_SERVE_H

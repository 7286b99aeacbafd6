// The serve command, which runs a node until it is told to stop.
//
//   serveNode(Settings, nativeAdapter(), "", ReadSettings);
#ifndef CURRANTGAUGE_RUNTIME_SERVE_H
#define CURRANTGAUGE_RUNTIME_SERVE_H

#include "currantgauge/config/node_settings.h"
#include "currantgauge/runtime/adapter.h"

#include <functional>
#include <optional>
#include <string>

namespace currantgauge::runtime {

// SettingsReader reads the settings file again. Returns none if it can't be
// read, after reporting the error.
using SettingsReader = std::function<std::optional<config::NodeSettings>()>;

// serveNode() runs a node until it has stopped, then ends the process with the
// node's exit code; it doesn't return. An empty JournalPath disables the
// journal. SIGTERM and SIGINT start a graceful shutdown; the second such signal
// ends the process immediately. The settings are read again on SIGHUP and
// periodically; of the changes, only the log level is applied.
int serveNode(const config::NodeSettings &Settings, const Adapter &Protocols,
              const std::string &JournalPath,
              const SettingsReader &ReadSettings);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_SERVE_H

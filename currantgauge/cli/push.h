// Pushes a configuration document to a node and waits until the fleet has it.
//
//   return pushDocument(Opts, Text);
#ifndef CURRANTGAUGE_CLI_PUSH_H
#define CURRANTGAUGE_CLI_PUSH_H

#include "currantgauge/cli/options.h"

#include <string>

namespace currantgauge::cli {

// pushDocument() pushes Text as the next version and prints the node's reply.
// If Opts.Wait is set, it returns when every node has that version or
// Opts.Timeout has passed. Returns the exit code.
int pushDocument(const Options &Opts, const std::string &Text);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_PUSH_H

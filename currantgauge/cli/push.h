// Pushes a configuration document to a node and, on request, waits until the
// fleet has it.
//
//   return pushDocument(Opts, Text);
#ifndef CURRANTGAUGE_CLI_PUSH_H
#define CURRANTGAUGE_CLI_PUSH_H

#include "currantgauge/cli/options.h"

#include <string>

namespace currantgauge::cli {

// pushDocument() pushes Text as the next version and prints the node's reply.
// If Opts.Wait is set and the push is accepted, it waits until every node has
// that version, and fails if Opts.Timeout passes first. Returns the exit code.
int pushDocument(const Options &Opts, const std::string &Text);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_PUSH_H

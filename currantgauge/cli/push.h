// Pushing a document to a node and watching it spread.
//
//   return pushDocument(Given, Text);
#ifndef CURRANTGAUGE_CLI_PUSH_H
#define CURRANTGAUGE_CLI_PUSH_H

#include "currantgauge/cli/options.h"

#include <string>

namespace currantgauge::cli {

// pushDocument() makes Text the next version and prints the node's reply; with
// Given.Wait it returns once every node has it. Returns the exit code.
int pushDocument(const Options &Given, const std::string &Text);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_PUSH_H

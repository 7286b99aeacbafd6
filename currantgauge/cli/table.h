// Replies as tables for people or as JSON for programs.
//
//   std::cout << formatReply(Reply, OutputFormat::Table, /*Colour=*/false);
#ifndef CURRANTGAUGE_CLI_TABLE_H
#define CURRANTGAUGE_CLI_TABLE_H

#include "currantgauge/cli/options.h"
#include "currantgauge/core/operator.h"

#include <string>

namespace currantgauge::cli {

// formatTable() returns a title, a heading and aligned rows.
std::string formatTable(const core::OperatorTable &Table, bool Colour);

// formatReply() returns fields, tables and text of a reply.
std::string formatReply(const core::OperatorReply &Reply, OutputFormat Format,
                        bool Colour);

// printReply() prints a reply to the standard output, or its error to the
// standard error. Returns the exit code.
int printReply(const core::OperatorReply &Reply, const Options &Given);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_TABLE_H

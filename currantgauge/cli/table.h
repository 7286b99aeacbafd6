// Formats replies as tables or as JSON.
//
//   std::cout << formatReply(Reply, OutputFormat::Table, /*UseColor=*/false);
#ifndef CURRANTGAUGE_CLI_TABLE_H
#define CURRANTGAUGE_CLI_TABLE_H

#include "currantgauge/cli/options.h"
#include "currantgauge/core/operator.h"

#include <string>

namespace currantgauge::cli {

// formatTable() returns the title with the number of rows, the column headings
// and the aligned rows.
std::string formatTable(const core::OperatorTable &Table, bool UseColor);

// formatReply() returns the fields, tables and text of a reply. Only JSON
// includes its error.
std::string formatReply(const core::OperatorReply &Reply, OutputFormat Format,
                        bool UseColor);

// printReply() prints a reply to standard output. With table output, an error
// and the rest of its reply go to standard error. Returns the exit code.
int printReply(const core::OperatorReply &Reply, const Options &Opts);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_TABLE_H

// Reduces a push to the document's parts that differ from the node's version.
//
//   core::ConfigPushCommand Push = ...;
//   std::string Error = planPush(Text, SendQuery, Push);
#ifndef CURRANTGAUGE_CLI_PUSH_CHANGES_H
#define CURRANTGAUGE_CLI_PUSH_CHANGES_H

#include "currantgauge/core/operator.h"

#include <functional>
#include <string>

namespace currantgauge::cli {

// QueryFunction sends a query to the node and returns its reply.
using QueryFunction =
    std::function<core::OperatorReply(const core::OperatorCommand &)>;

// planPush() fills Push with the differences between Text and the version in
// force on the node. It fills in the full text instead if that version isn't
// Push.BaseVersion, if it changes meanwhile, if there is none, or if Text can't
// be split into parts. A BaseVersion of 0 is set to the version in force.
// Returns the node's error, empty on success.
std::string planPush(const std::string &Text, const QueryFunction &SendQuery,
                     core::ConfigPushCommand &Push);

// setFullText() makes Push contain the full Text and no differences.
void setFullText(const std::string &Text, core::ConfigPushCommand &Push);

// getField() returns the value of a reply's field, or an empty string if it is
// missing.
std::string getField(const core::OperatorReply &Reply, const std::string &Key);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_PUSH_CHANGES_H

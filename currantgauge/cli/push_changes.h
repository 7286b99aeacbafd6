// What a push has to carry: the parts that its node lacks.
//
//   core::ConfigPushCommand Push = ...;
//   std::string Error = planPush(Text, Ask, Push);
#ifndef CURRANTGAUGE_CLI_PUSH_CHANGES_H
#define CURRANTGAUGE_CLI_PUSH_CHANGES_H

#include "currantgauge/core/operator.h"

#include <functional>
#include <string>

namespace currantgauge::cli {

// AskFunction sends a query to the node.
using AskFunction =
    std::function<core::OperatorReply(const core::OperatorCommand &)>;

// planPush() fills Push with what the node lacks of Text; with all of Text when
// the node has another version than Push.BaseVersion. BaseVersion 0 becomes the
// node's version. Returns the node's error, empty on success.
std::string planPush(const std::string &Text, const AskFunction &Ask,
                     core::ConfigPushCommand &Push);

// sendWhole() makes Push carry all of Text.
void sendWhole(const std::string &Text, core::ConfigPushCommand &Push);

// fieldOf() returns a field of a reply, empty when there is none.
std::string fieldOf(const core::OperatorReply &Reply, const std::string &Key);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_PUSH_CHANGES_H

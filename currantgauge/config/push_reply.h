// What an operator is told of a push.
//
//   Effects.push_back(AnswerOperator{Call, makeAcceptedReply(Row)});
#ifndef CURRANTGAUGE_CONFIG_PUSH_REPLY_H
#define CURRANTGAUGE_CONFIG_PUSH_REPLY_H

#include "currantgauge/config/head_row.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/core/state.h"

#include <string>

namespace currantgauge::config {

// failure() returns a reply with an error.
core::OperatorReply makeErrorReply(const std::string &Text);

// makeAcceptedReply() names the version that a push became.
core::OperatorReply makeAcceptedReply(const HeadRow &Row);

// makeStaleReply() says who was first, when, and what differs between the
// version in force and the node's pending push.
core::OperatorReply makeStaleReply(const core::State &Node);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PUSH_REPLY_H

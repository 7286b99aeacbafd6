// Replies to an operator's push.
//
//   Effects.push_back(AnswerOperator{Call, makeAcceptedReply(Row)});
#ifndef CURRANTGAUGE_CONFIG_PUSH_REPLY_H
#define CURRANTGAUGE_CONFIG_PUSH_REPLY_H

#include "currantgauge/config/head_row.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/core/state.h"

#include <string>

namespace currantgauge::config {

// makeErrorReply() returns a reply with an error message.
core::OperatorReply makeErrorReply(const std::string &Text);

// makeAcceptedReply() returns the reply to an accepted push, with its version.
core::OperatorReply makeAcceptedReply(const HeadRow &Row);

// makeStaleReply() returns the reply to a pending push whose base version is no
// longer the newest: author and time of the newest version known, and, if that
// version is in force here, the first entries in which the pending push differs
// from it.
core::OperatorReply makeStaleReply(const core::State &Node);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PUSH_REPLY_H

// Operators' queries and replies as JSON.
//
//   std::string Error;
//   auto Query = parseCommand(R"({"query":"status"})", Error);
#ifndef CURRANTGAUGE_HTTP_OPERATOR_CODEC_H
#define CURRANTGAUGE_HTTP_OPERATOR_CODEC_H

#include "currantgauge/core/operator.h"

#include <optional>
#include <string>

namespace currantgauge::http {

// parseCommand() returns the query of a JSON text; none and a sentence in Error
// when it is malformed.
std::optional<core::OperatorCommand> parseCommand(const std::string &Text,
                                                  std::string &Error);

// encodeCommand() is the inverse of parseCommand().
std::string encodeCommand(const core::OperatorCommand &Query);

// encodeReply() returns a reply as JSON.
std::string encodeReply(const core::OperatorReply &Reply);

// parseReply() is the inverse of encodeReply(); malformed text gives a reply
// with an Error.
core::OperatorReply parseReply(const std::string &Text);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_OPERATOR_CODEC_H

// JSON encoding of operators' commands and their replies.
//
//   std::string Error;
//   auto Command = parseCommand(R"({"query":"status"})", Error);
#ifndef CURRANTGAUGE_HTTP_OPERATOR_CODEC_H
#define CURRANTGAUGE_HTTP_OPERATOR_CODEC_H

#include "currantgauge/core/operator.h"

#include <optional>
#include <string>

namespace currantgauge::http {

// parseCommand() parses a command; returns none, with a message in Error, when
// the text is malformed.
std::optional<core::OperatorCommand> parseCommand(const std::string &Text,
                                                  std::string &Error);

// encodeCommand() is the inverse of parseCommand().
std::string encodeCommand(const core::OperatorCommand &Command);

// encodeReply() returns a reply as JSON.
std::string encodeReply(const core::OperatorReply &Reply);

// parseReply() is the inverse of encodeReply(), except that a document is
// returned as Text. For malformed text, it returns a reply with Error set.
core::OperatorReply parseReply(const std::string &Text);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_OPERATOR_CODEC_H

// Operators' queries and replies as JSON.
//
//   std::string Error;
//   auto Query = parseQuery(R"({"query":"status"})", Error);
#ifndef CURRANTGAUGE_HTTP_OPERATOR_CODEC_H
#define CURRANTGAUGE_HTTP_OPERATOR_CODEC_H

#include "currantgauge/core/operator.h"

#include <optional>
#include <string>

namespace currantgauge::http {

// parseQuery() returns the query of a JSON text; none and a sentence in Error
// when it is malformed.
std::optional<core::OperatorCommand> parseQuery(const std::string &Text,
                                                std::string &Error);

// encodeQuery() is the inverse of parseQuery().
std::string encodeQuery(const core::OperatorCommand &Query);

// encodeReply() returns a reply as JSON.
std::string encodeReply(const core::OperatorReply &Reply);

// parseReply() is the inverse of encodeReply(); malformed text gives a reply
// with an Error.
core::OperatorReply parseReply(const std::string &Text);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_OPERATOR_CODEC_H

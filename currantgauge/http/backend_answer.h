// What the head of a backend server's answer says beyond its status.
//
//   readProofs(Head, Wire, Outcome);
//   if (isStray(Head, Wire, Message)) skip();
#ifndef CURRANTGAUGE_HTTP_BACKEND_ANSWER_H
#define CURRANTGAUGE_HTTP_BACKEND_ANSWER_H

#include "currantgauge/core/request.h"
#include "currantgauge/http/dialect.h"
#include "currantgauge/runtime/message.h"

#include <boost/beast/http/message.hpp>

#include <chrono>

namespace currantgauge::http {

using AnswerFields = boost::beast::http::response_header<>;

// readRetryAfter() takes seconds, with a fraction or without. Others are
// ignored.
void readRetryAfter(const AnswerFields &Head, core::ExchangeOutcome &Outcome);

// readProofs() takes the server's name and its word that nothing ran.
void readProofs(const AnswerFields &Head, const HttpDialect &Wire,
                core::ExchangeOutcome &Outcome);

// isStray() is true for an answer to another attempt, late on this connection.
bool isStray(const AnswerFields &Head, const HttpDialect &Wire,
             const runtime::RequestMessage &Message);

// isSpoilt() is true for a success without the server's signature, or in an
// encoding that nobody asked for: it is not what the server meant to say.
bool isSpoilt(const AnswerFields &Head, const HttpDialect &Wire);

// idleLimitOf() returns how long the connection may idle before it is used
// again. Without the server's word it is a guess.
std::chrono::milliseconds idleLimitOf(const AnswerFields &Head);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_BACKEND_ANSWER_H

// Evaluates the header of a backend server's answer.
//
//   readNotRunConfirmation(Head, Dialect, Outcome);
//   if (isStaleAnswer(Head, Dialect, Message)) discardBody();
#ifndef CURRANTGAUGE_HTTP_BACKEND_ANSWER_H
#define CURRANTGAUGE_HTTP_BACKEND_ANSWER_H

#include "currantgauge/core/request.h"
#include "currantgauge/http/dialect.h"
#include "currantgauge/runtime/message.h"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <string>

namespace currantgauge::http {

using AnswerHeader = boost::beast::http::response_header<>;

// AnswerKind says what the status of an answer makes of it.
enum class AnswerKind {
  Interim, // precedes the final answer
  Final,
  Invalid, // no answer: outside 100 to 599, or an interim one that isn't due
};

// kindOf() returns the kind of an answer to a request that asked for no upgrade
// of the protocol.
AnswerKind kindOf(const AnswerHeader &Head);

// readRetryAfter() sets Outcome.RetryAfter from the field Retry-After, which is
// in seconds. A value without a fraction counts as at least 1 s. Dates and
// values above one hour are ignored.
void readRetryAfter(const AnswerHeader &Head, core::ExchangeOutcome &Outcome);

// readNotRunConfirmation() sets Outcome.ConfirmedNotRun to whether the server
// states that it did not run the request, by the dialect's NotRunField or by
// status 421. No effect in a dialect without that field.
void readNotRunConfirmation(const AnswerHeader &Head,
                            const HttpDialect &Dialect,
                            core::ExchangeOutcome &Outcome);

// echoedAttemptIdOf() returns the attempt id that an answer to this request has
// to echo, or an empty string if the request has none or in a dialect without
// EchoesAttemptId.
std::string echoedAttemptIdOf(const runtime::RequestMessage &Message,
                              const HttpDialect &Dialect);

// echoOf() returns the attempt id that an answer echoes, or an empty string.
std::string echoOf(const AnswerHeader &Head, const HttpDialect &Dialect);

// isUnidentified() returns true for an answer that should echo an attempt id
// and doesn't.
bool isUnidentified(const AnswerHeader &Head, const HttpDialect &Dialect,
                    const runtime::RequestMessage &Message);

// isStaleAnswer() returns true for a late answer to another attempt on this
// connection, recognized by the attempt id that it echoes. Always false in a
// dialect without EchoesAttemptId.
bool isStaleAnswer(const AnswerHeader &Head, const HttpDialect &Dialect,
                   const runtime::RequestMessage &Message);

// isUnprovenRefusal() returns true for a status that tells callers that the
// request did not run, without the server's confirmation. Always false in a
// dialect without StatusConfirmsNotRun.
bool isUnprovenRefusal(const AnswerHeader &Head, const HttpDialect &Dialect,
                       const core::ExchangeOutcome &Outcome);

// isSuccess() returns true for a status 2xx.
bool isSuccess(const AnswerHeader &Head);

// isInvalidAnswer() returns true for a 2xx answer that lacks SignatureField or
// has any Content-Encoding: it isn't the answer that the server sent. Always
// false in a dialect without SignatureField.
bool isInvalidAnswer(const AnswerHeader &Head, const HttpDialect &Dialect);

// idleLimitOf() returns how long the connection may be idle and still be
// reused: the server's keep-alive timeout minus a margin, or a default if the
// server doesn't announce one.
std::chrono::milliseconds idleLimitOf(const AnswerHeader &Head);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_BACKEND_ANSWER_H

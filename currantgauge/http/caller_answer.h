// Builds HTTP answers to callers: refusals and backend servers' answers.
//
//   TextResponse Answer = makeRefusal(Refusal, Dialect, KeepAlive);
#ifndef CURRANTGAUGE_HTTP_CALLER_ANSWER_H
#define CURRANTGAUGE_HTTP_CALLER_ANSWER_H

#include "currantgauge/base/verdict.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/http/dialect.h"
#include "currantgauge/runtime/answer_pipe.h"

#include <utility>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace currantgauge::http {

using TextResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
using StreamResponse =
    boost::beast::http::response<boost::beast::http::buffer_body>;

// statusOf() returns the HTTP status of a refusal.
boost::beast::http::status statusOf(base::Reason Reason, base::Verdict Verdict,
                                    const HttpDialect &Dialect);

// makeRefusal() returns the answer to a refused request.
TextResponse makeRefusal(const core::RefuseRequest &Refusal,
                         const HttpDialect &Dialect, bool KeepAlive);

// makeActionIdAnswer() returns the answer to a request for an action id: the
// new id, or a refusal.
TextResponse makeActionIdAnswer(const core::AnswerActionId &ActionIdAnswer,
                                const HttpDialect &Dialect, bool KeepAlive);

// makeBadRequestAnswer() returns the answer to input that is not a valid
// request, with Detail as its message. The connection is closed after it.
TextResponse makeBadRequestAnswer(base::Reason Reason,
                                  const HttpDialect &Dialect,
                                  const std::string &Detail);

// AnswerMetadata is what this node adds to a backend server's answer.
struct AnswerMetadata {
  base::RequestId Request;
  core::DeliverAnswer Delivery;
  bool AddFields = true; // header fields for verdict, request id and server
};

// makeCompleteAnswer() returns a backend server's answer with its whole body.
TextResponse makeCompleteAnswer(const runtime::AnswerHead &Head,
                                std::string Body,
                                const AnswerMetadata &Metadata, bool KeepAlive);

// makeStreamedAnswer() returns the head of a backend server's answer whose body
// is still arriving.
StreamResponse makeStreamedAnswer(const runtime::AnswerHead &Head,
                                  const AnswerMetadata &Metadata,
                                  unsigned Version, bool KeepAlive);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_CALLER_ANSWER_H

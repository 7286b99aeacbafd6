// Answers to callers as HTTP messages: refusals and backend servers' answers.
//
//   auto Message = refusalMessage(Refusal, Wire, KeepAlive);
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
boost::beast::http::status statusOf(base::Reason Why, base::Verdict What,
                                    const HttpDialect &Wire);

// refusalMessage() returns the answer to a refused request.
TextResponse refusalMessage(const core::RefuseRequest &Refusal,
                            const HttpDialect &Wire, bool KeepAlive);

// actionIdMessage() returns a new action id, or why there is none.
TextResponse actionIdMessage(const core::AnswerActionId &Answer,
                             const HttpDialect &Wire, bool KeepAlive);

// badRequestMessage() returns the answer to input that is no request.
TextResponse badRequestMessage(base::Reason Why, const HttpDialect &Wire,
                               const std::string &Detail);

// AnswerMark is what we add to a backend server's answer.
struct AnswerMark {
  base::RequestId Request;
  core::DeliverAnswer Delivery;
  bool Marked = true; // by fields that name verdict, request and server
};

// wholeMessage() returns an answer whose every byte is here.
TextResponse wholeMessage(const runtime::AnswerHead &Head, std::string Body,
                          const AnswerMark &Mark, bool KeepAlive);

// streamMessage() returns the head of an answer that is still arriving.
StreamResponse streamMessage(const runtime::AnswerHead &Head,
                             const AnswerMark &Mark, unsigned Version,
                             bool KeepAlive);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_CALLER_ANSWER_H

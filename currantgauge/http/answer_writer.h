// Writes answers to a caller's connection.
//
//   AnswerOutput Output{Context, Stream, AnswerReady};
//   ErrorCode Error = co_await writeAnswer(Output, *Pending, KeepAlive);
#ifndef CURRANTGAUGE_HTTP_ANSWER_WRITER_H
#define CURRANTGAUGE_HTTP_ANSWER_WRITER_H

#include "currantgauge/http/await.h"
#include "currantgauge/http/caller_session.h"
#include "currantgauge/http/pending_request.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>

namespace currantgauge::http {

// AnswerOutput is the connection that answers are written to. AnswerReady is
// set when parts of an answer have arrived.
struct AnswerOutput {
  CallerContext &Context;
  boost::beast::tcp_stream &Stream;
  AsyncEvent &AnswerReady;
};

// writeAnswer() writes the answer of a request for which hasAnswer() holds.
// Error: that of the write, beast::error::timeout, or
// beast::http::error::partial_message if the rest of a streamed answer doesn't
// come.
boost::asio::awaitable<boost::system::error_code>
writeAnswer(AnswerOutput Output, PendingRequest &Pending, bool KeepAlive);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_ANSWER_WRITER_H

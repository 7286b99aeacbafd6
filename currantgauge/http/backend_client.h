// Exchanges with backend servers over pooled HTTP/1.1 connections. The
// connection of a cancelled exchange is closed and never reused, so that a late
// answer can't reach another caller.
//
//   BackendPool Pool;
//   auto Exchange = startExchange(Pool, Io, std::move(Params), OnEnded);
//   cancelExchange(Exchange, base::Reason::CallerGone);
#ifndef CURRANTGAUGE_HTTP_BACKEND_CLIENT_H
#define CURRANTGAUGE_HTTP_BACKEND_CLIENT_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/request.h"
#include "currantgauge/http/backend_pool.h"
#include "currantgauge/http/dialect.h"
#include "currantgauge/runtime/answer_pipe.h"
#include "currantgauge/runtime/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>

namespace currantgauge::http {

// ExchangeParams are the parameters of startExchange().
struct ExchangeParams {
  base::AttemptId Attempt;
  base::RequestId Request;
  base::NetAddress Address;
  base::Duration TimeLeft;
  bool NewConnection = false; // true: use no pooled connection
  base::Duration MaxIdle; // idle time of a pooled connection; 0: IdleLimit only
  base::BackendName ExpectedServer;     // the server that may run the request
  base::WorkspaceName Workspace;        // of the request; empty: none
  const HttpDialect *Dialect = nullptr; // outlives the exchange
  runtime::RequestMessagePtr Message;
  runtime::AnswerPipePtr Pipe;
};

// BackendExchange is the handle on a running exchange.
struct BackendExchange
    : boost::intrusive_ref_counter<BackendExchange,
                                   boost::thread_safe_counter> {
  boost::asio::io_context *Io = nullptr;
  BackendConnection *Connection = nullptr; // used only on Io's thread
  base::Reason CancelReason = base::Reason::None;
  std::function<void()> WakeWriter; // resumes a wait for room in the pipe
};

using BackendExchangePtr = boost::intrusive_ptr<BackendExchange>;

// startExchange() sends the request and copies the answer into the pipe.
// OnEnded is called once, on Io's thread; the caller pushes the AnswerEnd.
BackendExchangePtr
startExchange(BackendPool &Pool, boost::asio::io_context &Io,
              ExchangeParams Params,
              std::function<void(core::ExchangeOutcome)> OnEnded);

// cancelExchange() aborts an exchange and closes its connection.
void cancelExchange(const BackendExchangePtr &Exchange, base::Reason Reason);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_BACKEND_CLIENT_H

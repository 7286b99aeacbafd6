// Awaiting in coroutines: operations by their error code, and another thread's
// word, without polling: a timer that never fires and is cancelled by the word.
//
//   co_await Socket.async_connect(Endpoint, into(Error));
//   waiter: co_await waitFor(*Signal);
//   other thread: boost::asio::post(Signal->Timer.get_executor(),
//                                   [Signal] { raise(*Signal); });
#ifndef CURRANTGAUGE_HTTP_AWAIT_H
#define CURRANTGAUGE_HTTP_AWAIT_H

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace currantgauge::http {

// into() awaits an operation whose error is kept instead of thrown.
inline auto into(boost::system::error_code &Error) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, Error);
}

// Wake belongs to one io_context thread.
struct Wake {
  boost::asio::steady_timer Timer;
  bool Raised = false;

  explicit Wake(boost::asio::any_io_executor Executor)
      : Timer(std::move(Executor),
              boost::asio::steady_timer::time_point::max()) {}
};

// raise() ends the wait; call it on the thread of the io_context.
inline void raise(Wake &Signal) {
  Signal.Raised = true;
  Signal.Timer.cancel();
}

// waitFor() returns once raise() was called since the last wait.
inline boost::asio::awaitable<void> waitFor(Wake &Signal) {
  boost::system::error_code Ignored;
  while (!Signal.Raised)
    co_await Signal.Timer.async_wait(into(Ignored));
  Signal.Raised = false;
}

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_AWAIT_H

// Helpers for awaiting in coroutines: operations that report errors by code,
// and an event that other threads can trigger. The event is a timer that never
// expires; notify() cancels it, so waiting needs no polling.
//
//   co_await Socket.async_connect(Endpoint, redirectError(Error));
//   waiter: co_await waitFor(*Event);
//   other thread: boost::asio::post(Event->Timer.get_executor(),
//                                   [Event] { notify(*Event); });
#ifndef CURRANTGAUGE_HTTP_AWAIT_H
#define CURRANTGAUGE_HTTP_AWAIT_H

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace currantgauge::http {

// redirectError() returns a completion token that stores the error of an
// awaited operation in Error instead of throwing it.
inline auto redirectError(boost::system::error_code &Error) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, Error);
}

// AsyncEvent is an auto-reset event, accessed only on one io_context thread.
struct AsyncEvent {
  boost::asio::steady_timer Timer;
  bool Signalled = false;

  explicit AsyncEvent(boost::asio::any_io_executor Executor)
      : Timer(std::move(Executor),
              boost::asio::steady_timer::time_point::max()) {}
};

// notify() sets the event and wakes its waiter; call it on the thread of the
// io_context.
inline void notify(AsyncEvent &Event) {
  Event.Signalled = true;
  Event.Timer.cancel();
}

// waitFor() returns once the event is set, at once if it already is, and resets
// it.
inline boost::asio::awaitable<void> waitFor(AsyncEvent &Event) {
  boost::system::error_code Ignored;
  while (!Event.Signalled)
    co_await Event.Timer.async_wait(redirectError(Ignored));
  Event.Signalled = false;
}

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_AWAIT_H

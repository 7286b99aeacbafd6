#include "currantgauge/runtime/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace currantgauge::runtime {
namespace {

// A failure leaves the option unset: only the timeout of a call then shows a
// lost connection, and a socket that is closed fails its next use.
void setOption(boost::asio::ip::tcp::socket &Socket, int Level, int Name,
               int Value) {
  (void)::setsockopt(Socket.native_handle(), Level, Name, &Value,
                     sizeof(Value));
}

} // namespace

void setTcpOptions(boost::asio::ip::tcp::socket &Socket,
                   std::chrono::milliseconds UserTimeout) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(UserTimeout.count()));
}

void probeWhenIdle(boost::asio::ip::tcp::socket &Socket,
                   std::chrono::seconds Interval) {
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(Interval.count()));
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(Interval.count()));
}

} // namespace currantgauge::runtime

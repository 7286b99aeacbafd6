// Options of connections to backend servers and to the store.
//
//   setTcpOptions(Stream.socket(), std::chrono::milliseconds(5000));
#ifndef CURRANTGAUGE_RUNTIME_TCP_OPTIONS_H
#define CURRANTGAUGE_RUNTIME_TCP_OPTIONS_H

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace currantgauge::runtime {

// setTcpOptions() sends without delay and ends the connection when data was
// sent and not acknowledged for UserTimeout. A socket that is closed is left as
// it is.
void setTcpOptions(boost::asio::ip::tcp::socket &Socket,
                   std::chrono::milliseconds UserTimeout);

// probeWhenIdle() makes the kernel probe an idle connection at this interval;
// UserTimeout applies to the probes as well.
void probeWhenIdle(boost::asio::ip::tcp::socket &Socket,
                   std::chrono::seconds Interval);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_TCP_OPTIONS_H

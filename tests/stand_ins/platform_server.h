// Serves a Platform over HTTP on loopback.
//
//   Platform Service;
//   unsigned short Port = servePlatform(Io, Service, 0);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_SERVER_H
#define CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_SERVER_H

#include "tests/stand_ins/platform.h"

#include <boost/asio/io_context.hpp>

namespace currantgauge::stand_ins {

// servePlatform() listens on 127.0.0.1 and returns the port; Port 0 takes any
// free one. Io must be run by one thread. Throws boost::system::system_error
// when the port is taken.
unsigned short servePlatform(boost::asio::io_context &Io,
                             PlatformState &Platform, unsigned short Port);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_SERVER_H

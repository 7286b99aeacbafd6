// Serves the platform stand-in over HTTP on loopback.
//
//   PlatformState Platform;
//   unsigned short Port = servePlatform(Io, Platform, 0);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_SERVER_H
#define CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_SERVER_H

#include "tests/stand_ins/platform.h"

#include <boost/asio/io_context.hpp>

namespace currantgauge::stand_ins {

// servePlatform() listens on 127.0.0.1 and returns the port. Port 0 picks a
// free port. Io must be run by one thread. Throws boost::system::system_error
// if the port is in use.
unsigned short servePlatform(boost::asio::io_context &Io,
                             PlatformState &Platform, unsigned short Port);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_SERVER_H

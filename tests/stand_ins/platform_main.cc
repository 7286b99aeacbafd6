// Runs the platform stand-in as a process. It prints {"port": N} and serves
// until it is killed.
//
//   platform --port=0
#include "tests/stand_ins/platform_server.h"

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <iostream>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0: any free port");
DEFINE_bool(tables, false, "use the table protocol of the machines' platform");

int main(int Argc, char **Argv) {
  using namespace currantgauge::stand_ins;
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::asio::io_context Io;
  PlatformState Platform;
  Platform.UsesTableProtocol = FLAGS_tables;
  unsigned short Port =
      servePlatform(Io, Platform, static_cast<unsigned short>(FLAGS_port));
  std::cout << nlohmann::json{{"port", Port}} << std::endl;
  Io.run();
}

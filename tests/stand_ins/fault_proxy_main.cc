// Runs the fault proxy as a process. It prints {"routes": [PORT...]}, then
// replies to each line of JSON on its standard input (see controlProxy()) with
// a line on its standard output, and exits when its input is closed.
//
//   fault_proxy --route=0:7000,0:127.0.0.9:7001
#include "tests/stand_ins/fault_proxy.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <iostream>
#include <sstream>
#include <string>

DEFINE_string(route, "",
              "LISTENPORT:[IP:]TARGETPORT,...; port 0: any free port");

namespace currantgauge::stand_ins {
namespace {

namespace asio = boost::asio;

asio::awaitable<void> readCommands(asio::io_context &Io, FaultProxy &Proxy) {
  asio::posix::stream_descriptor Input(Io, ::dup(STDIN_FILENO));
  std::string Text;
  try {
    for (;;) {
      std::size_t Size = co_await asio::async_read_until(
          Input, asio::dynamic_buffer(Text), '\n', asio::use_awaitable);
      std::cout << controlProxy(Io, Proxy, Text.substr(0, Size)) << std::endl;
      Text.erase(0, Size);
    }
  } catch (const boost::system::system_error &) {
    Io.stop();
  }
}

void addRoutes(asio::io_context &Io, FaultProxy &Proxy) {
  std::istringstream Items(FLAGS_route);
  for (std::string Item; std::getline(Items, Item, ',');) {
    std::size_t Colon = Item.find(':');
    addRoute(Io, Proxy,
             static_cast<unsigned short>(std::stoi(Item.substr(0, Colon))),
             parseEndpoint(Item.substr(Colon + 1)));
  }
  nlohmann::json Ports = nlohmann::json::array();
  for (const auto &Added : Proxy.Routes)
    Ports.push_back(Added->Port);
  std::cout << nlohmann::json{{"routes", Ports}} << std::endl;
}

} // namespace
} // namespace currantgauge::stand_ins

int main(int Argc, char **Argv) {
  using namespace currantgauge::stand_ins;
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::asio::io_context Io;
  FaultProxy Proxy;
  addRoutes(Io, Proxy);
  boost::asio::co_spawn(Io, readCommands(Io, Proxy), boost::asio::detached);
  Io.run();
}

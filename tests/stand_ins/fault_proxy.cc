#include "tests/stand_ins/fault_proxy.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <utility>

namespace currantgauge::stand_ins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using ConnectionPtr = std::shared_ptr<ProxiedConnection>;

constexpr std::size_t ChunkBytes = 16 * 1024;

enum class FlowDirection { ToTarget, ToClient };

void reset(tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

asio::awaitable<void> pause(std::uint32_t Millis) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(std::chrono::milliseconds(Millis));
  co_await Timer.async_wait(asio::use_awaitable);
}

// Returns whether to drop data in this direction. A direction that has dropped
// data keeps doing so.
bool shouldDrop(const ProxyRoute &Route, ProxiedConnection &Connection,
                FlowDirection Direction) {
  bool &Silent = Direction == FlowDirection::ToTarget
                     ? Connection.SilentToTarget
                     : Connection.SilentToClient;
  bool Drops = Direction == FlowDirection::ToTarget ? Route.Faults.DropToTarget
                                                    : Route.Faults.DropToClient;
  Silent = Silent || (Drops && !Connection.Exempt);
  return Silent;
}

// Returns how many bytes of a chunk to forward. When CutAfter bytes have been
// forwarded, sets Cut and turns the fault off.
std::size_t applyCut(RouteFaults &Faults, std::size_t Size, bool &Cut) {
  if (Faults.CutAfter < 0)
    return Size;
  std::size_t Passing =
      std::min(Size, static_cast<std::size_t>(Faults.CutAfter));
  Faults.CutAfter -= static_cast<std::int64_t>(Passing);
  Cut = Faults.CutAfter == 0;
  if (Cut)
    Faults.CutAfter = -1;
  return Passing;
}

asio::awaitable<void> pump(ProxyRoute &Route, ConnectionPtr Connection,
                           FlowDirection Direction) {
  tcp::socket &From = Direction == FlowDirection::ToTarget ? Connection->Client
                                                           : Connection->Target;
  tcp::socket &To = Direction == FlowDirection::ToTarget ? Connection->Target
                                                         : Connection->Client;
  std::array<char, ChunkBytes> Chunk;
  try {
    for (;;) {
      std::size_t Size = co_await From.async_read_some(asio::buffer(Chunk),
                                                       asio::use_awaitable);
      if (Route.Faults.DelayMillis > 0 && !Connection->Exempt)
        co_await pause(Route.Faults.DelayMillis);
      if (shouldDrop(Route, *Connection, Direction))
        continue;
      bool Cut = false;
      if (Direction == FlowDirection::ToClient)
        Size = applyCut(Route.Faults, Size, Cut);
      co_await asio::async_write(To, asio::buffer(Chunk, Size),
                                 asio::use_awaitable);
      if (Cut)
        break;
    }
  } catch (const boost::system::system_error &) {
    // One end closed its connection. The other end is closed below.
  }
  if (shouldDrop(Route, *Connection, Direction))
    co_return;
  boost::system::error_code Ignored;
  Connection->Client.close(Ignored);
  Connection->Target.close(Ignored);
}

asio::awaitable<void> relay(ProxyRoute &Route, ConnectionPtr Connection) {
  try {
    co_await Connection->Target.async_connect(Route.Target,
                                              asio::use_awaitable);
  } catch (const boost::system::system_error &) {
    reset(Connection->Client);
    co_return;
  }
  Connection->Client.set_option(tcp::no_delay(true));
  Connection->Target.set_option(tcp::no_delay(true));
  auto Executor = co_await asio::this_coro::executor;
  asio::co_spawn(Executor, pump(Route, Connection, FlowDirection::ToClient),
                 asio::detached);
  co_await pump(Route, Connection, FlowDirection::ToTarget);
}

asio::awaitable<void> accept(ProxyRoute &Route) {
  try {
    for (;;) {
      tcp::socket Socket =
          co_await Route.Acceptor.async_accept(asio::use_awaitable);
      ++Route.Accepted;
      auto Connection = std::make_shared<ProxiedConnection>(std::move(Socket));
      Route.Connections.remove_if(
          [](const std::weak_ptr<ProxiedConnection> &Old) {
            return Old.expired();
          });
      Route.Connections.push_back(Connection);
      asio::co_spawn(Route.Acceptor.get_executor(), relay(Route, Connection),
                     asio::detached);
    }
  } catch (const boost::system::system_error &) {
    // The Refuse fault closed the listener.
  }
}

void listen(ProxyRoute &Route) {
  tcp::endpoint Local(asio::ip::address_v4::loopback(), Route.Port);
  Route.Acceptor.open(Local.protocol());
  Route.Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Route.Acceptor.bind(Local);
  Route.Acceptor.listen();
  Route.Port = Route.Acceptor.local_endpoint().port();
  asio::co_spawn(Route.Acceptor.get_executor(), accept(Route), asio::detached);
}

std::vector<ConnectionPtr> openConnections(const ProxyRoute &Route) {
  std::vector<ConnectionPtr> OpenConnections;
  for (const std::weak_ptr<ProxiedConnection> &Weak : Route.Connections)
    if (ConnectionPtr Connection = Weak.lock();
        Connection && Connection->Client.is_open())
      OpenConnections.push_back(Connection);
  return OpenConnections;
}

RouteFaults parseFaults(const json &Command) {
  RouteFaults Faults;
  Faults.DelayMillis = Command.value("delay_ms", 0U);
  Faults.DropToTarget = Command.value("drop_to_target", false);
  Faults.DropToClient = Command.value("drop_to_client", false);
  Faults.Refuse = Command.value("refuse", false);
  Faults.CutAfter = Command.value("cut_after", std::int64_t{-1});
  return Faults;
}

json applyCommand(asio::io_context &Io, FaultProxy &Proxy,
                  const json &Command) {
  if (Command.contains("add")) {
    ProxyRoute &Added =
        addRoute(Io, Proxy, 0, parseEndpoint(Command.at("add")));
    return {{"route", Proxy.Routes.size() - 1}, {"port", Added.Port}};
  }
  ProxyRoute &Route = *Proxy.Routes.at(Command.at("route").get<std::size_t>());
  json Reply = {{"port", Route.Port}, {"accepted", Route.Accepted}};
  if (Command.contains("spare_later"))
    Reply["spared"] = exemptLaterConnections(Route, Command.at("spare_later"));
  else if (Command.value("silence_open", false))
    silenceOpenConnections(Route);
  else if (Command.value("reset_open", false))
    resetOpenConnections(Route);
  else if (!Command.value("ask", false))
    setFaults(Route, parseFaults(Command));
  Reply["open"] = openConnections(Route).size();
  return Reply;
}

} // namespace

ProxiedConnection::ProxiedConnection(tcp::socket Socket)
    : Client(std::move(Socket)), Target(this->Client.get_executor()) {}

tcp::endpoint parseEndpoint(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return {asio::ip::address_v4::loopback(),
            static_cast<unsigned short>(std::stoi(Text))};
  return {asio::ip::make_address(Text.substr(0, Colon)),
          static_cast<unsigned short>(std::stoi(Text.substr(Colon + 1)))};
}

ProxyRoute &addRoute(asio::io_context &Io, FaultProxy &Proxy,
                     unsigned short Port, const tcp::endpoint &Target) {
  Proxy.Routes.push_back(std::make_unique<ProxyRoute>(Io));
  ProxyRoute &Added = *Proxy.Routes.back();
  Added.Port = Port;
  Added.Target = Target;
  listen(Added);
  return Added;
}

void setFaults(ProxyRoute &Route, const RouteFaults &Faults) {
  if (Faults.Refuse && Route.Acceptor.is_open())
    Route.Acceptor.close();
  if (!Faults.Refuse && !Route.Acceptor.is_open())
    listen(Route);
  Route.Faults = Faults;
}

std::size_t exemptLaterConnections(ProxyRoute &Route, std::size_t Count) {
  std::vector<ConnectionPtr> OpenConnections = openConnections(Route);
  for (std::size_t I = Count; I < OpenConnections.size(); ++I)
    OpenConnections[I]->Exempt = true;
  return OpenConnections.size() - std::min(OpenConnections.size(), Count);
}

void silenceOpenConnections(ProxyRoute &Route) {
  for (const ConnectionPtr &Connection : openConnections(Route)) {
    Connection->SilentToTarget = true;
    Connection->SilentToClient = true;
  }
}

void resetOpenConnections(ProxyRoute &Route) {
  for (const ConnectionPtr &Connection : openConnections(Route)) {
    reset(Connection->Client);
    reset(Connection->Target);
  }
}

std::string controlProxy(asio::io_context &Io, FaultProxy &Proxy,
                         const std::string &Line) {
  try {
    return applyCommand(Io, Proxy, json::parse(Line)).dump();
  } catch (const std::exception &Error) {
    return json{{"error", Error.what()}}.dump();
  }
}

} // namespace currantgauge::stand_ins

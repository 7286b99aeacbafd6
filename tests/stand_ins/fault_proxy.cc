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
using LinkPtr = std::shared_ptr<ProxiedConnection>;

constexpr std::size_t ChunkBytes = 16 * 1024;

enum class Way { ToTarget, ToClient };

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

bool vanishes(const ProxyRoute &Where, ProxiedConnection &Open, Way Direction) {
  bool &Loses =
      Direction == Way::ToTarget ? Open.SilentToTarget : Open.SilentToClient;
  bool Drops = Direction == Way::ToTarget ? Where.Faults.DropToTarget
                                          : Where.Faults.DropToClient;
  Loses = Loses || (Drops && !Open.Exempt);
  return Loses;
}

// takeCut() returns how much of a chunk passes and ends the fault when it has
// struck.
std::size_t takeCut(RouteFaults &Faults, std::size_t Size, bool &Cut) {
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

asio::awaitable<void> pump(ProxyRoute &Where, LinkPtr Open, Way Direction) {
  tcp::socket &From = Direction == Way::ToTarget ? Open->Client : Open->Target;
  tcp::socket &To = Direction == Way::ToTarget ? Open->Target : Open->Client;
  std::array<char, ChunkBytes> Chunk;
  try {
    for (;;) {
      std::size_t Size = co_await From.async_read_some(asio::buffer(Chunk),
                                                       asio::use_awaitable);
      if (Where.Faults.DelayMillis > 0 && !Open->Exempt)
        co_await pause(Where.Faults.DelayMillis);
      if (vanishes(Where, *Open, Direction))
        continue;
      bool Cut = false;
      if (Direction == Way::ToClient)
        Size = takeCut(Where.Faults, Size, Cut);
      co_await asio::async_write(To, asio::buffer(Chunk, Size),
                                 asio::use_awaitable);
      if (Cut)
        break;
    }
  } catch (const boost::system::system_error &) {
    // One end closed: pass that on below.
  }
  if (vanishes(Where, *Open, Direction))
    co_return;
  boost::system::error_code Ignored;
  Open->Client.close(Ignored);
  Open->Target.close(Ignored);
}

asio::awaitable<void> relay(ProxyRoute &Where, LinkPtr Open) {
  try {
    co_await Open->Target.async_connect(Where.Target, asio::use_awaitable);
  } catch (const boost::system::system_error &) {
    reset(Open->Client);
    co_return;
  }
  Open->Client.set_option(tcp::no_delay(true));
  Open->Target.set_option(tcp::no_delay(true));
  auto Executor = co_await asio::this_coro::executor;
  asio::co_spawn(Executor, pump(Where, Open, Way::ToClient), asio::detached);
  co_await pump(Where, Open, Way::ToTarget);
}

asio::awaitable<void> accept(ProxyRoute &Where) {
  try {
    for (;;) {
      tcp::socket Socket =
          co_await Where.Acceptor.async_accept(asio::use_awaitable);
      ++Where.Accepted;
      auto Open = std::make_shared<ProxiedConnection>(std::move(Socket));
      Where.Connections.remove_if(
          [](const std::weak_ptr<ProxiedConnection> &Old) {
            return Old.expired();
          });
      Where.Connections.push_back(Open);
      asio::co_spawn(Where.Acceptor.get_executor(), relay(Where, Open),
                     asio::detached);
    }
  } catch (const boost::system::system_error &) {
    // The listener was closed by the fault Refuse.
  }
}

void listen(ProxyRoute &Where) {
  tcp::endpoint Local(asio::ip::address_v4::loopback(), Where.Port);
  Where.Acceptor.open(Local.protocol());
  Where.Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Where.Acceptor.bind(Local);
  Where.Acceptor.listen();
  Where.Port = Where.Acceptor.local_endpoint().port();
  asio::co_spawn(Where.Acceptor.get_executor(), accept(Where), asio::detached);
}

std::vector<LinkPtr> openLinks(const ProxyRoute &Where) {
  std::vector<LinkPtr> Open;
  for (const std::weak_ptr<ProxiedConnection> &Weak : Where.Connections)
    if (LinkPtr Each = Weak.lock(); Each && Each->Client.is_open())
      Open.push_back(Each);
  return Open;
}

RouteFaults faultsOf(const json &Order) {
  RouteFaults Faults;
  Faults.DelayMillis = Order.value("delay_ms", 0U);
  Faults.DropToTarget = Order.value("drop_to_target", false);
  Faults.DropToClient = Order.value("drop_to_client", false);
  Faults.Refuse = Order.value("refuse", false);
  Faults.CutAfter = Order.value("cut_after", std::int64_t{-1});
  return Faults;
}

json apply(asio::io_context &Io, FaultProxy &Proxy, const json &Order) {
  if (Order.contains("add")) {
    ProxyRoute &Added = addRoute(Io, Proxy, 0, parseEndpoint(Order.at("add")));
    return {{"route", Proxy.Routes.size() - 1}, {"port", Added.Port}};
  }
  ProxyRoute &Where = *Proxy.Routes.at(Order.at("route").get<std::size_t>());
  json Answer = {{"port", Where.Port}, {"accepted", Where.Accepted}};
  if (Order.contains("spare_later"))
    Answer["spared"] = exemptLaterConnections(Where, Order.at("spare_later"));
  else if (Order.value("silence_open", false))
    silenceOpenConnections(Where);
  else if (Order.value("reset_open", false))
    resetOpenConnections(Where);
  else if (!Order.value("ask", false))
    setFaults(Where, faultsOf(Order));
  Answer["open"] = openLinks(Where).size();
  return Answer;
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

void setFaults(ProxyRoute &Where, const RouteFaults &Faults) {
  if (Faults.Refuse && Where.Acceptor.is_open())
    Where.Acceptor.close();
  if (!Faults.Refuse && !Where.Acceptor.is_open())
    listen(Where);
  Where.Faults = Faults;
}

std::size_t exemptLaterConnections(ProxyRoute &Where, std::size_t Count) {
  std::vector<LinkPtr> Open = openLinks(Where);
  for (std::size_t I = Count; I < Open.size(); ++I)
    Open[I]->Exempt = true;
  return Open.size() - std::min(Open.size(), Count);
}

void silenceOpenConnections(ProxyRoute &Where) {
  for (const LinkPtr &Open : openLinks(Where)) {
    Open->SilentToTarget = true;
    Open->SilentToClient = true;
  }
}

void resetOpenConnections(ProxyRoute &Where) {
  for (const LinkPtr &Open : openLinks(Where)) {
    reset(Open->Client);
    reset(Open->Target);
  }
}

std::string controlProxy(asio::io_context &Io, FaultProxy &Proxy,
                         const std::string &Line) {
  try {
    return apply(Io, Proxy, json::parse(Line)).dump();
  } catch (const std::exception &Error) {
    return json{{"error", Error.what()}}.dump();
  }
}

} // namespace currantgauge::stand_ins

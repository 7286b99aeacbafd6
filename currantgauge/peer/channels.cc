#include "currantgauge/peer/channels.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

namespace currantgauge::peer::detail {
namespace {

constexpr int MaxMessageBytes = 80 * 1024 * 1024;
constexpr int KeepaliveMillis = 2000;
constexpr int KeepaliveTimeoutMillis = 2000;
constexpr int InitialReconnectMillis = 100;
constexpr int MaxReconnectMillis = 1000;

// Channels don't share connections, so that another channel to the same address
// opens a new connection.
ChannelPtr openChannel(const base::NetAddress &Address) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMillis);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMillis);
  Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   InitialReconnectMillis);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MaxReconnectMillis);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMillis);
  // Messages are far smaller than the flow-control windows that bandwidth
  // probes would enlarge.
  Arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
  auto NewChannel = std::make_shared<Channel>();
  NewChannel->Connection = grpc::CreateCustomChannel(
      Address.Value, grpc::InsecureChannelCredentials(), Arguments);
  NewChannel->Stub = v1::Peer::NewStub(NewChannel->Connection);
  return NewChannel;
}

} // namespace

ChannelPtr channelTo(Channels &Open, const base::NetAddress &Address) {
  std::lock_guard<std::mutex> Guard(Open.Lock);
  ChannelPtr &Result = Open.ByAddress[Address];
  if (!Result)
    Result = openChannel(Address);
  return Result;
}

// A channel that isn't in state READY is kept, as it reconnects by itself.
void replaceChannel(Channels &Open, const base::NetAddress &Address,
                    const ChannelPtr &Unresponsive) {
  if (Unresponsive->Connection->GetState(false) != GRPC_CHANNEL_READY)
    return;
  std::lock_guard<std::mutex> Guard(Open.Lock);
  ChannelPtr &Current = Open.ByAddress[Address];
  if (Current == Unresponsive)
    Current = openChannel(Address);
}

// gRPC takes wall-clock deadlines and converts them to durations at once, so
// that later steps of the clock have no effect.
std::chrono::system_clock::time_point deadlineAfter(base::Duration Delay) {
  return std::chrono::system_clock::now() +
         std::chrono::microseconds(Delay.Micros);
}

} // namespace currantgauge::peer::detail

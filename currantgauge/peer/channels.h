// The connections to other nodes: one gRPC channel per address, with keepalive.
//
//   ChannelPtr Used = channelTo(Channels, Address);
//   if (TimedOut) replaceChannel(Channels, Address, Used);
#ifndef CURRANTGAUGE_PEER_CHANNELS_H
#define CURRANTGAUGE_PEER_CHANNELS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/peer/generated/peer.grpc.pb.h"

#include <grpcpp/channel.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>

namespace currantgauge::peer::detail {

struct Channel {
  std::shared_ptr<grpc::Channel> Connection;
  std::unique_ptr<v1::Peer::Stub> Stub;
};

using ChannelPtr = std::shared_ptr<Channel>;

// Channels is thread-safe.
struct Channels {
  std::mutex Lock;
  std::map<base::NetAddress, ChannelPtr> ByAddress;
};

// channelTo() returns the channel to an address, which it opens if necessary.
ChannelPtr channelTo(Channels &Open, const base::NetAddress &Address);

// replaceChannel() makes later calls use a new connection; calls in flight keep
// the old one. No effect if another call has already replaced it.
void replaceChannel(Channels &Open, const base::NetAddress &Address,
                    const ChannelPtr &Unresponsive);

// deadlineAfter() returns the deadline of a call that starts now.
std::chrono::system_clock::time_point deadlineAfter(base::Duration Delay);

} // namespace currantgauge::peer::detail

#endif // CURRANTGAUGE_PEER_CHANNELS_H

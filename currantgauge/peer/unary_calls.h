// Calls to other nodes that are answered by one message. A call that isn't
// answered in time is repeated once, on a new connection, as its own may have
// gone silent.
//
//   deliver(Client, Address, Message, [](bool Done) {});
#ifndef CURRANTGAUGE_PEER_UNARY_CALLS_H
#define CURRANTGAUGE_PEER_UNARY_CALLS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/config/delta.h"
#include "currantgauge/membership/message.h"
#include "currantgauge/peer/client.h"

#include <functional>
#include <optional>

namespace currantgauge::peer {

// deliver() sends a message, which may arrive twice; Callback receives false if
// that failed.
void deliver(PeerClient &Client, const base::NetAddress &Address,
             const membership::PeerMessage &Message,
             std::function<void(bool)> Callback);

// fetchConfig() fetches the changes of a node's configuration since
// KnownVersion, as config::deltaSince() returns them there; Callback receives
// nothing on failure or if the node has no configuration.
void fetchConfig(
    PeerClient &Client, const base::NetAddress &Address,
    base::ConfigVersion KnownVersion,
    std::function<void(std::optional<config::ConfigDelta>)> Callback);

} // namespace currantgauge::peer

#endif // CURRANTGAUGE_PEER_UNARY_CALLS_H

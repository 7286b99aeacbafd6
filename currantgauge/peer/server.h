// gRPC server for calls of other nodes. Handlers run on gRPC's threads and must
// not block; longer work belongs on other threads.
//
//   std::error_code Error;
//   auto Server = startPeerServer(Address, Handlers, Error);
#ifndef CURRANTGAUGE_PEER_SERVER_H
#define CURRANTGAUGE_PEER_SERVER_H

#include "currantgauge/base/ids.h"
#include "currantgauge/config/delta.h"
#include "currantgauge/core/request.h"
#include "currantgauge/membership/message.h"
#include "currantgauge/runtime/answer_pipe.h"
#include "currantgauge/runtime/message.h"

#include <functional>
#include <memory>
#include <optional>
#include <system_error>

namespace currantgauge::peer {

// PeerHandlers are the functions that handle the calls. FetchConfig returns
// none if this node has no configuration.
struct PeerHandlers {
  std::function<void(membership::PeerMessage)> Deliver;
  std::function<void(core::AttemptFacts, runtime::RequestMessagePtr,
                     runtime::AnswerPipePtr)>
      Forward;
  // Of the bodies of requests and of answers; null: unlimited. They outlive the
  // server.
  runtime::MemoryBudget *BodyMemory = nullptr;
  runtime::MemoryBudget *AnswerMemory = nullptr;
  std::function<std::optional<config::ConfigDelta>(
      base::ConfigVersion KnownVersion)>
      FetchConfig;
};

namespace detail {
struct PeerService;
} // namespace detail

// PeerServer is a running server. It stops when it is destroyed.
struct PeerServer {
  PeerServer();
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  std::unique_ptr<detail::PeerService> Service;
};

// startPeerServer() starts a server on an address. If it can't be started, for
// whatever cause, returns null and sets Error to address_in_use.
std::unique_ptr<PeerServer> startPeerServer(const base::NetAddress &Address,
                                            PeerHandlers Handlers,
                                            std::error_code &Error);

// stopPeerServer() stops the server and cancels calls that are still open after
// Timeout.
void stopPeerServer(PeerServer &Server, base::Duration Timeout);

} // namespace currantgauge::peer

#endif // CURRANTGAUGE_PEER_SERVER_H

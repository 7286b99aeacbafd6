// gRPC client that forwards attempts to their owners; see unary_calls.h for
// other calls to nodes.
//
//   PeerClient Client;
//   forward(Client, Address, Facts, Message, Pipe);
#ifndef CURRANTGAUGE_PEER_CLIENT_H
#define CURRANTGAUGE_PEER_CLIENT_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/request.h"
#include "currantgauge/runtime/answer_pipe.h"
#include "currantgauge/runtime/message.h"

#include <memory>

namespace currantgauge::peer {

namespace detail {
struct Channels;
struct AckQueue;
} // namespace detail

// PeerClient holds the channels and the calls in flight. It is thread-safe.
struct PeerClient {
  PeerClient();
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  std::unique_ptr<detail::Channels> Channels;
  std::unique_ptr<detail::AckQueue> Acks;
};

// forward() sends an attempt to the owner of its backend server. The pipe
// receives the answer and always an AnswerEnd: PeerUnavailable (not run) if the
// request was not sent, PeerLost (may have run) if the owner's end is missing.
void forward(PeerClient &Client, const base::NetAddress &Address,
             const core::AttemptFacts &Facts,
             runtime::RequestMessagePtr Message, runtime::AnswerPipePtr Pipe);

} // namespace currantgauge::peer

#endif // CURRANTGAUGE_PEER_CLIENT_H

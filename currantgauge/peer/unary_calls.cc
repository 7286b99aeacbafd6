#include "currantgauge/peer/unary_calls.h"

#include "currantgauge/peer/channels.h"
#include "currantgauge/peer/codec.h"
#include "currantgauge/peer/generated/peer.grpc.pb.h"
#include "currantgauge/runtime/tsan_annotations.h"

#include <grpcpp/client_context.h>

#include <array>
#include <cstddef>
#include <memory>
#include <utility>

namespace currantgauge::peer {
namespace {

// Timeouts of the tries of a call. A round trip between regions takes 16 ms; a
// configuration of several MB takes seconds.
using TryTimeouts = std::array<base::Duration, 2>;
constexpr TryTimeouts DeliverTimeouts = {base::milliseconds(500),
                                         base::milliseconds(500)};
constexpr TryTimeouts FetchTimeouts = {base::seconds(1), base::seconds(5)};

// UnaryCall is what the tries of a call have in common.
template <typename RequestType, typename ReplyType> struct UnaryCall {
  using Reply = ReplyType;

  RequestType Request;
  TryTimeouts Timeouts;
  void (*Start)(v1::Peer::Stub &Stub, grpc::ClientContext &Context,
                const RequestType &Request, ReplyType &Reply,
                grpc::ClientUnaryReactor &Reactor);
  std::function<void(const grpc::Status &, const ReplyType &)> OnDone;
};

template <typename Call>
void startTry(PeerClient &Client, const base::NetAddress &Address,
              Call Described, std::size_t Number);

// UnaryTry is one try of a call. It deletes itself in OnDone().
template <typename Call> struct UnaryTry : grpc::ClientUnaryReactor {
  PeerClient &Client;
  base::NetAddress Address;
  detail::ChannelPtr Used;
  Call Described;
  std::size_t Number;
  grpc::ClientContext Context;
  typename Call::Reply Reply;

  UnaryTry(PeerClient &Client, const base::NetAddress &Address, Call Described,
           std::size_t Number)
      : Client(Client), Address(Address),
        Used(detail::channelTo(*Client.Channels, Address)),
        Described(std::move(Described)), Number(Number) {}

  void OnDone(const grpc::Status &Status) override {
    runtime::annotateAcquire(this);
    std::unique_ptr<UnaryTry> Self(this);
    if (Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
      detail::replaceChannel(*this->Client.Channels, this->Address, this->Used);
      if (this->Number + 1 < this->Described.Timeouts.size())
        return startTry(this->Client, this->Address, std::move(this->Described),
                        this->Number + 1);
    }
    this->Described.OnDone(Status, this->Reply);
  }
};

template <typename Call>
void startTry(PeerClient &Client, const base::NetAddress &Address,
              Call Described, std::size_t Number) {
  auto *Try = new UnaryTry<Call>(Client, Address, std::move(Described), Number);
  Try->Context.set_deadline(
      detail::deadlineAfter(Try->Described.Timeouts[Number]));
  Try->Described.Start(*Try->Used->Stub, Try->Context, Try->Described.Request,
                       Try->Reply, *Try);
  runtime::annotateRelease(Try);
  Try->StartCall();
}

} // namespace

void deliver(PeerClient &Client, const base::NetAddress &Address,
             const membership::PeerMessage &Message,
             std::function<void(bool)> Callback) {
  UnaryCall<v1::PeerMessage, v1::DeliverReply> Call;
  toWire(Message, Call.Request);
  Call.Timeouts = DeliverTimeouts;
  Call.Start = [](v1::Peer::Stub &Stub, grpc::ClientContext &Context,
                  const v1::PeerMessage &Request, v1::DeliverReply &Reply,
                  grpc::ClientUnaryReactor &Reactor) {
    // Records repeat names and addresses. gRPC sends a message uncompressed if
    // that is smaller.
    Context.set_compression_algorithm(GRPC_COMPRESS_DEFLATE);
    Stub.async()->Deliver(&Context, &Request, &Reply, &Reactor);
  };
  Call.OnDone = [Callback = std::move(Callback)](const grpc::Status &Status,
                                                 const v1::DeliverReply &) {
    Callback(Status.ok());
  };
  startTry(Client, Address, std::move(Call), 0);
}

void fetchConfig(
    PeerClient &Client, const base::NetAddress &Address,
    base::ConfigVersion KnownVersion,
    std::function<void(std::optional<config::ConfigDelta>)> Callback) {
  UnaryCall<v1::FetchConfigRequest, v1::FetchConfigReply> Call;
  Call.Request.set_have(KnownVersion.Value);
  Call.Timeouts = FetchTimeouts;
  Call.Start = [](v1::Peer::Stub &Stub, grpc::ClientContext &Context,
                  const v1::FetchConfigRequest &Request,
                  v1::FetchConfigReply &Reply,
                  grpc::ClientUnaryReactor &Reactor) {
    Stub.async()->FetchConfig(&Context, &Request, &Reply, &Reactor);
  };
  Call.OnDone = [Callback =
                     std::move(Callback)](const grpc::Status &Status,
                                          const v1::FetchConfigReply &Reply) {
    config::ConfigDelta Delta;
    bool Success =
        Status.ok() && Reply.found() && fromWire(Reply.delta(), Delta);
    Callback(Success ? std::optional(std::move(Delta)) : std::nullopt);
  };
  startTry(Client, Address, std::move(Call), 0);
}

} // namespace currantgauge::peer

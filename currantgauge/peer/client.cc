#include "currantgauge/peer/client.h"

#include "currantgauge/peer/answer_codec.h"
#include "currantgauge/peer/codec.h"
#include "currantgauge/peer/generated/peer.grpc.pb.h"
#include "currantgauge/runtime/tsan_annotations.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <grpcpp/alarm.h>
#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::peer {
namespace {

constexpr int MaxMessageBytes = 80 * 1024 * 1024;
// Size of the parts in which the body of a request is sent, so that at most one
// part is copied at a time.
constexpr std::size_t BodyPartBytes = 256 * 1024;
constexpr int KeepaliveMillis = 2000;
constexpr int KeepaliveTimeoutMillis = 2000;
constexpr int InitialReconnectMillis = 100;
constexpr int MaxReconnectMillis = 1000;
// A call that isn't answered in time is repeated once, on a new connection, as
// its own may have gone silent. A round trip between regions takes 16 ms.
constexpr base::Duration DeliverTimeout = base::milliseconds(500);
constexpr base::Duration FirstFetchTimeout = base::seconds(1);
constexpr base::Duration FetchTimeout = base::seconds(5);
// Time within which the owner must acknowledge a call, before the request is
// sent to it; otherwise the connection counts as unresponsive. A round trip
// between regions takes 16 ms.
constexpr base::Duration AckTimeout = base::milliseconds(150);
// The owner ends an attempt at its deadline. The call's own deadline is later
// by this time and only takes effect if the owner is gone.
constexpr base::Duration ForwardGracePeriod = base::milliseconds(200);

// gRPC takes wall-clock deadlines and converts them to durations at once, so
// that later steps of the clock have no effect.
std::chrono::system_clock::time_point deadlineAfter(base::Duration Delay) {
  return std::chrono::system_clock::now() +
         std::chrono::microseconds(Delay.Micros);
}

struct Channel {
  std::shared_ptr<grpc::Channel> Connection;
  std::unique_ptr<v1::Peer::Stub> Stub;
};

using ChannelPtr = std::shared_ptr<Channel>;

runtime::AnswerEnd makeEnd(base::Verdict Verdict, base::Reason Reason) {
  runtime::AnswerEnd End;
  End.Outcome.Verdict = Verdict;
  End.Outcome.Reason = Reason;
  return End;
}

// CallPhase resolves the race between the owner's acknowledgement and the
// timeout or end of the call: the request is sent only if the acknowledgement
// comes first.
enum class CallPhase { AwaitingAck, Sent, Abandoned };

// ForwardCall copies the owner's answer into a pipe. It is reference-counted,
// as a callback of the pipe may still run on another thread when the call is
// done. The call's own reference is released in OnDone().
struct ForwardCall
    : grpc::ClientBidiReactor<v1::ForwardRequest, v1::AnswerPart>,
      boost::intrusive_ref_counter<ForwardCall, boost::thread_safe_counter> {
  grpc::ClientContext Context;
  v1::ForwardRequest Request;
  runtime::RequestMessagePtr Message;
  std::size_t BodySent = 0; // or being sent
  v1::AnswerPart Wire;
  runtime::AnswerPipePtr Pipe;
  ChannelPtr OwnerChannel;
  std::atomic<CallPhase> Phase{CallPhase::AwaitingAck};
  std::mutex Lock;
  // Reading is paused until the pipe has room; a gRPC hold keeps the call open.
  bool WaitingForRoom = false;

  void startRead() {
    runtime::annotateRelease(this);
    this->StartRead(&this->Wire);
  }

  void OnReadInitialMetadataDone(bool Success) override {
    runtime::annotateAcquire(this);
    CallPhase Expected = CallPhase::AwaitingAck;
    if (Success &&
        this->Phase.compare_exchange_strong(Expected, CallPhase::Sent))
      this->writeBodyPart();
  }

  // An owner that doesn't announce BodyPartsKey reads one message.
  void writeBodyPart() {
    const std::string &Body = this->Message->Body;
    std::size_t Size = Body.size() - this->BodySent;
    if (this->Context.GetServerInitialMetadata().count(BodyPartsKey) > 0)
      Size = std::min(Size, BodyPartBytes);
    this->Request.set_body(Body.data() + this->BodySent, Size);
    this->BodySent += Size;
    runtime::annotateRelease(this);
    if (this->BodySent == Body.size())
      this->StartWriteLast(&this->Request, grpc::WriteOptions());
    else
      this->StartWrite(&this->Request);
  }

  void OnWriteDone(bool Success) override {
    runtime::annotateAcquire(this);
    this->Request.Clear();
    if (Success && this->BodySent < this->Message->Body.size())
      this->writeBodyPart();
  }

  void readNext() {
    if (runtime::hasRoom(*this->Pipe)) {
      this->startRead();
      return;
    }
    {
      std::lock_guard<std::mutex> Guard(this->Lock);
      this->WaitingForRoom = true;
      this->AddHold();
    }
    // Room may have become free between the check and the hold.
    if (runtime::hasRoom(*this->Pipe))
      this->resume();
  }

  void resume() {
    {
      std::lock_guard<std::mutex> Guard(this->Lock);
      if (!std::exchange(this->WaitingForRoom, false))
        return;
    }
    this->startRead();
    this->RemoveHold();
  }

  void OnReadDone(bool Success) override {
    runtime::annotateAcquire(this);
    if (!Success)
      return;
    runtime::AnswerPart Part;
    if (!fromWire(this->Wire, Part)) {
      this->Context.TryCancel();
      return;
    }
    runtime::pushPart(*this->Pipe, std::move(Part));
    this->readNext();
  }

  // Adds an AnswerEnd to the pipe, which drops it if it already holds that of
  // the owner.
  void OnDone(const grpc::Status &) override {
    runtime::annotateAcquire(this);
    CallPhase Expected = CallPhase::AwaitingAck;
    this->Phase.compare_exchange_strong(Expected, CallPhase::Abandoned);
    // The call may be kept alive for longer by its PendingAck.
    this->Request.Clear();
    this->Message.reset();
    runtime::setWakeWriter(*this->Pipe, nullptr);
    runtime::setOnCancel(*this->Pipe, nullptr);
    bool Sent = this->Phase == CallPhase::Sent;
    runtime::pushPart(
        *this->Pipe,
        Sent ? makeEnd(base::Verdict::MayHaveRun, base::Reason::PeerLost)
             : makeEnd(base::Verdict::NotRun, base::Reason::PeerUnavailable));
    boost::intrusive_ptr<ForwardCall> Self(this, false);
  }
};

} // namespace

namespace detail {

// PendingAck is a call that the owner had not acknowledged when last checked.
struct PendingAck {
  std::chrono::steady_clock::time_point Deadline;
  base::NetAddress Address;
  boost::intrusive_ptr<ForwardCall> Call;
};

// Channels holds the channels and the calls that await their acknowledgement.
// One timer serves all calls, as one per call costs more than the rest of the
// call's bookkeeping.
struct Channels {
  std::mutex Lock;
  std::map<base::NetAddress, ChannelPtr> ByAddress;
  std::deque<PendingAck> PendingAcks;    // by Deadline
  std::unique_ptr<grpc::Alarm> AckTimer; // null if not set
};

} // namespace detail

PeerClient::PeerClient() : Channels(std::make_unique<detail::Channels>()) {}
PeerClient::~PeerClient() = default;

namespace {

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

ChannelPtr channelTo(PeerClient &Client, const base::NetAddress &Address) {
  std::lock_guard<std::mutex> Guard(Client.Channels->Lock);
  ChannelPtr &Result = Client.Channels->ByAddress[Address];
  if (!Result)
    Result = openChannel(Address);
  return Result;
}

// Replaces a channel, so that later calls use a new connection; calls in flight
// keep the old one. A channel that isn't in state READY is kept, as it
// reconnects by itself.
void replaceChannel(PeerClient &Client, const base::NetAddress &Address,
                    const ChannelPtr &Unresponsive) {
  if (Unresponsive->Connection->GetState(false) != GRPC_CHANNEL_READY)
    return;
  std::lock_guard<std::mutex> Guard(Client.Channels->Lock);
  ChannelPtr &Current = Client.Channels->ByAddress[Address];
  if (Current == Unresponsive)
    Current = openChannel(Address);
}

void setAckTimer(PeerClient &Client);

// Cancels calls that were not acknowledged in time, whose requests have not
// been sent, and replaces their channels.
void onAckTimer(PeerClient &Client) {
  std::vector<detail::PendingAck> Unresponsive;
  {
    std::lock_guard<std::mutex> Guard(Client.Channels->Lock);
    auto &PendingAcks = Client.Channels->PendingAcks;
    auto Now = std::chrono::steady_clock::now();
    while (!PendingAcks.empty() &&
           (PendingAcks.front().Call->Phase != CallPhase::AwaitingAck ||
            PendingAcks.front().Deadline <= Now)) {
      CallPhase Expected = CallPhase::AwaitingAck;
      if (PendingAcks.front().Call->Phase.compare_exchange_strong(
              Expected, CallPhase::Abandoned))
        Unresponsive.push_back(PendingAcks.front());
      PendingAcks.pop_front();
    }
    setAckTimer(Client);
  }
  for (const detail::PendingAck &Pending : Unresponsive) {
    replaceChannel(Client, Pending.Address, Pending.Call->OwnerChannel);
    Pending.Call->Context.TryCancel();
  }
}

// Requires the caller to hold the lock. Creates a new alarm, because an alarm
// can't be set again in its own callback.
void setAckTimer(PeerClient &Client) {
  detail::Channels &Channels = *Client.Channels;
  Channels.AckTimer.reset();
  if (Channels.PendingAcks.empty())
    return;
  Channels.AckTimer = std::make_unique<grpc::Alarm>();
  auto TimeLeft = std::chrono::duration_cast<std::chrono::microseconds>(
      Channels.PendingAcks.front().Deadline - std::chrono::steady_clock::now());
  Channels.AckTimer->Set(deadlineAfter(base::microseconds(TimeLeft.count())),
                         [&Client](bool Expired) {
                           if (Expired)
                             onAckTimer(Client);
                         });
}

void awaitAck(PeerClient &Client, const base::NetAddress &Address,
              boost::intrusive_ptr<ForwardCall> Call) {
  std::lock_guard<std::mutex> Guard(Client.Channels->Lock);
  Client.Channels->PendingAcks.push_back(
      {std::chrono::steady_clock::now() +
           std::chrono::microseconds(AckTimeout.Micros),
       Address, std::move(Call)});
  if (!Client.Channels->AckTimer)
    setAckTimer(Client);
}

} // namespace

void forward(PeerClient &Client, const base::NetAddress &Address,
             const core::AttemptFacts &Facts,
             runtime::RequestMessagePtr Message, runtime::AnswerPipePtr Pipe) {
  ChannelPtr OwnerChannel = channelTo(Client, Address);
  // No call is started in this state, the only one in which it is certain that
  // nothing would be sent.
  if (OwnerChannel->Connection->GetState(true) ==
      GRPC_CHANNEL_TRANSIENT_FAILURE) {
    runtime::pushPart(
        *Pipe, makeEnd(base::Verdict::NotRun, base::Reason::PeerUnavailable));
    return;
  }
  boost::intrusive_ptr<ForwardCall> Call(new ForwardCall);
  intrusive_ptr_add_ref(Call.get()); // released in OnDone()
  Call->Pipe = Pipe;
  Call->OwnerChannel = OwnerChannel;
  toWire(Facts, *Call->Request.mutable_facts());
  toWire(*Message, Call->Request);
  Call->Message = std::move(Message);
  Call->Context.set_deadline(
      deadlineAfter(Facts.TimeLeft + ForwardGracePeriod));
  runtime::setWakeWriter(*Pipe, [Call] { Call->resume(); });
  OwnerChannel->Stub->async()->Forward(&Call->Context, Call.get());
  Call->startRead();
  runtime::setOnCancel(*Pipe, [Call] { Call->Context.TryCancel(); });
  runtime::annotateRelease(Call.get());
  Call->StartCall();
  awaitAck(Client, Address, Call);
}

namespace {

// DeliverCall and FetchCall delete themselves in OnDone().
struct DeliverCall : grpc::ClientUnaryReactor {
  grpc::ClientContext Context;
  v1::PeerMessage Request;
  v1::DeliverReply Reply;
  std::function<void(const grpc::Status &, v1::PeerMessage)> Callback;

  void OnDone(const grpc::Status &Status) override {
    runtime::annotateAcquire(this);
    std::unique_ptr<DeliverCall> Self(this);
    this->Callback(Status, std::move(this->Request));
  }
};

struct FetchCall : grpc::ClientUnaryReactor {
  grpc::ClientContext Context;
  v1::FetchConfigRequest Request;
  v1::FetchConfigReply Reply;
  std::function<void(const grpc::Status &, const v1::FetchConfigReply &)>
      Callback;

  void OnDone(const grpc::Status &Status) override {
    runtime::annotateAcquire(this);
    std::unique_ptr<FetchCall> Self(this);
    this->Callback(Status, this->Reply);
  }
};

template <typename Call> void startUnaryCall(Call *Reactor) {
  runtime::annotateRelease(Reactor);
  Reactor->StartCall();
}

bool isTimeout(const grpc::Status &Status) {
  return Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
}

// IsRepeat says whether the message was already sent once. A message that
// arrives twice has no further effect.
enum class IsRepeat { No, Yes };

void deliverWire(PeerClient &Client, const base::NetAddress &Address,
                 v1::PeerMessage Message, IsRepeat Repeat,
                 std::function<void(bool)> Callback) {
  ChannelPtr Used = channelTo(Client, Address);
  auto *Call = new DeliverCall;
  Call->Request = std::move(Message);
  Call->Callback = [&Client, Address, Used, Repeat,
                    Callback = std::move(Callback)](const grpc::Status &Status,
                                                    v1::PeerMessage Sent) {
    if (!isTimeout(Status))
      return Callback(Status.ok());
    replaceChannel(Client, Address, Used);
    if (Repeat == IsRepeat::Yes)
      return Callback(false);
    deliverWire(Client, Address, std::move(Sent), IsRepeat::Yes, Callback);
  };
  Call->Context.set_deadline(deadlineAfter(DeliverTimeout));
  // Records repeat names and addresses. gRPC sends a message uncompressed if
  // that is smaller.
  Call->Context.set_compression_algorithm(GRPC_COMPRESS_DEFLATE);
  Used->Stub->async()->Deliver(&Call->Context, &Call->Request, &Call->Reply,
                               Call);
  startUnaryCall(Call);
}

void fetchWire(
    PeerClient &Client, const base::NetAddress &Address,
    base::ConfigVersion KnownVersion, IsRepeat Repeat,
    std::function<void(std::optional<config::ConfigDelta>)> Callback) {
  ChannelPtr Used = channelTo(Client, Address);
  auto *Call = new FetchCall;
  Call->Request.set_have(KnownVersion.Value);
  Call->Callback =
      [&Client, Address, KnownVersion, Used, Repeat,
       Callback = std::move(Callback)](const grpc::Status &Status,
                                       const v1::FetchConfigReply &Reply) {
        if (isTimeout(Status)) {
          replaceChannel(Client, Address, Used);
          if (Repeat == IsRepeat::No)
            return fetchWire(Client, Address, KnownVersion, IsRepeat::Yes,
                             Callback);
        }
        config::ConfigDelta Delta;
        bool Success =
            Status.ok() && Reply.found() && fromWire(Reply.delta(), Delta);
        Callback(Success ? std::optional(std::move(Delta)) : std::nullopt);
      };
  Call->Context.set_deadline(deadlineAfter(
      Repeat == IsRepeat::Yes ? FetchTimeout : FirstFetchTimeout));
  Used->Stub->async()->FetchConfig(&Call->Context, &Call->Request, &Call->Reply,
                                   Call);
  startUnaryCall(Call);
}

} // namespace

void deliver(PeerClient &Client, const base::NetAddress &Address,
             const membership::PeerMessage &Message,
             std::function<void(bool)> Callback) {
  v1::PeerMessage Wire;
  toWire(Message, Wire);
  deliverWire(Client, Address, std::move(Wire), IsRepeat::No,
              std::move(Callback));
}

void fetchConfig(
    PeerClient &Client, const base::NetAddress &Address,
    base::ConfigVersion KnownVersion,
    std::function<void(std::optional<config::ConfigDelta>)> Callback) {
  fetchWire(Client, Address, KnownVersion, IsRepeat::No, std::move(Callback));
}

} // namespace currantgauge::peer

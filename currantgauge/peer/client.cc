#include "currantgauge/peer/client.h"

#include "currantgauge/peer/answer_codec.h"
#include "currantgauge/peer/codec.h"
#include "currantgauge/peer/generated/peer.grpc.pb.h"
#include "currantgauge/runtime/handover.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <grpcpp/alarm.h>
#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace currantgauge::peer {
namespace {

constexpr int MessageLimit = 80 * 1024 * 1024; // bytes
constexpr int KeepaliveMillis = 2000;
constexpr int KeepaliveTimeoutMillis = 2000;
constexpr int FirstReconnectMillis = 100;
constexpr int LongestReconnectMillis = 1000;
constexpr base::Duration DeliverLimit = base::milliseconds(1000);
constexpr base::Duration FetchLimit = base::seconds(5);
// An owner acknowledges a call before it is sent the request. Without that the
// connection is taken for silent. Between regions a round trip takes 16 ms.
constexpr base::Duration ArrivalLimit = base::milliseconds(150);
// The owner ends an attempt at its deadline; this is for an owner that is gone.
constexpr base::Duration ForwardAllowance = base::milliseconds(200);

// The library takes times of day and turns them into spans at once, so that a
// step of the clock later on changes nothing.
std::chrono::system_clock::time_point after(base::Duration Span) {
  return std::chrono::system_clock::now() +
         std::chrono::microseconds(Span.Micros);
}

struct Channel {
  std::shared_ptr<grpc::Channel> Link;
  std::unique_ptr<v1::Peer::Stub> Stub;
};

using ChannelPtr = std::shared_ptr<Channel>;

runtime::AnswerEnd endWith(base::Verdict What, base::Reason Why) {
  runtime::AnswerEnd End;
  End.Outcome.What = What;
  End.Outcome.Why = Why;
  return End;
}

// CallPhase orders the owner's acknowledgement and the end of the wait for it:
// the request is sent by one of them alone, or never.
enum class CallPhase { Asking, Sent, GivenUp };

// ForwardCall copies the owner's answer into a pipe. It is counted, since a
// call of the pipe may still run on another thread when the call is done; the
// call's own count is released in OnDone().
struct ForwardCall
    : grpc::ClientBidiReactor<v1::ForwardRequest, v1::AnswerPart>,
      boost::intrusive_ref_counter<ForwardCall, boost::thread_safe_counter> {
  grpc::ClientContext Context;
  v1::ForwardRequest Request;
  v1::AnswerPart Wire;
  runtime::AnswerPipePtr Pipe;
  ChannelPtr To;
  std::atomic<CallPhase> Phase{CallPhase::Asking};
  std::mutex Lock;
  bool Waiting = false; // for room in the pipe, under a hold

  void startRead() {
    runtime::publish(this);
    this->StartRead(&this->Wire);
  }

  void OnReadInitialMetadataDone(bool Good) override {
    runtime::observe(this);
    CallPhase Asking = CallPhase::Asking;
    if (Good && this->Phase.compare_exchange_strong(Asking, CallPhase::Sent))
      this->StartWriteLast(&this->Request, grpc::WriteOptions());
  }

  void readNext() {
    if (runtime::hasRoom(*this->Pipe)) {
      this->startRead();
      return;
    }
    {
      std::lock_guard<std::mutex> Guard(this->Lock);
      this->Waiting = true;
      this->AddHold();
    }
    // Room may have come between the look and the hold.
    if (runtime::hasRoom(*this->Pipe))
      this->resume();
  }

  void resume() {
    {
      std::lock_guard<std::mutex> Guard(this->Lock);
      if (!std::exchange(this->Waiting, false))
        return;
    }
    this->startRead();
    this->RemoveHold();
  }

  void OnReadDone(bool Good) override {
    runtime::observe(this);
    if (!Good)
      return;
    runtime::AnswerPart Part;
    if (!fromWire(this->Wire, Part)) {
      this->Context.TryCancel();
      return;
    }
    runtime::pushPart(*this->Pipe, std::move(Part));
    this->readNext();
  }

  // An end that the owner said came first; this one is then dropped.
  void OnDone(const grpc::Status &) override {
    runtime::observe(this);
    CallPhase Asking = CallPhase::Asking;
    this->Phase.compare_exchange_strong(Asking, CallPhase::GivenUp);
    this->Request.Clear(); // the wait for its arrival may hold the call longer
    runtime::setWriter(*this->Pipe, nullptr);
    runtime::setOnCancel(*this->Pipe, nullptr);
    bool Sent = this->Phase == CallPhase::Sent;
    runtime::pushPart(
        *this->Pipe,
        Sent ? endWith(base::Verdict::MayHaveRun, base::Reason::PeerLost)
             : endWith(base::Verdict::NotRun, base::Reason::PeerUnavailable));
    boost::intrusive_ptr<ForwardCall> Last(this, false);
  }
};

} // namespace

namespace detail {

// ArrivalWait is a call whose arrival was not acknowledged when last looked at.
struct ArrivalWait {
  std::chrono::steady_clock::time_point Due;
  base::NetAddress Address;
  boost::intrusive_ptr<ForwardCall> Call;
};

// Channels has one timer for all calls: one each costs more than the call's
// own bookkeeping.
struct Channels {
  std::mutex Lock;
  std::map<base::NetAddress, ChannelPtr> ByAddress;
  std::deque<ArrivalWait> Waits;      // by Due
  std::unique_ptr<grpc::Alarm> Timer; // none: not set
};

} // namespace detail

PeerClient::PeerClient() : Channels(std::make_unique<detail::Channels>()) {}
PeerClient::~PeerClient() = default;

namespace {

// A channel has its connection to itself, so that another one to the same
// address opens a new connection.
ChannelPtr openChannel(const base::NetAddress &Address) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMillis);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMillis);
  Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, FirstReconnectMillis);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, LongestReconnectMillis);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, LongestReconnectMillis);
  // Messages are far smaller than the windows that such probes would widen.
  Arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetMaxReceiveMessageSize(MessageLimit);
  auto Opened = std::make_shared<Channel>();
  Opened->Link = grpc::CreateCustomChannel(
      Address.Value, grpc::InsecureChannelCredentials(), Arguments);
  Opened->Stub = v1::Peer::NewStub(Opened->Link);
  return Opened;
}

ChannelPtr channelTo(PeerClient &Client, const base::NetAddress &Address) {
  std::lock_guard<std::mutex> Guard(Client.Channels->Lock);
  ChannelPtr &Result = Client.Channels->ByAddress[Address];
  if (!Result)
    Result = openChannel(Address);
  return Result;
}

// replaceChannel() lets later calls use a new connection; calls in flight keep
// the old one. A channel that knows of its trouble is left to reconnect.
void replaceChannel(PeerClient &Client, const base::NetAddress &Address,
                    const ChannelPtr &Silent) {
  if (Silent->Link->GetState(false) != GRPC_CHANNEL_READY)
    return;
  std::lock_guard<std::mutex> Guard(Client.Channels->Lock);
  ChannelPtr &Current = Client.Channels->ByAddress[Address];
  if (Current == Silent)
    Current = openChannel(Address);
}

void setArrivalTimer(PeerClient &Client);

// Later calls take a new connection; this one was not sent and ends.
void onArrivalTimer(PeerClient &Client) {
  std::vector<detail::ArrivalWait> Silent;
  {
    std::lock_guard<std::mutex> Guard(Client.Channels->Lock);
    auto &Waits = Client.Channels->Waits;
    auto Now = std::chrono::steady_clock::now();
    while (!Waits.empty() && (Waits.front().Call->Phase != CallPhase::Asking ||
                              Waits.front().Due <= Now)) {
      CallPhase Asking = CallPhase::Asking;
      if (Waits.front().Call->Phase.compare_exchange_strong(Asking,
                                                            CallPhase::GivenUp))
        Silent.push_back(Waits.front());
      Waits.pop_front();
    }
    setArrivalTimer(Client);
  }
  for (const detail::ArrivalWait &One : Silent) {
    replaceChannel(Client, One.Address, One.Call->To);
    One.Call->Context.TryCancel();
  }
}

// The caller holds the lock. An alarm can't be set again in its own callback.
void setArrivalTimer(PeerClient &Client) {
  detail::Channels &Open = *Client.Channels;
  Open.Timer.reset();
  if (Open.Waits.empty())
    return;
  Open.Timer = std::make_unique<grpc::Alarm>();
  auto Left = std::chrono::duration_cast<std::chrono::microseconds>(
      Open.Waits.front().Due - std::chrono::steady_clock::now());
  Open.Timer->Set(after(base::microseconds(Left.count())), [&Client](bool Due) {
    if (Due)
      onArrivalTimer(Client);
  });
}

void awaitArrival(PeerClient &Client, const base::NetAddress &Address,
                  boost::intrusive_ptr<ForwardCall> Call) {
  std::lock_guard<std::mutex> Guard(Client.Channels->Lock);
  Client.Channels->Waits.push_back(
      {std::chrono::steady_clock::now() +
           std::chrono::microseconds(ArrivalLimit.Micros),
       Address, std::move(Call)});
  if (!Client.Channels->Timer)
    setArrivalTimer(Client);
}

} // namespace

void forward(PeerClient &Client, const base::NetAddress &Address,
             const core::AttemptFacts &Facts,
             const runtime::RequestMessage &Message,
             runtime::AnswerPipePtr Pipe) {
  ChannelPtr To = channelTo(Client, Address);
  // The one state in which it is certain that nothing is sent: no call starts.
  if (To->Link->GetState(true) == GRPC_CHANNEL_TRANSIENT_FAILURE) {
    runtime::pushPart(
        *Pipe, endWith(base::Verdict::NotRun, base::Reason::PeerUnavailable));
    return;
  }
  boost::intrusive_ptr<ForwardCall> Call(new ForwardCall);
  intrusive_ptr_add_ref(Call.get()); // released in OnDone()
  Call->Pipe = Pipe;
  Call->To = To;
  toWire(Facts, *Call->Request.mutable_facts());
  toWire(Message, Call->Request);
  Call->Context.set_deadline(after(Facts.TimeLeft + ForwardAllowance));
  runtime::setWriter(*Pipe, [Call] { Call->resume(); });
  To->Stub->async()->Forward(&Call->Context, Call.get());
  Call->startRead();
  runtime::setOnCancel(*Pipe, [Call] { Call->Context.TryCancel(); });
  runtime::publish(Call.get());
  Call->StartCall();
  awaitArrival(Client, Address, Call);
}

namespace {

// DeliverCall and FetchCall own themselves until OnDone().
struct DeliverCall : grpc::ClientUnaryReactor {
  grpc::ClientContext Context;
  v1::PeerMessage Request;
  v1::DeliverReply Reply;
  std::function<void(bool)> Done;

  void OnDone(const grpc::Status &Status) override {
    runtime::observe(this);
    std::unique_ptr<DeliverCall> Last(this);
    this->Done(Status.ok());
  }
};

struct FetchCall : grpc::ClientUnaryReactor {
  grpc::ClientContext Context;
  v1::FetchConfigRequest Request;
  v1::FetchConfigReply Reply;
  std::function<void(std::optional<config::ConfigDelta>)> Done;

  void OnDone(const grpc::Status &Status) override {
    runtime::observe(this);
    std::unique_ptr<FetchCall> Last(this);
    config::ConfigDelta Delta;
    bool Good = Status.ok() && this->Reply.found() &&
                fromWire(this->Reply.delta(), Delta);
    this->Done(Good ? std::optional(std::move(Delta)) : std::nullopt);
  }
};

template <typename Call> void startUnary(Call *Started) {
  runtime::publish(Started);
  Started->StartCall();
}

} // namespace

void deliver(PeerClient &Client, const base::NetAddress &Address,
             const membership::PeerMessage &Message,
             std::function<void(bool)> Done) {
  auto *Call = new DeliverCall;
  toWire(Message, Call->Request);
  Call->Done = std::move(Done);
  Call->Context.set_deadline(after(DeliverLimit));
  // Records repeat names and addresses. The library leaves a message as it is
  // where that is smaller.
  Call->Context.set_compression_algorithm(GRPC_COMPRESS_DEFLATE);
  channelTo(Client, Address)
      ->Stub->async()
      ->Deliver(&Call->Context, &Call->Request, &Call->Reply, Call);
  startUnary(Call);
}

void fetchConfig(PeerClient &Client, const base::NetAddress &Address,
                 base::ConfigVersion Have,
                 std::function<void(std::optional<config::ConfigDelta>)> Done) {
  auto *Call = new FetchCall;
  Call->Request.set_have(Have.Value);
  Call->Done = std::move(Done);
  Call->Context.set_deadline(after(FetchLimit));
  channelTo(Client, Address)
      ->Stub->async()
      ->FetchConfig(&Call->Context, &Call->Request, &Call->Reply, Call);
  startUnary(Call);
}

} // namespace currantgauge::peer

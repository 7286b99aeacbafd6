#include "currantgauge/peer/client.h"

#include "currantgauge/peer/answer_codec.h"
#include "currantgauge/peer/channels.h"
#include "currantgauge/peer/codec.h"
#include "currantgauge/peer/generated/peer.grpc.pb.h"
#include "currantgauge/runtime/tsan_annotations.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <grpcpp/alarm.h>
#include <grpcpp/client_context.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::peer {
namespace {

// Size of the parts in which the body of a request is sent, so that at most one
// part is copied at a time.
constexpr std::size_t BodyPartBytes = 256 * 1024;
// Time within which the owner must acknowledge a call, before the request is
// sent to it; otherwise the connection counts as unresponsive. A round trip
// between regions takes 16 ms.
constexpr base::Duration AckTimeout = base::milliseconds(150);
// The owner ends an attempt at its deadline. The call's own deadline is later
// by this time and only takes effect if the owner is gone.
constexpr base::Duration ForwardGracePeriod = base::milliseconds(200);

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
  detail::ChannelPtr OwnerChannel;
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

// AckQueue holds the calls that await their acknowledgement. One timer serves
// all calls, as one per call costs more than the rest of the call's
// bookkeeping.
struct AckQueue {
  std::mutex Lock;
  std::deque<PendingAck> Pending;     // by Deadline
  std::unique_ptr<grpc::Alarm> Timer; // null if not set
};

} // namespace detail

PeerClient::PeerClient()
    : Channels(std::make_unique<detail::Channels>()),
      Acks(std::make_unique<detail::AckQueue>()) {}
PeerClient::~PeerClient() = default;

namespace {

void setAckTimer(PeerClient &Client);

// Cancels calls that were not acknowledged in time, whose requests have not
// been sent, and replaces their channels.
void onAckTimer(PeerClient &Client) {
  std::vector<detail::PendingAck> Unresponsive;
  {
    std::lock_guard<std::mutex> Guard(Client.Acks->Lock);
    auto &PendingAcks = Client.Acks->Pending;
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
    detail::replaceChannel(*Client.Channels, Pending.Address,
                           Pending.Call->OwnerChannel);
    Pending.Call->Context.TryCancel();
  }
}

// Requires the caller to hold the lock. Creates a new alarm, because an alarm
// can't be set again in its own callback.
void setAckTimer(PeerClient &Client) {
  detail::AckQueue &Acks = *Client.Acks;
  Acks.Timer.reset();
  if (Acks.Pending.empty())
    return;
  Acks.Timer = std::make_unique<grpc::Alarm>();
  auto TimeLeft = std::chrono::duration_cast<std::chrono::microseconds>(
      Acks.Pending.front().Deadline - std::chrono::steady_clock::now());
  Acks.Timer->Set(detail::deadlineAfter(base::microseconds(TimeLeft.count())),
                  [&Client](bool Expired) {
                    if (Expired)
                      onAckTimer(Client);
                  });
}

void awaitAck(PeerClient &Client, const base::NetAddress &Address,
              boost::intrusive_ptr<ForwardCall> Call) {
  std::lock_guard<std::mutex> Guard(Client.Acks->Lock);
  Client.Acks->Pending.push_back(
      {std::chrono::steady_clock::now() +
           std::chrono::microseconds(AckTimeout.Micros),
       Address, std::move(Call)});
  if (!Client.Acks->Timer)
    setAckTimer(Client);
}

} // namespace

void forward(PeerClient &Client, const base::NetAddress &Address,
             const core::AttemptFacts &Facts,
             runtime::RequestMessagePtr Message, runtime::AnswerPipePtr Pipe) {
  detail::ChannelPtr OwnerChannel =
      detail::channelTo(*Client.Channels, Address);
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
      detail::deadlineAfter(Facts.TimeLeft + ForwardGracePeriod));
  runtime::setWakeWriter(*Pipe, [Call] { Call->resume(); });
  OwnerChannel->Stub->async()->Forward(&Call->Context, Call.get());
  Call->startRead();
  runtime::setOnCancel(*Pipe, [Call] { Call->Context.TryCancel(); });
  runtime::annotateRelease(Call.get());
  Call->StartCall();
  awaitAck(Client, Address, Call);
}

} // namespace currantgauge::peer

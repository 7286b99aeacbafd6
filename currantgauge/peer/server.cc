#include "currantgauge/peer/server.h"

#include "currantgauge/peer/answer_codec.h"
#include "currantgauge/peer/codec.h"
#include "currantgauge/peer/generated/peer.grpc.pb.h"
#include "currantgauge/runtime/tsan_annotations.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <utility>

namespace currantgauge::peer {
namespace {

constexpr int MaxMessageBytes = 80 * 1024 * 1024;
constexpr int KeepaliveMillis = 2000;
constexpr int KeepaliveTimeoutMillis = 2000;

// ForwardReactor sends the answer from a pipe to the entry. It is reference-
// counted, as a callback of the pipe may still run on another thread when the
// call is done. The call's own reference is released in OnDone(). gRPC requires
// the inheritance.
struct ForwardReactor
    : grpc::ServerBidiReactor<v1::ForwardRequest, v1::AnswerPart>,
      boost::intrusive_ref_counter<ForwardReactor, boost::thread_safe_counter> {
  runtime::AnswerPipePtr Pipe{new runtime::AnswerPipe};
  const PeerHandlers *Handlers = nullptr;
  v1::ForwardRequest Request;
  core::AttemptFacts Facts;
  runtime::RequestMessagePtr Message; // null until the first message was read
  std::mutex Lock;
  v1::AnswerPart Wire;
  bool Writing = false;
  bool Finished = false;

  void writeNext() {
    std::lock_guard<std::mutex> Guard(this->Lock);
    if (this->Writing || this->Finished)
      return;
    auto Part = runtime::popPart(*this->Pipe);
    if (!Part)
      return;
    this->Writing = true;
    bool IsLast = std::holds_alternative<runtime::AnswerEnd>(*Part);
    this->Wire.Clear();
    toWire(std::move(*Part), this->Wire);
    runtime::annotateRelease(this);
    if (!IsLast) {
      this->StartWrite(&this->Wire);
      return;
    }
    this->Finished = true;
    this->StartWriteAndFinish(&this->Wire, grpc::WriteOptions(),
                              grpc::Status::OK);
  }

  void finishEarly(const grpc::Status &Status) {
    std::lock_guard<std::mutex> Guard(this->Lock);
    if (std::exchange(this->Finished, true))
      return;
    this->Finish(Status);
  }

  // A failed read means that the entry abandoned the call before it sent the
  // request.
  void OnReadDone(bool Success) override {
    runtime::annotateAcquire(this);
    if (!Success)
      return this->finishEarly(grpc::Status::CANCELLED);
    if (!this->Message && !this->readFirstMessage())
      return;
    this->Message->Body += this->Request.body();
    this->Request.Clear();
    std::uint64_t Expected = this->Facts.BodyBytes.Bytes;
    if (this->Message->Body.size() > Expected)
      return this->finishEarly(grpc::Status(
          grpc::StatusCode::INVALID_ARGUMENT,
          "the body exceeds its " + std::to_string(Expected) + " bytes"));
    if (this->Message->Body.size() < Expected) {
      runtime::annotateRelease(this);
      return this->StartRead(&this->Request);
    }
    this->wakeOnAnswer();
    this->Handlers->Forward(std::move(this->Facts), std::move(this->Message),
                            this->Pipe);
  }

  void wakeOnAnswer() {
    boost::intrusive_ptr<ForwardReactor> Self(this);
    runtime::setWakeReader(*this->Pipe, [Self] { Self->writeNext(); });
  }

  // Returns false, and ends the call, if the attempt is malformed or there is
  // no memory for the body.
  bool readFirstMessage() {
    if (!fromWire(this->Request.facts(), this->Facts)) {
      this->finishEarly(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT,
                                     "the attempt is malformed"));
      return false;
    }
    this->Message.reset(new runtime::RequestMessage);
    fromWire(this->Request, *this->Message);
    runtime::MemoryBudget *Memory = this->Handlers->BodyMemory;
    if (Memory &&
        !tryHold(this->Message->Hold, *Memory, this->Facts.BodyBytes)) {
      this->wakeOnAnswer();
      runtime::pushPart(*this->Pipe,
                        makeEnd(base::Verdict::NotRun,
                                base::Reason::MemoryLimit, base::seconds(1)));
      return false;
    }
    this->Message->Body.reserve(
        std::min<std::uint64_t>(this->Facts.BodyBytes.Bytes, MaxMessageBytes));
    return true;
  }

  void OnWriteDone(bool Success) override {
    runtime::annotateAcquire(this);
    {
      std::lock_guard<std::mutex> Guard(this->Lock);
      this->Writing = false;
    }
    if (Success)
      this->writeNext();
    else
      this->finishEarly(grpc::Status::CANCELLED);
  }

  void OnCancel() override {
    runtime::annotateAcquire(this);
    runtime::cancelPipe(*this->Pipe);
    this->finishEarly(grpc::Status::CANCELLED);
  }

  void OnDone() override {
    runtime::annotateAcquire(this);
    {
      std::lock_guard<std::mutex> Guard(this->Lock);
      this->Finished = true;
    }
    runtime::setWakeReader(*this->Pipe, nullptr);
    boost::intrusive_ptr<ForwardReactor> Self(this, false);
  }
};

struct GrpcService : v1::Peer::CallbackService {
  PeerHandlers Handlers;

  grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *Context,
                                    const v1::PeerMessage *Request,
                                    v1::DeliverReply *) override {
    grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
    membership::PeerMessage Message;
    if (!fromWire(*Request, Message)) {
      Reactor->Finish(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT,
                                   "the message is malformed"));
      return Reactor;
    }
    this->Handlers.Deliver(std::move(Message));
    Reactor->Finish(grpc::Status::OK);
    return Reactor;
  }

  grpc::ServerBidiReactor<v1::ForwardRequest, v1::AnswerPart> *
  Forward(grpc::CallbackServerContext *Context) override {
    boost::intrusive_ptr<ForwardReactor> Reactor(new ForwardReactor);
    intrusive_ptr_add_ref(Reactor.get()); // released in OnDone()
    Reactor->Handlers = &this->Handlers;
    Reactor->Pipe->Budget = this->Handlers.AnswerMemory;
    Context->AddInitialMetadata(BodyPartsKey, "1");
    // Acknowledges the call, so that the entry sends the request.
    Reactor->StartSendInitialMetadata();
    runtime::annotateRelease(Reactor.get());
    Reactor->StartRead(&Reactor->Request);
    return Reactor.get();
  }

  grpc::ServerUnaryReactor *FetchConfig(grpc::CallbackServerContext *Context,
                                        const v1::FetchConfigRequest *Request,
                                        v1::FetchConfigReply *Reply) override {
    Context->set_compression_algorithm(GRPC_COMPRESS_DEFLATE);
    grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
    auto Delta =
        this->Handlers.FetchConfig(base::ConfigVersion(Request->have()));
    Reply->set_found(Delta.has_value());
    if (Delta)
      toWire(*Delta, *Reply->mutable_delta());
    Reactor->Finish(grpc::Status::OK);
    return Reactor;
  }
};

} // namespace

namespace detail {

struct PeerService {
  GrpcService Impl;
  std::unique_ptr<grpc::Server> Server;
};

} // namespace detail

PeerServer::PeerServer() = default;
PeerServer::~PeerServer() = default;

std::unique_ptr<PeerServer> startPeerServer(const base::NetAddress &Address,
                                            PeerHandlers Handlers,
                                            std::error_code &Error) {
  auto Result = std::make_unique<PeerServer>();
  Result->Service = std::make_unique<detail::PeerService>();
  Result->Service->Impl.Handlers = std::move(Handlers);
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort(Address.Value, grpc::InsecureServerCredentials(),
                           &Port);
  Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMillis);
  Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                             KeepaliveTimeoutMillis);
  Builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      KeepaliveMillis / 2);
  Builder.RegisterService(&Result->Service->Impl);
  Result->Service->Server = Builder.BuildAndStart();
  if (!Result->Service->Server || Port == 0) {
    Error = std::make_error_code(std::errc::address_in_use);
    return nullptr;
  }
  return Result;
}

void stopPeerServer(PeerServer &Server, base::Duration Timeout) {
  Server.Service->Server->Shutdown(std::chrono::system_clock::now() +
                                   std::chrono::microseconds(Timeout.Micros));
}

} // namespace currantgauge::peer

#include "currantgauge/runtime/effects.h"

#include "currantgauge/config/assemble.h"
#include "currantgauge/peer/unary_calls.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace currantgauge::runtime {
namespace {

namespace asio = boost::asio;

// While this many answers are kept for replay, no others are.
constexpr std::size_t MaxKeptAnswers = 4096;

ControlInput makeInput(core::EventBody Body) {
  return ControlInput{std::move(Body), {}, {}, {}, {}};
}

// Runs Task on a traffic thread, so that it doesn't delay the control thread.
template <typename Work> void postToTraffic(Node &Self, Work Task) {
  asio::post(nextContext(Self.Traffic), std::move(Task));
}

// Only the first traffic thread accesses WakeTimer. Setting a new expiry
// cancels the pending wait.
void executeEffect(Node &Self, core::WakeAt &Effect) {
  if (Effect.Time == base::Never)
    return;
  std::chrono::steady_clock::time_point WakeTime(
      std::chrono::microseconds(Effect.Time.Micros));
  asio::io_context &Io = Self.Traffic.Threads.front()->Io;
  asio::post(Io, [&Self, &Io, WakeTime] {
    if (!Self.WakeTimer)
      Self.WakeTimer = std::make_unique<asio::steady_timer>(Io);
    Self.WakeTimer->expires_at(WakeTime);
    Self.WakeTimer->async_wait([&Self](boost::system::error_code Error) {
      if (!Error)
        post(Self, makeInput(core::TimerFired{}));
    });
  });
}

void startLocalAttempt(Node &Self, const core::StartAttempt &Effect,
                       const EntryHandle &Entry, const AnswerPipePtr &Pipe) {
  ControlInput Arrival = makeInput(core::AttemptArrived{Effect.Facts});
  Arrival.Message = Entry.Message;
  Arrival.Pipe = Pipe;
  base::AttemptId Attempt = Effect.Facts.Attempt;
  setOnCancel(*Pipe, [&Self, Attempt] {
    post(Self, makeInput(core::AttemptCancelled{Attempt}));
  });
  Self.PendingInputs.push_back(std::move(Arrival));
}

void executeEffect(Node &Self, core::StartAttempt &Effect) {
  auto It = Self.Entries.find(Effect.Facts.Request);
  if (It == Self.Entries.end())
    return;
  EntryHandle &Entry = It->second;
  AnswerPipePtr Pipe(new AnswerPipe);
  Pipe->Budget = &Self.AnswerMemory;
  Self.EntryPipes[Effect.Facts.Attempt] = Pipe;
  Entry.Caller->Attach(Effect.Facts.Attempt, Pipe, Effect.Continued);
  if (Effect.Owner == Self.State.Self.Name) {
    startLocalAttempt(Self, Effect, Entry, Pipe);
    return;
  }
  postToTraffic(Self, [&Self, Effect, Message = Entry.Message, Pipe] {
    peer::forward(Self.Peers, Effect.OwnerAddress, Effect.Facts, Message, Pipe);
  });
}

void executeEffect(Node &Self, core::CancelAttempt &Effect) {
  auto It = Self.EntryPipes.find(Effect.Attempt);
  if (It == Self.EntryPipes.end())
    return;
  AnswerPipePtr Pipe = It->second;
  Self.EntryPipes.erase(It);
  postToTraffic(Self, [Pipe] { cancelPipe(*Pipe); });
}

void executeEffect(Node &Self, core::DeliverAnswer &Effect) {
  auto It = Self.Entries.find(Effect.Request);
  if (It == Self.Entries.end())
    return;
  It->second.Caller->Deliver(Effect);
  Self.Entries.erase(It);
}

void executeEffect(Node &Self, core::RefuseRequest &Effect) {
  auto It = Self.Entries.find(Effect.Request);
  if (It == Self.Entries.end())
    return;
  It->second.Caller->Refuse(Effect);
  Self.Entries.erase(It);
}

void executeEffect(Node &Self, core::AnswerActionId &Effect) {
  auto It = Self.Entries.find(Effect.Request);
  if (It == Self.Entries.end())
    return;
  It->second.Caller->SendActionId(Effect);
  Self.Entries.erase(It);
}

void executeEffect(Node &Self, core::SendToBackend &Effect) {
  auto It = Self.OwnedAttempts.find(Effect.Attempt);
  if (It == Self.OwnedAttempts.end())
    return;
  std::size_t Thread = Self.Traffic.NextThread++ % Self.Traffic.Threads.size();
  http::ExchangeParams Request;
  Request.Attempt = Effect.Attempt;
  Request.Request = It->second.Request;
  Request.Address = Effect.Address;
  Request.TimeLeft = Effect.TimeLeft;
  Request.NewConnection = Effect.NewConnection;
  Request.MaxIdle = Effect.MaxIdle;
  Request.ExpectedServer = Effect.Server;
  Request.Workspace = Effect.Workspace;
  Request.Dialect = &Self.Protocols.Http;
  Request.Message = It->second.Message;
  Request.Pipe = It->second.Pipe;
  It->second.Exchange = http::startExchange(
      *Self.Pools[Thread], Self.Traffic.Threads[Thread]->Io, std::move(Request),
      [&Self, Attempt = Effect.Attempt](core::ExchangeOutcome Outcome) {
        post(Self, makeInput(core::ExchangeEnded{Attempt, Outcome}));
      });
}

void executeEffect(Node &Self, core::CancelExchange &Effect) {
  auto It = Self.OwnedAttempts.find(Effect.Attempt);
  if (It != Self.OwnedAttempts.end() && It->second.Exchange)
    http::cancelExchange(It->second.Exchange, Effect.Reason);
}

void executeEffect(Node &Self, core::EndAttempt &Effect) {
  auto It = Self.OwnedAttempts.find(Effect.Attempt);
  if (It == Self.OwnedAttempts.end())
    return;
  AnswerPipePtr Pipe = It->second.Pipe;
  KeptAnswer Replayed = std::move(It->second.ReplayedAnswer);
  Self.OwnedAttempts.erase(It);
  // The parts and the end are pushed by one task: from two threads, the end
  // could be pushed before the parts.
  postToTraffic(Self, [Pipe, Replayed, Outcome = Effect.Outcome] {
    if (Replayed)
      for (const AnswerPart &Part : *Replayed)
        pushPart(*Pipe, Part);
    pushPart(*Pipe, AnswerEnd{Outcome});
    setOnCancel(*Pipe, nullptr);
  });
}

void executeEffect(Node &Self, core::KeepAnswer &Effect) {
  auto It = Self.OwnedAttempts.find(Effect.Attempt);
  if (It == Self.OwnedAttempts.end())
    return;
  AnswerPipe &Pipe = *It->second.Pipe;
  std::lock_guard<std::mutex> Guard(Pipe.Mutex);
  if (!Pipe.Record || Self.KeptAnswers.size() >= MaxKeptAnswers)
    return;
  Self.KeptAnswers[Effect.Attempt] =
      std::make_shared<const std::vector<AnswerPart>>(Pipe.Recorded);
}

void executeEffect(Node &Self, core::DropAnswer &Effect) {
  Self.KeptAnswers.erase(Effect.Attempt);
}

void executeEffect(Node &Self, core::ReplayAnswer &Effect) {
  auto KeptIt = Self.KeptAnswers.find(Effect.OriginalAttempt);
  auto OwnedIt = Self.OwnedAttempts.find(Effect.Attempt);
  if (KeptIt == Self.KeptAnswers.end() || OwnedIt == Self.OwnedAttempts.end())
    return;
  OwnedIt->second.ReplayedAnswer = KeptIt->second;
}

void executeEffect(Node &Self, core::SendPeerMessage &Effect) {
  postToTraffic(Self, [&Self, Effect = std::move(Effect)] {
    peer::deliver(
        Self.Peers, Effect.Address, Effect.Message,
        [&Self, Recipient = Effect.Recipient,
         Address = Effect.Address](bool Sent) {
          if (!Sent)
            post(Self, makeInput(core::PeerSendFailed{Recipient, Address}));
        });
  });
}

void executeEffect(Node &Self, core::CallStore &Effect) {
  auto OnResult = [&Self, Call = Effect.Call,
                   Name = std::string(base::operationName(Effect.Operation))](
                      base::StoreResult Result) {
    telemetry::record(Self.Metrics,
                      {core::Metric::StoreCalls, Name,
                       std::string(base::statusName(Result.Status)), 1});
    post(Self, makeInput(core::StoreAnswered{Call, std::move(Result)}));
  };
  if (!Self.Store) {
    OnResult(base::applyOperation(Self.Embedded, Effect.Operation));
    return;
  }
  store::callStore(*Self.Store, Self.Traffic.Threads.front()->Io,
                   Effect.Operation, Effect.Timeout, OnResult);
}

void executeEffect(Node &Self, core::ParseConfig &Effect) {
  postToTraffic(Self, [&Self, Effect = std::move(Effect)] {
    config::AssembledConfig Assembled =
        Effect.Request.AnnouncedRow.empty()
            ? config::assembleConfig(Effect.Request)
            : config::assembleAnnounced(Effect.Request,
                                        Self.Protocols.ReadConfig);
    post(Self, makeInput(core::ConfigParsed{
                   Effect.Call, std::move(Assembled.Config),
                   std::move(Assembled.Parts), std::move(Assembled.Error),
                   Assembled.Version}));
  });
}

void executeEffect(Node &Self, core::FetchConfig &Effect) {
  postToTraffic(Self, [&Self, Effect] {
    auto Callback = [&Self, Effect](std::optional<config::ConfigDelta> Delta) {
      core::ConfigFetched Fetched;
      Fetched.Call = Effect.Call;
      Fetched.Found = Delta.has_value();
      if (Delta)
        Fetched.Delta = std::move(*Delta);
      post(Self, makeInput(std::move(Fetched)));
    };
    peer::fetchConfig(Self.Peers, Effect.Address, Effect.KnownVersion,
                      std::move(Callback));
  });
}

void executeEffect(Node &Self, core::ServeConfig &Effect) {
  std::lock_guard<std::mutex> Guard(Self.ServedConfigMutex);
  config::serveDocument(Self.ServedConfig, Effect.Document);
}

void executeEffect(Node &Self, core::AnswerOperator &Effect) {
  auto It = Self.OperatorReplies.find(Effect.Call);
  if (It == Self.OperatorReplies.end())
    return;
  It->second(Effect.Reply);
  Self.OperatorReplies.erase(It);
}

void executeEffect(Node &Self, core::Measure &Effect) {
  telemetry::record(Self.Metrics, Effect);
}

void executeEffect(Node &Self, core::LogLine &Effect) {
  telemetry::writeLog(Self.Logs, std::move(Effect));
}

void executeEffect(Node &Self, core::SetCallerLimits &Effect) {
  http::setCallerLimits(Self.Callers, Effect.Limits);
}

void executeEffect(Node &Self, core::SetReady &Effect) {
  Self.Ready = Effect.Ready;
}

void executeEffect(Node &Self, core::StopProcess &Effect) {
  Self.OnStop(Effect.ExitCode);
}

} // namespace

void executeEffect(Node &Self, core::Effect &Effect) {
  std::visit([&Self](auto &TypedEffect) { executeEffect(Self, TypedEffect); },
             Effect);
}

void removeEntry(Node &Self, base::RequestId Request) {
  Self.Entries.erase(Request);
}

} // namespace currantgauge::runtime

#include "currantgauge/runtime/effects.h"

#include "currantgauge/config/assemble.h"

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

constexpr std::size_t KeptAnswerLimit = 4096; // answers

ControlInput inputOf(core::EventBody Body) {
  return ControlInput{std::move(Body), {}, {}, {}, {}};
}

// Work runs on a traffic thread, where time spent delays no decision.
template <typename Work> void onTraffic(Node &Self, Work What) {
  asio::post(nextContext(Self.Traffic), std::move(What));
}

// The timer belongs to the first traffic thread; setting it anew cancels the
// wait before.
void carryOut(Node &Self, core::WakeAt &What) {
  if (What.Time == base::Never)
    return;
  std::chrono::steady_clock::time_point At(
      std::chrono::microseconds(What.Time.Micros));
  asio::io_context &Io = Self.Traffic.Threads.front()->Io;
  asio::post(Io, [&Self, &Io, At] {
    if (!Self.WakeTimer)
      Self.WakeTimer = std::make_unique<asio::steady_timer>(Io);
    Self.WakeTimer->expires_at(At);
    Self.WakeTimer->async_wait([&Self](boost::system::error_code Error) {
      if (!Error)
        post(Self, inputOf(core::TimerFired{}));
    });
  });
}

void startLocal(Node &Self, const core::StartAttempt &What,
                const EntryHandle &Entry, const AnswerPipePtr &Pipe) {
  ControlInput Arrival = inputOf(core::AttemptArrived{What.Facts});
  Arrival.Message = Entry.Message;
  Arrival.Pipe = Pipe;
  base::AttemptId Attempt = What.Facts.Attempt;
  setOnCancel(*Pipe, [&Self, Attempt] {
    post(Self, inputOf(core::AttemptCancelled{Attempt}));
  });
  Self.Follow.push_back(std::move(Arrival));
}

void carryOut(Node &Self, core::StartAttempt &What) {
  auto Found = Self.Entries.find(What.Facts.Request);
  if (Found == Self.Entries.end())
    return;
  EntryHandle &Entry = Found->second;
  AnswerPipePtr Pipe(new AnswerPipe);
  Self.EntryPipes[What.Facts.Attempt] = Pipe;
  Entry.Caller->Attach(What.Facts.Attempt, Pipe);
  if (What.Owner == Self.State.Self.Name) {
    startLocal(Self, What, Entry, Pipe);
    return;
  }
  onTraffic(Self, [&Self, What, Message = Entry.Message, Pipe] {
    peer::forward(Self.Peers, What.OwnerAddress, What.Facts, *Message, Pipe);
  });
}

void carryOut(Node &Self, core::CancelAttempt &What) {
  auto Found = Self.EntryPipes.find(What.Attempt);
  if (Found == Self.EntryPipes.end())
    return;
  AnswerPipePtr Pipe = Found->second;
  Self.EntryPipes.erase(Found);
  onTraffic(Self, [Pipe] { cancelPipe(*Pipe); });
}

void carryOut(Node &Self, core::DeliverAnswer &What) {
  auto Found = Self.Entries.find(What.Request);
  if (Found == Self.Entries.end())
    return;
  Found->second.Caller->Deliver(What);
  Self.Entries.erase(Found);
}

void carryOut(Node &Self, core::RefuseRequest &What) {
  auto Found = Self.Entries.find(What.Request);
  if (Found == Self.Entries.end())
    return;
  Found->second.Caller->Refuse(What);
  Self.Entries.erase(Found);
}

void carryOut(Node &Self, core::AnswerActionId &What) {
  auto Found = Self.Entries.find(What.Request);
  if (Found == Self.Entries.end())
    return;
  Found->second.Caller->Issue(What);
  Self.Entries.erase(Found);
}

void carryOut(Node &Self, core::SendToBackend &What) {
  auto Found = Self.Owned.find(What.Attempt);
  if (Found == Self.Owned.end())
    return;
  std::size_t Thread = Self.Traffic.Next++ % Self.Traffic.Threads.size();
  http::ExchangeParams Request;
  Request.Attempt = What.Attempt;
  Request.Request = Found->second.Request;
  Request.Address = What.Address;
  Request.TimeLeft = What.TimeLeft;
  Request.NewConnection = What.NewConnection;
  Request.MaxIdle = What.MaxIdle;
  Request.ExpectedServer = What.Server;
  Request.Dialect = &Self.Spoken.Http;
  Request.Message = Found->second.Message;
  Request.Pipe = Found->second.Pipe;
  Found->second.Exchange = http::startExchange(
      *Self.Pools[Thread], Self.Traffic.Threads[Thread]->Io, std::move(Request),
      [&Self, Attempt = What.Attempt](core::ExchangeOutcome Outcome) {
        post(Self, inputOf(core::ExchangeEnded{Attempt, Outcome}));
      });
}

void carryOut(Node &Self, core::CancelExchange &What) {
  auto Found = Self.Owned.find(What.Attempt);
  if (Found != Self.Owned.end() && Found->second.Exchange)
    http::cancelExchange(Found->second.Exchange, What.Reason);
}

void carryOut(Node &Self, core::EndAttempt &What) {
  auto Found = Self.Owned.find(What.Attempt);
  if (Found == Self.Owned.end())
    return;
  AnswerPipePtr Pipe = Found->second.Pipe;
  KeptAnswer Repeat = std::move(Found->second.Repeat);
  Self.Owned.erase(Found);
  // One job: on another thread the end could overtake the parts before it.
  onTraffic(Self, [Pipe, Repeat, Outcome = What.Outcome] {
    if (Repeat)
      for (const AnswerPart &Part : *Repeat)
        pushPart(*Pipe, Part);
    pushPart(*Pipe, AnswerEnd{Outcome});
    setOnCancel(*Pipe, nullptr);
  });
}

void carryOut(Node &Self, core::KeepAnswer &What) {
  auto Found = Self.Owned.find(What.Attempt);
  if (Found == Self.Owned.end())
    return;
  AnswerPipe &Pipe = *Found->second.Pipe;
  std::lock_guard<std::mutex> Guard(Pipe.Lock);
  if (!Pipe.Record || Self.Kept.size() >= KeptAnswerLimit)
    return;
  Self.Kept[What.Attempt] =
      std::make_shared<const std::vector<AnswerPart>>(Pipe.Recorded);
}

void carryOut(Node &Self, core::DropAnswer &What) {
  Self.Kept.erase(What.Attempt);
}

void carryOut(Node &Self, core::ReplayAnswer &What) {
  auto Kept = Self.Kept.find(What.OriginalAttempt);
  auto Found = Self.Owned.find(What.Attempt);
  if (Kept == Self.Kept.end() || Found == Self.Owned.end())
    return;
  Found->second.Repeat = Kept->second;
}

void carryOut(Node &Self, core::SendPeerMessage &What) {
  onTraffic(Self, [&Self, What = std::move(What)] {
    peer::deliver(
        Self.Peers, What.Address, What.Message,
        [&Self, To = What.Recipient, Address = What.Address](bool Done) {
          if (!Done)
            post(Self, inputOf(core::PeerSendFailed{To, Address}));
        });
  });
}

void carryOut(Node &Self, core::CallStore &What) {
  auto Answer = [&Self, Call = What.Call,
                 Name = std::string(base::operationName(What.Operation))](
                    base::StoreResult Result) {
    telemetry::record(Self.Metrics,
                      {core::Metric::StoreCalls, Name,
                       std::string(base::statusName(Result.Status)), 1});
    post(Self, inputOf(core::StoreAnswered{Call, std::move(Result)}));
  };
  if (!Self.Store) {
    Answer(base::applyOperation(Self.Embedded, What.Operation));
    return;
  }
  store::callStore(*Self.Store, Self.Traffic.Threads.front()->Io,
                   What.Operation, What.Timeout, Answer);
}

void carryOut(Node &Self, core::ParseConfig &What) {
  onTraffic(Self, [&Self, What = std::move(What)] {
    config::AssembledConfig Done =
        What.Request.AnnouncedRow.empty()
            ? config::assembleConfig(What.Request)
            : config::assembleAnnounced(What.Request, Self.Spoken.ReadConfig);
    post(Self, inputOf(core::ConfigParsed{
                   What.Call, std::move(Done.Config), std::move(Done.Parts),
                   std::move(Done.Error), Done.Version}));
  });
}

void carryOut(Node &Self, core::FetchConfig &What) {
  onTraffic(Self, [&Self, What] {
    auto Done = [&Self, What](std::optional<config::ConfigDelta> Delta) {
      core::ConfigFetched Fetched;
      Fetched.Call = What.Call;
      Fetched.Found = Delta.has_value();
      if (Delta)
        Fetched.Delta = std::move(*Delta);
      post(Self, inputOf(std::move(Fetched)));
    };
    peer::fetchConfig(Self.Peers, What.Address, What.KnownVersion,
                      std::move(Done));
  });
}

void carryOut(Node &Self, core::ServeConfig &What) {
  std::lock_guard<std::mutex> Guard(Self.ServedLock);
  config::serveDocument(Self.Served, What.Document);
}

void carryOut(Node &Self, core::AnswerOperator &What) {
  auto Found = Self.Replies.find(What.Call);
  if (Found == Self.Replies.end())
    return;
  Found->second(What.Reply);
  Self.Replies.erase(Found);
}

void carryOut(Node &Self, core::Measure &What) {
  telemetry::record(Self.Metrics, What);
}

void carryOut(Node &Self, core::LogLine &What) {
  telemetry::writeLog(Self.Logs, std::move(What));
}

void carryOut(Node &Self, core::SetCallerLimits &What) {
  http::setCallerLimits(Self.Callers, What.Limits);
}

void carryOut(Node &Self, core::SetReady &What) { Self.Ready = What.Ready; }

void carryOut(Node &Self, core::StopProcess &What) {
  Self.OnStop(What.ExitCode);
}

} // namespace

void carryOut(Node &Self, core::Effect &What) {
  std::visit([&Self](auto &Each) { carryOut(Self, Each); }, What);
}

void forgetEntry(Node &Self, base::RequestId Request) {
  Self.Entries.erase(Request);
}

} // namespace currantgauge::runtime

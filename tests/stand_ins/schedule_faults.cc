#include "tests/stand_ins/schedule.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace currantgauge::stand_ins::detail {
namespace {

// Upper bounds of random delays.
constexpr std::int64_t PromptMillis = 5;
constexpr std::int64_t SlowMillis = 500;
constexpr std::int64_t LateMillis = 3000;

// Returns the index of a node, 0 if the name is unknown.
std::size_t findNode(const Simulation &Sim, const base::NodeName &Name) {
  for (std::size_t Index = 0; Index < Sim.Nodes.size(); ++Index)
    if (Sim.Nodes[Index].State.Self.Name == Name)
      return Index;
  return 0;
}

void notifyEntry(Simulation &Sim, base::AttemptId Attempt,
                 base::Verdict Verdict, base::Reason Reason) {
  const AttemptOrigin &Origin = Sim.Attempts.at(Attempt);
  core::AttemptEnded Ended;
  Ended.Attempt = Attempt;
  Ended.Outcome.Verdict = Verdict;
  Ended.Outcome.Reason = Reason;
  deliver(Sim, Origin.Entry, Origin.EntryIncarnation, Ended);
}

// Notifies the entry that the peer was lost after the attempt was sent.
void notifyPeerLost(Simulation &Sim, base::AttemptId Attempt) {
  base::Verdict Verdict = Sim.Defect == InjectedDefect::ReportLostPeerAsNotRun
                              ? base::Verdict::NotRun
                              : base::Verdict::MayHaveRun;
  scheduleAfter(Sim, drawDuration(Sim, SlowMillis), [&Sim, Attempt, Verdict] {
    notifyEntry(Sim, Attempt, Verdict, base::Reason::PeerLost);
  });
}

void deliverAttempt(Simulation &Sim, std::size_t Owner,
                    const core::AttemptFacts &Facts, base::Duration Delay) {
  std::uint64_t Incarnation = Sim.Nodes[Owner].Incarnation;
  scheduleAfter(Sim, Delay, [&Sim, Owner, Incarnation, Facts] {
    deliver(Sim, Owner, Incarnation, core::AttemptArrived{Facts});
  });
}

void countRun(Simulation &Sim, std::uint64_t Request) {
  ScheduledRequest &Scheduled = Sim.Requests[Request];
  ++Scheduled.Runs;
  ++Sim.Actions[Scheduled.Action].Runs;
  ++Sim.Result.Runs;
}

void endExchange(Simulation &Sim, std::size_t Owner, std::uint64_t Incarnation,
                 base::AttemptId Attempt,
                 const core::ExchangeOutcome &Outcome) {
  if (Sim.Nodes[Owner].Incarnation != Incarnation ||
      Sim.Nodes[Owner].Exchanges.erase(Attempt) == 0)
    return;
  deliver(Sim, Owner, Incarnation, core::ExchangeEnded{Attempt, Outcome});
}

std::string answerOf(const ScheduledRequest &Request) {
  return std::to_string(Request.Action) + ":" + std::to_string(Request.Body);
}

core::ExchangeOutcome failedExchange(base::Reason Reason, bool AnyByteSent) {
  core::ExchangeOutcome Outcome;
  Outcome.Reason = Reason;
  Outcome.AnyByteSent = AnyByteSent;
  return Outcome;
}

void completeExchange(Simulation &Sim, std::size_t Owner,
                      std::uint64_t Incarnation, base::AttemptId Attempt,
                      std::uint64_t Request) {
  if (Sim.Nodes[Owner].Incarnation == Incarnation)
    Sim.Nodes[Owner].Answers[Attempt] = answerOf(Sim.Requests[Request]);
  core::ExchangeOutcome Outcome;
  Outcome.AnyByteSent = true;
  Outcome.AnswerComplete = true;
  Outcome.Status = drawChance(Sim, 10) ? 500 : 200;
  Outcome.AnswerBytes = base::ByteCount{drawChance(Sim, 5) ? 100000U : 100U};
  endExchange(Sim, Owner, Incarnation, Attempt, Outcome);
}

void deliverStoreResult(Simulation &Sim, std::size_t To,
                        std::uint64_t Incarnation, base::CallId Call,
                        const core::CallStore &Request,
                        base::StoreResult Result) {
  bool HideFailure = (Sim.Defect == InjectedDefect::ReportUnknownAsDone &&
                      Result.Status == base::StoreStatus::Unknown) ||
                     (Sim.Defect == InjectedDefect::IgnoreCondition &&
                      Result.Status == base::StoreStatus::ConditionFailed);
  const auto *Writes = std::get_if<base::WriteRows>(&Request.Operation);
  if (HideFailure && Writes) {
    Result = base::StoreResult{base::StoreStatus::Done, {}, {}};
    for (const base::RowWrite &Row : Writes->Rows)
      Result.Rows.push_back(base::StoreRow{Row.Key, {}, "\"0\""});
  }
  deliver(Sim, To, Incarnation, core::StoreAnswered{Call, std::move(Result)});
}

// When a store call is applied and when it is answered. Either may not happen.
struct StoreCallPlan {
  bool Applied = true;
  base::Duration AppliedAfter;
  bool Answered = true; // else the call times out
  base::Duration AnsweredAfter;
};

StoreCallPlan planStoreCall(Simulation &Sim, bool Write,
                            base::Duration Timeout) {
  StoreCallPlan Plan;
  Plan.AppliedAfter = drawDuration(Sim, PromptMillis);
  Plan.AnsweredAfter = Plan.AppliedAfter + drawDuration(Sim, PromptMillis);
  if (drawChance(Sim, 75))
    return Plan;
  Plan.Answered = drawChance(Sim, 30);
  if (Plan.Answered) {
    Plan.AnsweredAfter = Timeout - base::milliseconds(1);
    return Plan;
  }
  Plan.Applied = Write && drawChance(Sim, 60);
  if (drawChance(Sim, 50))
    Plan.AppliedAfter = Timeout + drawDuration(Sim, LateMillis);
  return Plan;
}

} // namespace

// A refused connection shows that the attempt was not sent. A connection that
// breaks later shows nothing: the attempt may still arrive.
void startAttempt(Simulation &Sim, std::size_t From,
                  const core::StartAttempt &Start) {
  std::size_t Owner = findNode(Sim, Start.Owner);
  base::AttemptId Attempt = Start.Facts.Attempt;
  Sim.Attempts[Attempt] = AttemptOrigin{From, Sim.Nodes[From].Incarnation,
                                        Owner, Start.Facts.Request.Sequence};
  std::uint64_t Roll = base::uniformBelow(Sim.Random, 100);
  if (Roll < 70 || (Owner == From && Roll < 95))
    return deliverAttempt(Sim, Owner, Start.Facts,
                          drawDuration(Sim, PromptMillis));
  if (Roll < 80 || Owner == From)
    return deliverAttempt(Sim, Owner, Start.Facts,
                          drawDuration(Sim, SlowMillis));
  if (Roll < 85) {
    scheduleAfter(Sim, drawDuration(Sim, PromptMillis), [&Sim, Attempt] {
      notifyEntry(Sim, Attempt, base::Verdict::NotRun,
                  base::Reason::PeerUnavailable);
    });
    return;
  }
  if (Roll < 97)
    notifyPeerLost(Sim, Attempt);
  if (Roll >= 90)
    deliverAttempt(Sim, Owner, Start.Facts, drawDuration(Sim, LateMillis));
}

void cancelAttempt(Simulation &Sim, const core::CancelAttempt &Cancel) {
  const AttemptOrigin &Origin = Sim.Attempts.at(Cancel.Attempt);
  if (drawChance(Sim, 20))
    return;
  std::uint64_t Incarnation = Sim.Nodes[Origin.Owner].Incarnation;
  std::size_t Owner = Origin.Owner;
  scheduleAfter(
      Sim, drawDuration(Sim, drawChance(Sim, 80) ? PromptMillis : SlowMillis),
      [&Sim, Owner, Incarnation, Cancel] {
        deliver(Sim, Owner, Incarnation,
                core::AttemptCancelled{Cancel.Attempt});
      });
}

void endAttempt(Simulation &Sim, std::size_t From,
                const core::EndAttempt &End) {
  AttemptOrigin Origin = Sim.Attempts.at(End.Attempt);
  bool IsLocal = Origin.Entry == From;
  if (!IsLocal && drawChance(Sim, 5))
    return;
  if (!IsLocal && drawChance(Sim, 5))
    return notifyPeerLost(Sim, End.Attempt);
  bool HasAnswer = Sim.Nodes[From].Answers.contains(End.Attempt);
  if (End.Outcome.Verdict == base::Verdict::Ran && !HasAnswer)
    Sim.Result.Violations.push_back("ran without an answer");
  std::string Answer = Sim.Nodes[From].Answers[End.Attempt];
  core::AttemptEnded Ended{End.Attempt, End.Outcome};
  scheduleAfter(
      Sim, drawDuration(Sim, drawChance(Sim, 90) ? PromptMillis : SlowMillis),
      [&Sim, Origin, Ended, Answer] {
        ScheduledNode &Entry = Sim.Nodes[Origin.Entry];
        if (Entry.Incarnation == Origin.EntryIncarnation)
          Entry.Answers[Ended.Attempt] = Answer;
        deliver(Sim, Origin.Entry, Origin.EntryIncarnation, Ended);
      });
}

void startExchange(Simulation &Sim, std::size_t From,
                   const core::SendToBackend &Send) {
  base::AttemptId Attempt = Send.Attempt;
  ScheduledNode &Node = Sim.Nodes[From];
  std::uint64_t Incarnation = Node.Incarnation;
  std::uint64_t Request = Sim.Attempts.at(Attempt).Request;
  Node.Exchanges[Attempt] = {};
  std::uint64_t Roll = base::uniformBelow(Sim.Random, 100);
  auto End = [&Sim, From, Incarnation, Attempt](core::ExchangeOutcome Outcome) {
    scheduleAfter(Sim, drawDuration(Sim, PromptMillis),
                  [&Sim, From, Incarnation, Attempt, Outcome] {
                    endExchange(Sim, From, Incarnation, Attempt, Outcome);
                  });
  };
  if (Roll < 15)
    return End(failedExchange(base::Reason::BackendRefusedConnection, false));
  if (Roll < 20)
    return End(failedExchange(base::Reason::BackendReset, true));
  if (Roll < 25) // no response: the deadline ends the exchange
    return;
  bool Responds = Roll < 90;
  scheduleAfter(Sim, drawDuration(Sim, Roll < 75 ? PromptMillis : LateMillis),
                [&Sim, From, Incarnation, Attempt, Request, Responds, End] {
                  countRun(Sim, Request);
                  if (Responds)
                    completeExchange(Sim, From, Incarnation, Attempt, Request);
                  else
                    End(failedExchange(base::Reason::AnswerCutShort, true));
                });
}

// The request may still run after the cancellation. Its late answer is ignored.
void cancelExchange(Simulation &Sim, std::size_t From,
                    const core::CancelExchange &Cancel) {
  std::uint64_t Incarnation = Sim.Nodes[From].Incarnation;
  scheduleAfter(Sim, drawDuration(Sim, PromptMillis),
                [&Sim, From, Incarnation, Cancel] {
                  endExchange(Sim, From, Incarnation, Cancel.Attempt,
                              failedExchange(Cancel.Reason, true));
                });
}

void callStore(Simulation &Sim, std::size_t From, const core::CallStore &Call) {
  bool Write = std::holds_alternative<base::WriteRows>(Call.Operation);
  std::uint64_t Incarnation = Sim.Nodes[From].Incarnation;
  base::CallId Id = Call.Call;
  auto Answer = [&Sim, From, Incarnation, Id, Call](base::StoreResult Result) {
    deliverStoreResult(Sim, From, Incarnation, Id, Call, std::move(Result));
  };
  if (Sim.Now >= Sim.StoreOutageStart && Sim.Now < Sim.StoreOutageEnd) {
    scheduleAfter(Sim, drawDuration(Sim, PromptMillis),
                  [Answer] { Answer(base::StoreResult{}); });
    return;
  }
  StoreCallPlan Plan = planStoreCall(Sim, Write, Call.Timeout);
  auto Result = std::make_shared<base::StoreResult>();
  if (Plan.Applied)
    scheduleAfter(Sim, Plan.AppliedAfter, [&Sim, Result, Call] {
      *Result = base::applyOperation(Sim.Store, Call.Operation);
    });
  if (Plan.Answered) {
    scheduleAfter(Sim, Plan.AnsweredAfter,
                  [Answer, Result] { Answer(*Result); });
    return;
  }
  scheduleAfter(Sim, Call.Timeout, [Answer, Write] {
    base::StoreResult TimedOut;
    TimedOut.Status =
        Write ? base::StoreStatus::Unknown : base::StoreStatus::Unavailable;
    Answer(TimedOut);
  });
}

void reportLostPeer(Simulation &Sim, std::size_t Lost) {
  for (const auto &[Attempt, Origin] : Sim.Attempts)
    if (Origin.Owner == Lost && Origin.Entry != Lost && drawChance(Sim, 80))
      notifyPeerLost(Sim, Attempt);
}

} // namespace currantgauge::stand_ins::detail

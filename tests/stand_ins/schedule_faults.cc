#include "tests/stand_ins/schedule.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace currantgauge::stand_ins::detail {
namespace {

constexpr std::int64_t PromptMillis = 5;
constexpr std::int64_t SlowMillis = 500;
constexpr std::int64_t LateMillis = 3000;

std::size_t nodeNamed(const Simulation &In, const base::NodeName &Name) {
  for (std::size_t Index = 0; Index < In.Nodes.size(); ++Index)
    if (In.Nodes[Index].State.Self.Name == Name)
      return Index;
  return 0;
}

void tellEntry(Simulation &In, base::AttemptId Attempt, base::Verdict What,
               base::Reason Why) {
  const AttemptOrigin &Track = In.Attempts.at(Attempt);
  core::AttemptEnded Ended;
  Ended.Attempt = Attempt;
  Ended.Outcome.Verdict = What;
  Ended.Outcome.Reason = Why;
  deliver(In, Track.Entry, Track.EntryIncarnation, Ended);
}

// The entry learns that the peer is lost after it had sent its attempt.
void tellLost(Simulation &In, base::AttemptId Attempt) {
  base::Verdict What = In.Defect == InjectedDefect::ReportLostPeerAsNotRun
                           ? base::Verdict::NotRun
                           : base::Verdict::MayHaveRun;
  scheduleAfter(In, drawDuration(In, SlowMillis), [&In, Attempt, What] {
    tellEntry(In, Attempt, What, base::Reason::PeerLost);
  });
}

void arrive(Simulation &In, std::size_t Owner, const core::AttemptFacts &Facts,
            base::Duration Delay) {
  std::uint64_t Life = In.Nodes[Owner].Incarnation;
  scheduleAfter(In, Delay, [&In, Owner, Life, Facts] {
    deliver(In, Owner, Life, core::AttemptArrived{Facts});
  });
}

void run(Simulation &In, std::uint64_t Request) {
  ScheduledRequest &Ask = In.Requests[Request];
  ++Ask.Runs;
  ++In.Actions[Ask.Action].Runs;
  ++In.Result.Runs;
}

void endExchange(Simulation &In, std::size_t Owner, std::uint64_t Life,
                 base::AttemptId Attempt,
                 const core::ExchangeOutcome &Outcome) {
  if (In.Nodes[Owner].Incarnation != Life ||
      In.Nodes[Owner].Exchanges.erase(Attempt) == 0)
    return;
  deliver(In, Owner, Life, core::ExchangeEnded{Attempt, Outcome});
}

std::string answerOf(const ScheduledRequest &Ask) {
  return std::to_string(Ask.Action) + ":" + std::to_string(Ask.Body);
}

core::ExchangeOutcome failure(base::Reason Why, bool AnyByteSent) {
  core::ExchangeOutcome Outcome;
  Outcome.Reason = Why;
  Outcome.AnyByteSent = AnyByteSent;
  return Outcome;
}

void answerWhole(Simulation &In, std::size_t Owner, std::uint64_t Life,
                 base::AttemptId Attempt, std::uint64_t Request) {
  if (In.Nodes[Owner].Incarnation == Life)
    In.Nodes[Owner].Answers[Attempt] = answerOf(In.Requests[Request]);
  core::ExchangeOutcome Outcome;
  Outcome.AnyByteSent = true;
  Outcome.AnswerComplete = true;
  Outcome.Status = drawChance(In, 10) ? 500 : 200;
  Outcome.AnswerBytes = base::ByteCount{drawChance(In, 5) ? 100000U : 100U};
  endExchange(In, Owner, Life, Attempt, Outcome);
}

void answerStore(Simulation &In, std::size_t To, std::uint64_t Life,
                 base::CallId Call, const core::CallStore &Asked,
                 base::StoreResult Result) {
  bool Lie = (In.Defect == InjectedDefect::ReportUnknownAsDone &&
              Result.Status == base::StoreStatus::Unknown) ||
             (In.Defect == InjectedDefect::IgnoreCondition &&
              Result.Status == base::StoreStatus::ConditionFailed);
  const auto *Writes = std::get_if<base::WriteRows>(&Asked.Operation);
  if (Lie && Writes) {
    Result = base::StoreResult{base::StoreStatus::Done, {}, {}};
    for (const base::RowWrite &Row : Writes->Rows)
      Result.Rows.push_back(base::StoreRow{Row.Key, {}, "\"0\""});
  }
  deliver(In, To, Life, core::StoreAnswered{Call, std::move(Result)});
}

// How a store call goes: when it is applied and when it is answered, each
// perhaps never.
struct StoreFate {
  bool Applied = true;
  base::Duration AppliedAfter;
  bool Answered = true; // else the time limit answers
  base::Duration AnsweredAfter;
};

StoreFate storeFate(Simulation &In, bool Write, base::Duration Limit) {
  StoreFate Fate;
  Fate.AppliedAfter = drawDuration(In, PromptMillis);
  Fate.AnsweredAfter = Fate.AppliedAfter + drawDuration(In, PromptMillis);
  if (drawChance(In, 75))
    return Fate;
  Fate.Answered = drawChance(In, 30);
  if (Fate.Answered) {
    Fate.AnsweredAfter = Limit - base::milliseconds(1);
    return Fate;
  }
  Fate.Applied = Write && drawChance(In, 60);
  if (drawChance(In, 50))
    Fate.AppliedAfter = Limit + drawDuration(In, LateMillis);
  return Fate;
}

} // namespace

// A connection that is refused proves that nothing was sent; one that breaks
// later proves nothing, and the attempt may still arrive.
void startAttempt(Simulation &In, std::size_t From,
                  const core::StartAttempt &Start) {
  std::size_t Owner = nodeNamed(In, Start.Owner);
  base::AttemptId Attempt = Start.Facts.Attempt;
  In.Attempts[Attempt] = AttemptOrigin{From, In.Nodes[From].Incarnation, Owner,
                                       Start.Facts.Request.Sequence};
  std::uint64_t Roll = base::uniformBelow(In.Random, 100);
  if (Roll < 70 || (Owner == From && Roll < 95))
    return arrive(In, Owner, Start.Facts, drawDuration(In, PromptMillis));
  if (Roll < 80 || Owner == From)
    return arrive(In, Owner, Start.Facts, drawDuration(In, SlowMillis));
  if (Roll < 85) {
    scheduleAfter(In, drawDuration(In, PromptMillis), [&In, Attempt] {
      tellEntry(In, Attempt, base::Verdict::NotRun,
                base::Reason::PeerUnavailable);
    });
    return;
  }
  if (Roll < 97)
    tellLost(In, Attempt);
  if (Roll >= 90)
    arrive(In, Owner, Start.Facts, drawDuration(In, LateMillis));
}

void cancelAttempt(Simulation &In, const core::CancelAttempt &Cancel) {
  const AttemptOrigin &Track = In.Attempts.at(Cancel.Attempt);
  if (drawChance(In, 20))
    return;
  std::uint64_t Life = In.Nodes[Track.Owner].Incarnation;
  std::size_t Owner = Track.Owner;
  scheduleAfter(
      In, drawDuration(In, drawChance(In, 80) ? PromptMillis : SlowMillis),
      [&In, Owner, Life, Cancel] {
        deliver(In, Owner, Life, core::AttemptCancelled{Cancel.Attempt});
      });
}

void endAttempt(Simulation &In, std::size_t From, const core::EndAttempt &End) {
  AttemptOrigin Track = In.Attempts.at(End.Attempt);
  bool Local = Track.Entry == From;
  if (!Local && drawChance(In, 5))
    return;
  if (!Local && drawChance(In, 5))
    return tellLost(In, End.Attempt);
  bool HasAnswer = In.Nodes[From].Answers.contains(End.Attempt);
  if (End.Outcome.Verdict == base::Verdict::Ran && !HasAnswer)
    In.Result.Violations.push_back("ran without an answer");
  std::string Answer = In.Nodes[From].Answers[End.Attempt];
  core::AttemptEnded Ended{End.Attempt, End.Outcome};
  scheduleAfter(
      In, drawDuration(In, drawChance(In, 90) ? PromptMillis : SlowMillis),
      [&In, Track, Ended, Answer] {
        ScheduledNode &Entry = In.Nodes[Track.Entry];
        if (Entry.Incarnation == Track.EntryIncarnation)
          Entry.Answers[Ended.Attempt] = Answer;
        deliver(In, Track.Entry, Track.EntryIncarnation, Ended);
      });
}

void startExchange(Simulation &In, std::size_t From,
                   const core::SendToBackend &Send) {
  base::AttemptId Attempt = Send.Attempt;
  ScheduledNode &Node = In.Nodes[From];
  std::uint64_t Life = Node.Incarnation;
  std::uint64_t Request = In.Attempts.at(Attempt).Request;
  Node.Exchanges[Attempt] = {};
  std::uint64_t Roll = base::uniformBelow(In.Random, 100);
  auto End = [&In, From, Life, Attempt](core::ExchangeOutcome Outcome) {
    scheduleAfter(In, drawDuration(In, PromptMillis),
                  [&In, From, Life, Attempt, Outcome] {
                    endExchange(In, From, Life, Attempt, Outcome);
                  });
  };
  if (Roll < 15)
    return End(failure(base::Reason::BackendRefusedConnection, false));
  if (Roll < 20)
    return End(failure(base::Reason::BackendReset, true));
  if (Roll < 25) // silent: its deadline ends it
    return;
  bool Answers = Roll < 90;
  scheduleAfter(In, drawDuration(In, Roll < 75 ? PromptMillis : LateMillis),
                [&In, From, Life, Attempt, Request, Answers, End] {
                  run(In, Request);
                  if (Answers)
                    answerWhole(In, From, Life, Attempt, Request);
                  else
                    End(failure(base::Reason::AnswerCutShort, true));
                });
}

// What was sent may still run; its late answer reaches nobody.
void cancelExchange(Simulation &In, std::size_t From,
                    const core::CancelExchange &Cancel) {
  std::uint64_t Life = In.Nodes[From].Incarnation;
  scheduleAfter(In, drawDuration(In, PromptMillis), [&In, From, Life, Cancel] {
    endExchange(In, From, Life, Cancel.Attempt, failure(Cancel.Reason, true));
  });
}

void callStore(Simulation &In, std::size_t From, const core::CallStore &Call) {
  bool Write = std::holds_alternative<base::WriteRows>(Call.Operation);
  std::uint64_t Life = In.Nodes[From].Incarnation;
  base::CallId Id = Call.Call;
  auto Answer = [&In, From, Life, Id, Call](base::StoreResult Result) {
    answerStore(In, From, Life, Id, Call, std::move(Result));
  };
  if (In.Now >= In.StoreOutageStart && In.Now < In.StoreOutageEnd) {
    scheduleAfter(In, drawDuration(In, PromptMillis),
                  [Answer] { Answer(base::StoreResult{}); });
    return;
  }
  StoreFate Fate = storeFate(In, Write, Call.Timeout);
  auto Result = std::make_shared<base::StoreResult>();
  if (Fate.Applied)
    scheduleAfter(In, Fate.AppliedAfter, [&In, Result, Call] {
      *Result = base::applyOperation(In.Store, Call.Operation);
    });
  if (Fate.Answered) {
    scheduleAfter(In, Fate.AnsweredAfter,
                  [Answer, Result] { Answer(*Result); });
    return;
  }
  scheduleAfter(In, Call.Timeout, [Answer, Write] {
    base::StoreResult InDoubt;
    InDoubt.Status =
        Write ? base::StoreStatus::Unknown : base::StoreStatus::Unavailable;
    Answer(InDoubt);
  });
}

void reportLostPeer(Simulation &In, std::size_t Gone) {
  for (const auto &[Attempt, Track] : In.Attempts)
    if (Track.Owner == Gone && Track.Entry != Gone && drawChance(In, 80))
      tellLost(In, Attempt);
}

} // namespace currantgauge::stand_ins::detail

#include "currantgauge/core/owner.h"

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <variant>
#include <vector>

namespace currantgauge::core {
namespace {

const base::ServiceName Service("cutlist");

config::ConfigurationPtr sampleConfig() {
  auto *Config = new config::Configuration;
  Config->Services[Service].Name = Service;
  Config->Ranks[base::RankName("normal")].Name = base::RankName("normal");
  return config::ConfigurationPtr(Config);
}

void apply(State &Node, std::int64_t Millis, EventBody Body,
           EffectList &Effects) {
  Effects.clear();
  reduce(Node, Event{base::TimePoint{Millis * 1000}, {}, std::move(Body)},
         Effects);
}

BackendAnnounced announcement(routing::BackendPhase Phase) {
  BackendAnnounced Word;
  Word.Word.Name = base::BackendName("cutlist-1");
  Word.Word.Service = Service;
  Word.Word.Incarnation = base::Incarnation(1);
  Word.Word.Phase = Phase;
  return Word;
}

State nodeWithOneSlot() {
  NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Life = base::Incarnation(1);
  State Node = makeState(Self, 7);
  Node.Config.Current = sampleConfig();
  EffectList Effects;
  apply(Node, 1, announcement(routing::BackendPhase::Ready), Effects);
  return Node;
}

AttemptArrived attempt(std::uint64_t Sequence) {
  AttemptArrived Arrival;
  Arrival.Facts.Attempt = base::AttemptId{2, Sequence};
  Arrival.Facts.Service = Service;
  Arrival.Facts.Kind = base::KindName("read");
  Arrival.Facts.Rank = base::RankName("normal");
  Arrival.Facts.TimeLeft = base::milliseconds(500);
  return Arrival;
}

template <typename What> std::vector<What> all(const EffectList &Effects) {
  std::vector<What> Found;
  for (const Effect &Item : Effects)
    if (const What *One = std::get_if<What>(&Item))
      Found.push_back(*One);
  return Found;
}

BackendEnded ended(std::uint64_t Sequence, std::uint32_t Status) {
  BackendEnded Ended;
  Ended.Attempt = base::AttemptId{2, Sequence};
  Ended.Outcome.AnyByteSent = true;
  Ended.Outcome.AnswerWhole = true;
  Ended.Outcome.Status = Status;
  return Ended;
}

} // namespace

TEST_CASE("a cancelled attempt leaves its place in the queue at once") {
  State Node = nodeWithOneSlot();
  EffectList Effects;
  for (std::uint64_t Sequence : {1, 2, 3})
    apply(Node, 10, attempt(Sequence), Effects);
  CHECK(Node.Admission.Queues[Service].Length == 2);
  apply(Node, 11, AttemptCancelled{base::AttemptId{2, 2}}, Effects);
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.What == base::Verdict::NotRun);
  CHECK(Node.Admission.Queues[Service].Length == 1);
  apply(Node, 20, ended(1, 200), Effects);
  REQUIRE(all<SendToBackend>(Effects).size() == 1);
  CHECK(all<SendToBackend>(Effects)[0].Attempt.Sequence == 3);
}

TEST_CASE("a cancelled exchange frees its slot for the next") {
  State Node = nodeWithOneSlot();
  EffectList Effects;
  apply(Node, 10, attempt(1), Effects);
  apply(Node, 10, attempt(2), Effects);
  apply(Node, 11, AttemptCancelled{base::AttemptId{2, 1}}, Effects);
  REQUIRE(all<CancelBackend>(Effects).size() == 1);
  BackendEnded Ended = ended(1, 0);
  Ended.Outcome.AnswerWhole = false;
  Ended.Outcome.Why = base::Reason::CallerGone;
  apply(Node, 11, Ended, Effects);
  REQUIRE(all<SendToBackend>(Effects).size() == 1);
  CHECK(all<SendToBackend>(Effects)[0].Attempt.Sequence == 2);
  CHECK(Node.Routing.Servers.begin()->second.Running == 1);
}

TEST_CASE("what waited too long is refused before its deadline") {
  State Node = nodeWithOneSlot();
  EffectList Effects;
  apply(Node, 10, attempt(1), Effects);
  apply(Node, 110, ended(1, 200), Effects); // 100 ms of service time
  apply(Node, 200, attempt(2), Effects);
  apply(Node, 200, attempt(3), Effects);
  apply(Node, 600, TimerFired{}, Effects); // 700 less 100 of service time
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Attempt.Sequence == 3);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.What == base::Verdict::NotRun);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Why ==
        base::Reason::DeadlineTooShort);
  CHECK(all<CancelBackend>(Effects).empty());
  apply(Node, 700, TimerFired{}, Effects);
  CHECK(all<CancelBackend>(Effects).size() == 1);
}

TEST_CASE("a server that sheds load rests for its Retry-After") {
  State Node = nodeWithOneSlot();
  EffectList Effects;
  apply(Node, 10, attempt(1), Effects);
  apply(Node, 10, attempt(2), Effects);
  BackendEnded Shed = ended(1, 503);
  Shed.Outcome.RetryAfter = base::milliseconds(200);
  apply(Node, 20, Shed, Effects);
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Why == base::Reason::BackendShed);
  CHECK(all<SendToBackend>(Effects).empty());
  apply(Node, 220, TimerFired{}, Effects);
  CHECK(all<SendToBackend>(Effects).size() == 1);
}

TEST_CASE("what waits for a server that leaves is refused as not run") {
  State Node = nodeWithOneSlot();
  EffectList Effects;
  apply(Node, 10, attempt(1), Effects);
  apply(Node, 10, attempt(2), Effects);
  apply(Node, 11, announcement(routing::BackendPhase::Leaving), Effects);
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Attempt.Sequence == 2);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Why ==
        base::Reason::BackendLeaving);
  apply(Node, 12, attempt(3), Effects);
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Why == base::Reason::NoBackend);
}

} // namespace currantgauge::core

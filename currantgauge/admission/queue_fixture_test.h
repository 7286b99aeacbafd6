// One owner's queue and its attempts, for tests of what waits and what is
// refused.
//
//   QueueFixture Fixture = makeFixture(Length);
//   enqueueAttempt(Fixture, addAttempt(Fixture, "normal", "read", "w1"));
#ifndef CURRANTGAUGE_ADMISSION_QUEUE_FIXTURE_TEST_H
#define CURRANTGAUGE_ADMISSION_QUEUE_FIXTURE_TEST_H

#include "currantgauge/admission/queue.h"

#include <cstdint>
#include <map>
#include <string>

namespace currantgauge::admission {

inline constexpr std::uint32_t Slots = 4;
inline constexpr base::Duration ServiceTime = base::milliseconds(20);
inline const base::ServiceName Service("cutlist");

// QueueFixture is one owner's queue and the attempts that were added to it.
struct QueueFixture {
  config::Configuration Config;
  AdmissionState State;
  std::map<base::AttemptId, QueuedAttemptPtr> Attempts;
  std::uint64_t LastSequence = 0;
  base::TimePoint Now{1000000};
};

inline QueueFixture makeFixture(std::uint32_t Length) {
  QueueFixture Fixture;
  Fixture.Config.Services[Service].QueueLength = Length;
  std::uint32_t Order = 0;
  for (auto [Name, Share] :
       {std::pair("urgent", 50.0), std::pair("normal", 25.0),
        std::pair("lookup", 10.0)}) {
    config::RankSettings &Rank = Fixture.Config.Ranks[base::RankName(Name)];
    Rank.Order = Order++;
    Rank.Share = base::Percent{Share};
  }
  return Fixture;
}

inline QueuedAttempt &addAttempt(QueueFixture &Fixture, const std::string &Rank,
                                 const std::string &Kind,
                                 const std::string &Workspace,
                                 base::Duration TimeLeft = base::seconds(60)) {
  QueuedAttemptPtr Attempt(new QueuedAttempt);
  Attempt->Facts.Attempt = base::AttemptId{1, ++Fixture.LastSequence};
  Attempt->Facts.Service = Service;
  Attempt->Facts.Kind = base::KindName(Kind);
  Attempt->Facts.Rank = base::RankName(Rank);
  Attempt->Facts.Workspace = base::WorkspaceName(Workspace);
  Attempt->RankOrder = Fixture.Config.Ranks.at(Attempt->Facts.Rank).Order;
  Attempt->ArrivedAt = Fixture.Now;
  Attempt->Deadline = Fixture.Now + TimeLeft;
  Fixture.Attempts[Attempt->Facts.Attempt] = Attempt;
  return *Attempt;
}

inline EnqueueResult enqueueAttempt(QueueFixture &Fixture,
                                    QueuedAttempt &Attempt) {
  return enqueue(Fixture.State, Fixture.Config, Attempt, Slots, Fixture.Now);
}

// serveNext() starts the next attempt, as if a slot had just become free, and
// ends it after ServiceTime.
inline QueuedAttempt *serveNext(QueueFixture &Fixture) {
  QueuedAttempt *Next =
      peekNextToRun(Fixture.State, Service, Slots, Fixture.Now);
  if (!Next)
    return nullptr;
  dequeueToRun(Fixture.State, Fixture.Config, *Next, Fixture.Now);
  Next->StartedAt = Fixture.Now;
  core::AttemptOutcome Outcome;
  Outcome.Verdict = base::Verdict::Ran;
  finishRun(Fixture.State, *Next, Outcome, Fixture.Now + ServiceTime);
  Fixture.Now = Fixture.Now + ServiceTime / Slots;
  return Next;
}

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_QUEUE_FIXTURE_TEST_H

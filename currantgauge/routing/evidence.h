// An owner's evidence on one of its backend servers: sequential tests on how
// exchanges end and on the age of those that run.
//
//   noteStart(Evidence, Exchange, Now);
//   noteEnd(Evidence, Attempt, ExchangeEnd::Whole, true, Now);
//   if (suspicionOf(Evidence, Now).Level >= 1) ...
#ifndef CURRANTGAUGE_ROUTING_EVIDENCE_H
#define CURRANTGAUGE_ROUTING_EVIDENCE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/time_profile.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace currantgauge::routing {

// FalseAlarmSamples is the mean number of healthy exchanges of one server
// between two false alarms of one test: at least this many.
constexpr double FalseAlarmSamples = 2e7;

// FreshChecks is how many exchanges on new connections, running or possible,
// a server must have before its silent ones are left alone.
constexpr std::uint32_t FreshChecks = 4;

// SicknessTest is one alternative to a healthy server.
enum class SicknessTest { Stall, PartialStall, Slow, Failure };
constexpr std::size_t SicknessTestCount = 4;

// testName() returns the snake_case name used in status and logs.
std::string_view testName(SicknessTest Test);

// Exchange is one exchange with a backend server that runs.
struct Exchange {
  base::AttemptId Attempt;
  base::NodeName Entry;
  base::KindName Kind;
  base::TimePoint Started;
  bool Fresh = false; // surely on a new connection
  bool Idempotent = true;
  bool CancelAsked = false;
  bool Counts = true; // false: started during the cold start
};

// ExchangeEnd is what the end of an exchange says of the server.
enum class ExchangeEnd {
  Whole,           // a whole answer that is no failure
  Failed,          // the server failed it
  Censored,        // given up at its age: it would have run longer
  ConnectionFault, // the pooled connection failed it
  Nothing,         // load shedding, or the death of its process
};

// KindEvidence is the usual time of a kind of work at one server, and the
// bounds by which exchanges are judged.
struct KindEvidence {
  TimeHistogram Histogram;
  TimeBounds Bounds;
};

// TestScore is the sum of one test, in nats. Silent is the part that silent
// pooled connections would explain as well.
struct TestScore {
  double Firm = 0;
  double Silent = 0;
};

// ServerEvidence is what an owner knows of one of its backend servers.
struct ServerEvidence {
  std::array<TestScore, SicknessTestCount> Scores{};
  std::map<base::AttemptId, Exchange> Running;
  std::map<base::KindName, KindEvidence> Kinds;
  base::Incarnation Life;      // of the process that this is about
  double FailShare = 0;        // of recent exchanges
  double PeerFailShare = 0;    // median of the service's other servers
  double LateShare = 0;        // of recent exchanges, in bin 1 or later
  double PeerLateShare = 0;    // median of the service's other servers
  bool HasPeers = false;       // Bounds come from the service's other servers
  bool Alarmed = false;        // since the scores were last near zero
  std::uint32_t FreshLeft = 0; // exchanges to start on new connections
  base::TimePoint LastSample;
  base::TimePoint LastDeath;                         // of the server's process
  std::map<base::NodeName, base::TimePoint> Entries; // that sent work lately
  base::TimePoint BoundsAsOf;  // when they were last worked out
  base::TimePoint PublishedAt; // when the record last took this evidence
  base::TimePoint TimesPublishedAt;
};

// Suspicion is the strongest test: Level 0 (well) to 1 (sick).
struct Suspicion {
  double Level = 0;
  SicknessTest Test = SicknessTest::Stall;
};

// noteStart() adds a running exchange.
void noteStart(ServerEvidence &Evidence, const Exchange &Started);

// noteEnd() takes a running exchange's end into every test. Fresh says that it
// ran on a new connection.
void noteEnd(ServerEvidence &Evidence, base::AttemptId Attempt, ExchangeEnd How,
             bool Fresh, base::TimePoint Now);

// suspicionOf() weighs the ended and the running exchanges.
Suspicion suspicionOf(const ServerEvidence &Evidence, base::TimePoint Now);

// wantsFreshConnection() says that the next exchange should open a connection,
// so that a silent one isn't taken for a sick server.
bool wantsFreshConnection(const ServerEvidence &Evidence, base::TimePoint Now);

// silentExchanges() returns idempotent exchanges to cancel, so that free slots
// can show whether the server or its old connections are silent.
std::vector<base::AttemptId> silentExchanges(ServerEvidence &Evidence,
                                             std::uint32_t FreeSlots,
                                             base::TimePoint Now);

// fade() lets an alarm's evidence age while the server gets no work.
void fade(ServerEvidence &Evidence, base::TimePoint Now);

// isQuiet() says that no timer is needed for this server.
bool isQuiet(const ServerEvidence &Evidence);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_EVIDENCE_H

// An owner's evidence on one of its backend servers: sequential tests on how
// exchanges end and on the age of those that run.
//
//   noteExchangeStart(Evidence, Exchange, Now);
//   noteEnd(Evidence, Attempt, ExchangeResult::Whole, true, Now);
//   if (computeSuspicion(Evidence, Now).Level >= 1) ...
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

// MinFreshExchanges is how many exchanges on new connections, running or
// possible, a server must have before its silent ones are left alone.
constexpr std::uint32_t MinFreshExchanges = 4;

// FaultTest is one alternative to a healthy server.
enum class FaultTest { Stall, PartialStall, Slow, Failure };
constexpr std::size_t FaultTestCount = 4;

// testName() returns the snake_case name used in status and logs.
std::string_view testName(FaultTest Test);

// Exchange is one exchange with a backend server that runs.
struct Exchange {
  base::AttemptId Attempt;
  base::NodeName Entry;
  base::KindName Kind;
  base::TimePoint Started;
  bool FreshConnection = false; // surely on a new connection
  bool Idempotent = true;
  bool CancelRequested = false;
  bool CountsAsEvidence = true; // false: started during the cold start
};

// ExchangeResult is what the end of an exchange says of the server.
enum class ExchangeResult {
  Complete,        // a whole answer that is no failure
  Failed,          // the server failed it
  Censored,        // given up at its age: it would have run longer
  ConnectionFault, // the pooled connection failed it
  NoEvidence,      // load shedding, or the death of its process
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
  double Attributed = 0;
  double Ambiguous = 0;
};

// ServerEvidence is what an owner knows of one of its backend servers.
struct ServerEvidence {
  std::array<TestScore, FaultTestCount> Scores{};
  std::map<base::AttemptId, Exchange> Running;
  std::map<base::KindName, KindEvidence> Kinds;
  base::Incarnation Incarnation; // of the process that this is about
  double FailShare = 0;          // of recent exchanges
  double PeerFailShare = 0;      // median of the service's other servers
  double LateShare = 0;          // of recent exchanges, in bin 1 or later
  double PeerLateShare = 0;      // median of the service's other servers
  bool HasPeers = false;         // Bounds come from the service's other servers
  bool Alarmed = false;          // since the scores were last near zero
  std::uint32_t FreshExchangesLeft = 0; // exchanges to start on new connections
  base::TimePoint LastSample;
  base::TimePoint LastProcessDeath; // of the server's process
  std::map<base::NodeName, base::TimePoint>
      RecentEntries;               // that sent work lately
  base::TimePoint BoundsUpdatedAt; // when they were last worked out
  base::TimePoint PublishedAt;     // when the record last took this evidence
  base::TimePoint TimesPublishedAt;
};

// Suspicion is the strongest test: Level 0 (well) to 1 (sick).
struct Suspicion {
  double Level = 0;
  FaultTest Test = FaultTest::Stall;
};

// noteExchangeStart() adds a running exchange.
void noteExchangeStart(ServerEvidence &Evidence, const Exchange &Started);

// noteEnd() takes a running exchange's end into every test. Fresh says that it
// ran on a new connection.
void noteExchangeEnd(ServerEvidence &Evidence, base::AttemptId Attempt,
                     ExchangeResult Result, bool FreshConnection,
                     base::TimePoint Now);

// computeSuspicion() weighs the ended and the running exchanges.
Suspicion computeSuspicion(const ServerEvidence &Evidence, base::TimePoint Now);

// needsFreshConnection() says that the next exchange should open a connection,
// so that a silent one isn't taken for a sick server.
bool needsFreshConnection(const ServerEvidence &Evidence, base::TimePoint Now);

// selectExchangesToCancel() returns idempotent exchanges to cancel, so that
// free slots can show whether the server or its old connections are silent.
std::vector<base::AttemptId> selectExchangesToCancel(ServerEvidence &Evidence,
                                                     std::uint32_t FreeSlots,
                                                     base::TimePoint Now);

// fade() lets an alarm's evidence age while the server gets no work.
void decayEvidence(ServerEvidence &Evidence, base::TimePoint Now);

// isIdle() says that no timer is needed for this server.
bool isIdle(const ServerEvidence &Evidence);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_EVIDENCE_H

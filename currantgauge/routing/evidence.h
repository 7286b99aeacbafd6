// An owner's evidence on the health of one of its backend servers: sequential
// tests on the results of ended exchanges and on the age of running ones.
//
//   noteExchangeStart(Evidence, Started);
//   noteExchangeEnd(Evidence, Attempt, ExchangeResult::Complete, true, Now);
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

// FalseAlarmSamples is a lower bound on the mean number of exchanges between
// two false alarms of one test on a healthy server.
constexpr double FalseAlarmSamples = 2e7;

// MinFreshExchanges is the number of exchanges on new connections, running or
// possible in free slots, below which exchanges on silent pooled connections
// are cancelled.
constexpr std::uint32_t MinFreshExchanges = 4;

// FaultTest is a fault that a sequential test checks against the hypothesis of
// a healthy server.
enum class FaultTest { Stall, PartialStall, Slow, Failure };
constexpr std::size_t FaultTestCount = 4;

// testName() returns the snake_case name for status and logs.
std::string_view testName(FaultTest Test);

// Exchange is a running exchange with a backend server.
struct Exchange {
  base::AttemptId Attempt;
  base::NodeName Entry;
  base::KindName Kind;
  base::TimePoint StartedAt;
  bool FreshConnection = false; // known to use a new connection
  bool Idempotent = true;
  bool CancelRequested = false;
  bool CountsAsEvidence = true; // false: started during the cold start
};

// ExchangeResult classifies the end of an exchange as evidence on the server.
enum class ExchangeResult {
  Complete,        // a complete answer that is no failure
  Failed,          // failed by the server
  Censored,        // abandoned: its full duration is longer but unknown
  ConnectionFault, // failed by its pooled connection
  NoEvidence,      // load shedding, or a repeated sign of one crash
};

// KindEvidence holds the observed times of a kind of work at one server, and
// the bounds that classify its exchanges.
struct KindEvidence {
  TimeHistogram Histogram;
  TimeBounds Bounds;
};

// TestScore is the CUSUM score of one test, in nats. Attributed is the part
// that only the server can explain, Ambiguous the part that silent pooled
// connections could explain as well.
struct TestScore {
  double Attributed = 0;
  double Ambiguous = 0;
};

// ServerEvidence is an owner's evidence on one incarnation of a backend server.
struct ServerEvidence {
  std::array<TestScore, FaultTestCount> Scores{};
  std::map<base::AttemptId, Exchange> Running;
  std::map<base::KindName, KindEvidence> Kinds;
  base::Incarnation Incarnation;    // of the observed process
  double FailShare = 0;             // of recent exchanges
  double OtherServersFailShare = 0; // median of the service's other servers
  double LateShare = 0;             // of recent exchanges, from tail bin 1 on
  double OtherServersLateShare = 0; // median of the service's other servers
  bool HasOtherServers = false;     // some Bounds come from other servers
  bool Alarmed = false;             // since the scores were last negligible
  std::uint32_t FreshExchangesLeft = 0; // to start on new connections
  base::TimePoint LastSample;
  base::TimePoint LastCrashAt; // first sign of the last suspected crash
  std::map<base::NodeName, base::TimePoint> RecentEntries; // last attempt
  base::TimePoint BoundsUpdatedAt; // last computation of Bounds
  base::TimePoint PublishedAt;     // last update of the record's suspicion
  base::TimePoint TimesPublishedAt;
};

// Suspicion is how strongly the evidence speaks against a server: the highest
// score of a test, as a Level from 0 (healthy) to 1 (alarm), and that test.
struct Suspicion {
  double Level = 0;
  FaultTest Test = FaultTest::Stall;
};

// noteExchangeStart() records the start of an exchange.
void noteExchangeStart(ServerEvidence &Evidence, const Exchange &Started);

// noteExchangeEnd() updates the tests with the end of a running exchange.
// FreshConnection says that it ran on a new connection; it is ignored for
// Censored, where only what was known at the start counts.
void noteExchangeEnd(ServerEvidence &Evidence, base::AttemptId Attempt,
                     ExchangeResult Result, bool FreshConnection,
                     base::TimePoint Now);

// computeSuspicion() combines the scores of ended and running exchanges.
Suspicion computeSuspicion(const ServerEvidence &Evidence, base::TimePoint Now);

// needsFreshConnection() returns whether the next exchange should open a new
// connection, so that a silent pooled connection isn't taken for a faulty
// server.
bool needsFreshConnection(const ServerEvidence &Evidence, base::TimePoint Now);

// selectExchangesToCancel() returns idempotent exchanges on silent pooled
// connections that the caller must cancel, oldest first, and marks them. It
// returns none while the suspicion is low, or while MinFreshExchanges or more
// run on new connections or could start in free slots. Exchanges on new
// connections in the freed slots show whether the server or just its old
// connections are silent.
std::vector<base::AttemptId> selectExchangesToCancel(ServerEvidence &Evidence,
                                                     std::uint32_t FreeSlots,
                                                     base::TimePoint Now);

// decayEvidence() decays the scores after an alarm while the server runs no
// exchange.
void decayEvidence(ServerEvidence &Evidence, base::TimePoint Now);

// isIdle() returns whether no exchange runs and no alarm is left to decay.
bool isIdle(const ServerEvidence &Evidence);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_EVIDENCE_H

#include "currantgauge/actions/quarantine.h"

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <variant>

namespace currantgauge::actions {
namespace {

constexpr base::Fingerprint Fingerprint{77};

core::State makeNode() {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(1);
  core::State Node = core::makeState(Self, 1);
  Node.WallTime = base::UnixTime{1000};
  return Node;
}

void announce(core::State &Node, const char *Server,
              std::uint64_t Incarnation) {
  core::BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName(Server);
  Announced.Announcement.Incarnation = base::Incarnation(Incarnation);
  core::EffectList Effects;
  core::reduce(Node, core::Event{Node.Now, Node.WallTime, Announced}, Effects);
}

core::AttemptOutcome breakConnection(core::State &Node, const char *Server,
                                     bool AnyByteSent = true) {
  if (!Node.Routing.Servers.contains(base::BackendName(Server)))
    announce(Node, Server, 1);
  admission::QueuedAttempt Attempt;
  Attempt.Facts.Fingerprint = Fingerprint;
  Attempt.Server = base::BackendName(Server);
  core::ExchangeOutcome Exchange;
  Exchange.SuspectedCrash = true;
  Exchange.AnyByteSent = AnyByteSent;
  core::AttemptOutcome Outcome;
  core::EffectList Effects;
  detectServerCrash(Node, Attempt, Exchange, Outcome, Effects);
  return Outcome;
}

// crashServer() lets the server's process crash during the request and restart.
core::AttemptOutcome crashServer(core::State &Node, const char *Server) {
  core::AttemptOutcome Outcome = breakConnection(Node, Server);
  std::uint64_t Incarnation = Node.Routing.Servers.at(base::BackendName(Server))
                                  .Record.Incarnation.Value;
  announce(Node, Server, Incarnation + 1);
  return Outcome;
}

} // namespace

TEST_CASE(
    "a request is quarantined after two different servers crashed on it") {
  core::State Node = makeNode();
  core::AttemptOutcome First = crashServer(Node, "s1");
  CHECK(First.ServerCrashed);
  CHECK_FALSE(First.RequestAtFault);
  crashServer(Node, "s1");
  CHECK_FALSE(isQuarantined(Node.Actions, Fingerprint));
  CHECK(crashServer(Node, "s2").RequestAtFault);
  CHECK(isQuarantined(Node.Actions, Fingerprint));
  CHECK(listQuarantine(Node.Actions).Tables[0].Rows[0].back() == "quarantined");
}

// BUDGET: a request crashed the only server of its service each time that the
// server had started again, as a server was counted once.
TEST_CASE("a request is quarantined after one server crashed on it three "
          "times") {
  core::State Node = makeNode();
  crashServer(Node, "s1");
  crashServer(Node, "s1");
  CHECK_FALSE(isQuarantined(Node.Actions, Fingerprint));
  crashServer(Node, "s1");
  CHECK(isQuarantined(Node.Actions, Fingerprint));
}

TEST_CASE("two broken connections to one process are one crash") {
  core::State Node = makeNode();
  crashServer(Node, "s1");
  breakConnection(Node, "s1");
  breakConnection(Node, "s1");
  announce(Node, "s1", 3);
  CHECK(Node.Actions.Quarantine.at(Fingerprint).Crashes.size() == 2);
  CHECK_FALSE(isQuarantined(Node.Actions, Fingerprint));
}

TEST_CASE("a crash before a byte was sent is no evidence against the request") {
  core::State Node = makeNode();
  CHECK_FALSE(breakConnection(Node, "s1", false).ServerCrashed);
  announce(Node, "s1", 2);
  CHECK(Node.Actions.Quarantine.empty());
}

TEST_CASE("a broken connection to a server that keeps running is no evidence") {
  core::State Node = makeNode();
  for (const char *Server : {"s1", "s2", "s3"}) {
    breakConnection(Node, Server);
    Node.Now = Node.Now + base::seconds(1);
    announce(Node, Server, 1);
  }
  CHECK(Node.Actions.Quarantine.empty());
  CHECK(Node.Actions.CrashHints.empty());
}

TEST_CASE(
    "a server that is gone after its connection broke counts as crashed") {
  core::State Node = makeNode();
  for (const char *Server : {"s1", "s2"})
    breakConnection(Node, Server);
  core::EffectList Effects;
  confirmCrashesOfGoneServers(Node, Effects);
  CHECK_FALSE(isQuarantined(Node.Actions, Fingerprint));
  for (auto &[Name, Server] : Node.Routing.Servers)
    Server.Record.Phase = routing::BackendPhase::Gone;
  confirmCrashesOfGoneServers(Node, Effects);
  CHECK(isQuarantined(Node.Actions, Fingerprint));
}

TEST_CASE("a complete response between two crashes clears a suspicion") {
  core::State Node = makeNode();
  crashServer(Node, "s1");
  clearSuspicion(Node, Fingerprint);
  crashServer(Node, "s2");
  CHECK_FALSE(isQuarantined(Node.Actions, Fingerprint));
  crashServer(Node, "s3");
  CHECK(isQuarantined(Node.Actions, Fingerprint));
  clearSuspicion(Node, Fingerprint);
  CHECK(isQuarantined(Node.Actions, Fingerprint));
}

TEST_CASE("an operator clears a quarantine and crashes are counted anew") {
  core::State Node = makeNode();
  crashServer(Node, "s1");
  crashServer(Node, "s2");
  base::UnixTime Since = Node.Actions.Quarantine.at(Fingerprint).Since;
  CHECK(clearQuarantine(Node, base::Fingerprint(1)).Error != "");
  CHECK(clearQuarantine(Node, Fingerprint).Error.empty());
  CHECK_FALSE(isQuarantined(Node.Actions, Fingerprint));
  crashServer(Node, "s1");
  CHECK_FALSE(isQuarantined(Node.Actions, Fingerprint));
  CHECK(Node.Actions.Quarantine.at(Fingerprint).Since > Since);
  crashServer(Node, "s2");
  CHECK(isQuarantined(Node.Actions, Fingerprint));
}

TEST_CASE("fingerprints distinguish requests by their content") {
  core::RequestFacts Facts;
  Facts.Method = "GET";
  Facts.Path = "/lists/7";
  config::KindSettings Kind;
  Kind.Name = base::KindName("read");
  base::Fingerprint Seven = fingerprintOf(Facts, Kind);
  CHECK(fingerprintOf(Facts, Kind) == Seven);
  Facts.Path = "/lists/8";
  CHECK(fingerprintOf(Facts, Kind) != Seven);
}

TEST_CASE("unconfirmed suspicions expire") {
  core::State Node = makeNode();
  crashServer(Node, "s1");
  Node.WallTime.Millis += base::toMillis(base::minutes(11));
  eraseOldQuarantine(Node);
  CHECK(Node.Actions.Quarantine.empty());
}

} // namespace currantgauge::actions

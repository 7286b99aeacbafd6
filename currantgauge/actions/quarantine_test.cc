#include "currantgauge/actions/quarantine.h"

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <variant>

namespace currantgauge::actions {
namespace {

constexpr base::Fingerprint Print{77};

core::State makeNode() {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Life = base::Incarnation(1);
  core::State Node = core::makeState(Self, 1);
  Node.Wall = base::UnixTime{1000};
  return Node;
}

void announce(core::State &Node, const char *Server, std::uint64_t Life) {
  core::BackendAnnounced Announced;
  Announced.Word.Name = base::BackendName(Server);
  Announced.Word.Life = base::Incarnation(Life);
  core::EffectList Effects;
  core::reduce(Node, core::Event{Node.Now, Node.Wall, Announced}, Effects);
}

core::AttemptOutcome breakOn(core::State &Node, const char *Server,
                             bool AnyByteSent = true) {
  if (!Node.Routing.Servers.contains(base::BackendName(Server)))
    announce(Node, Server, 1);
  admission::QueuedAttempt Attempt;
  Attempt.Facts.Print = Print;
  Attempt.Server = base::BackendName(Server);
  core::BackendOutcome Seen;
  Seen.ProcessDied = true;
  Seen.AnyByteSent = AnyByteSent;
  core::AttemptOutcome Outcome;
  core::EffectList Effects;
  detectServerCrash(Node, Attempt, Seen, Outcome, Effects);
  return Outcome;
}

// The server's process dies with the request and starts again.
core::AttemptOutcome dieOn(core::State &Node, const char *Server) {
  core::AttemptOutcome Outcome = breakOn(Node, Server);
  std::uint64_t Life =
      Node.Routing.Servers.at(base::BackendName(Server)).Record.Life.Value;
  announce(Node, Server, Life + 1);
  return Outcome;
}

} // namespace

TEST_CASE("a request is quarantined after two different servers died with it") {
  core::State Node = makeNode();
  core::AttemptOutcome First = dieOn(Node, "s1");
  CHECK(First.ServerDied);
  CHECK_FALSE(First.RequestAtFault);
  dieOn(Node, "s1");
  CHECK_FALSE(isQuarantined(Node.Actions, Print));
  CHECK(dieOn(Node, "s2").RequestAtFault);
  CHECK(isQuarantined(Node.Actions, Print));
  CHECK(listQuarantine(Node.Actions).Tables[0].Rows[0].back() == "quarantined");
}

TEST_CASE("a server that died before a byte was sent proves nothing") {
  core::State Node = makeNode();
  CHECK_FALSE(breakOn(Node, "s1", false).ServerDied);
  announce(Node, "s1", 2);
  CHECK(Node.Actions.Quarantine.empty());
}

TEST_CASE("a broken connection to a server that lives on proves nothing") {
  core::State Node = makeNode();
  for (const char *Server : {"s1", "s2", "s3"}) {
    breakOn(Node, Server);
    Node.Now = Node.Now + base::seconds(1);
    announce(Node, Server, 1);
  }
  CHECK(Node.Actions.Quarantine.empty());
  CHECK(Node.Actions.CrashHints.empty());
}

TEST_CASE("a server that falls silent after its connection broke has died") {
  core::State Node = makeNode();
  for (const char *Server : {"s1", "s2"})
    breakOn(Node, Server);
  core::EffectList Effects;
  confirmCrashesOfGoneServers(Node, Effects);
  CHECK_FALSE(isQuarantined(Node.Actions, Print));
  for (auto &[Name, Server] : Node.Routing.Servers)
    Server.Record.Phase = routing::BackendPhase::Gone;
  confirmCrashesOfGoneServers(Node, Effects);
  CHECK(isQuarantined(Node.Actions, Print));
}

TEST_CASE("a whole answer between two deaths clears a popular request") {
  core::State Node = makeNode();
  dieOn(Node, "s1");
  clearSuspicion(Node, Print);
  dieOn(Node, "s2");
  CHECK_FALSE(isQuarantined(Node.Actions, Print));
  dieOn(Node, "s3");
  CHECK(isQuarantined(Node.Actions, Print));
  clearSuspicion(Node, Print);
  CHECK(isQuarantined(Node.Actions, Print));
}

TEST_CASE("an operator clears a quarantine and later deaths start anew") {
  core::State Node = makeNode();
  dieOn(Node, "s1");
  dieOn(Node, "s2");
  base::UnixTime Since = Node.Actions.Quarantine.at(Print).Since;
  CHECK(clearQuarantine(Node, base::Fingerprint(1)).Error != "");
  CHECK(clearQuarantine(Node, Print).Error.empty());
  CHECK_FALSE(isQuarantined(Node.Actions, Print));
  dieOn(Node, "s1");
  CHECK_FALSE(isQuarantined(Node.Actions, Print));
  CHECK(Node.Actions.Quarantine.at(Print).Since > Since);
  dieOn(Node, "s2");
  CHECK(isQuarantined(Node.Actions, Print));
}

TEST_CASE("fingerprints tell requests apart by what they ask for") {
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

TEST_CASE("suspicions that nothing confirmed are forgotten") {
  core::State Node = makeNode();
  dieOn(Node, "s1");
  Node.Wall.Millis += base::toMillis(base::minutes(11));
  eraseOldQuarantine(Node);
  CHECK(Node.Actions.Quarantine.empty());
}

} // namespace currantgauge::actions

// Tests requests of callers that are identified by keys, from their arrival at
// the entry to the request to the backend server.
#include "currantgauge/config/document.h"
#include "currantgauge/core/events_test.h"
#include "currantgauge/core/reduce.h"
#include "currantgauge/identity/key_hash.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>

namespace currantgauge::core {
namespace {

const std::string Base =
    "fleet: {callers: by_key}\n"
    "services:\n  cutlist: {}\n"
    "ranks:\n  normal: {order: 1, deadline: 2s}\n  urgent: {order: 0}\n"
    "kinds:\n  read: {service: cutlist, rank: normal, worth: 3}\n"
    "routes:\n  lists: {prefix: /lists/, kind: read}\n"
    "  open: {prefix: /open/, kind: read, public: true}\n";

const std::string Workspaces = "workspaces:\n  depot: {keys: k-1, rank: urgent}"
                               "\n  yard: {keys: k-2}\n";

// KeyNode is a node with one backend server, both entry and owner.
struct KeyNode {
  State Node;
  EffectList Effects;
  std::uint64_t Requests = 0;

  KeyNode() {
    NodeIdentity Self;
    Self.Name = base::NodeName("a");
    Self.Incarnation = base::Incarnation(1);
    this->Node = makeState(Self, 7);
    BackendAnnounced Announced;
    Announced.Announcement.Name = base::BackendName("cutlist-1");
    Announced.Announcement.Service = base::ServiceName("cutlist");
    Announced.Announcement.Address = base::NetAddress("127.0.0.1:1");
    Announced.Announcement.Incarnation = base::Incarnation(1);
    this->post(Announced);
  }

  void configure(const std::string &Text) {
    config::SettingsErrors Errors;
    this->Node.Config.Current = config::parseDocument(Text, "test", Errors);
    REQUIRE(Errors.empty());
  }

  void post(const EventBody &Body) {
    reduce(this->Node, Event{base::TimePoint{1000}, {}, Body}, this->Effects);
  }

  // Replaces Effects by those of a request with this key.
  void request(const std::string &Path, const std::string &Key) {
    RequestArrived Arrival = makeRequest(++this->Requests);
    Arrival.Facts.Path = Path;
    Arrival.Facts.Workspace = base::WorkspaceName("named-by-the-caller");
    Arrival.Facts.Key = identity::hashKey(Key);
    this->Effects.clear();
    this->post(Arrival);
  }

  base::Reason reasonOf(const std::string &Path, const std::string &Key) {
    this->request(Path, Key);
    const RefuseRequest *Refusal = find<RefuseRequest>(this->Effects);
    if (!Refusal)
      return base::Reason::None;
    CHECK(Refusal->Verdict == base::Verdict::NotRun);
    CHECK_FALSE(find<StartAttempt>(this->Effects));
    return Refusal->Reason;
  }
};

// Returns the texts of all log lines and metrics.
std::string listTelemetry(const EffectList &Effects) {
  std::string Text;
  for (const Effect &Item : Effects) {
    if (const auto *Line = std::get_if<LogLine>(&Item))
      for (const auto &[Name, Value] : Line->Fields)
        Text += Name + "=" + Value + "\n";
    if (const auto *Sample = std::get_if<Measure>(&Item))
      Text += Sample->LabelValueA + " " + Sample->LabelValueB + "\n";
  }
  return Text;
}

} // namespace

TEST_CASE("the workspace of the key reaches the owner and the server") {
  KeyNode Fixture;
  Fixture.configure(Base + Workspaces);
  Fixture.request("/lists/7", "k-1");
  const StartAttempt *Start = find<StartAttempt>(Fixture.Effects);
  REQUIRE(Start);
  CHECK(Start->Facts.Workspace.Value == "depot");
  CHECK(Start->Facts.Rank.Value == "urgent");
  CHECK(Start->Facts.Worth == 3);
  AttemptArrived AtOwner{Start->Facts};
  Fixture.Effects.clear();
  Fixture.post(AtOwner);
  const SendToBackend *Send = find<SendToBackend>(Fixture.Effects);
  REQUIRE(Send);
  CHECK(Send->Workspace.Value == "depot");
}

TEST_CASE("a request of a public route is sent without a workspace") {
  KeyNode Fixture;
  Fixture.configure(Base + Workspaces);
  Fixture.request("/open/7", "k-1");
  const StartAttempt *Start = find<StartAttempt>(Fixture.Effects);
  REQUIRE(Start);
  CHECK(Start->Facts.Workspace.empty());
  CHECK(Start->Facts.Rank.Value == "normal");
}

TEST_CASE("a request with an unknown key is refused before any attempt") {
  KeyNode Fixture;
  Fixture.configure(Base + Workspaces);
  CHECK(Fixture.reasonOf("/lists/7", "k-3") == base::Reason::UnknownKey);
  CHECK(Fixture.reasonOf("/lists/7", "") == base::Reason::UnknownKey);
  CHECK(Fixture.reasonOf("/nowhere/7", "k-3") == base::Reason::NoRoute);
  CHECK(Fixture.Node.Entry.Requests.empty());
}

TEST_CASE("without a configuration, a request is refused for that and not for "
          "its key") {
  KeyNode Fixture;
  CHECK(Fixture.reasonOf("/lists/7", "k-1") == base::Reason::NoConfiguration);
  CHECK(Fixture.reasonOf("/lists/7", "") == base::Reason::NoConfiguration);
}

TEST_CASE("a key that was taken away is refused from the next request on") {
  KeyNode Fixture;
  Fixture.configure(Base + Workspaces);
  CHECK(Fixture.reasonOf("/lists/7", "k-1") == base::Reason::None);
  Fixture.configure(Base + "workspaces:\n  depot: {keys: k-4}\n"
                           "  yard: {keys: k-2}\n");
  CHECK(Fixture.reasonOf("/lists/7", "k-1") == base::Reason::UnknownKey);
  CHECK(Fixture.reasonOf("/lists/7", "k-2") == base::Reason::None);
  CHECK(Fixture.reasonOf("/lists/7", "k-4") == base::Reason::None);
  // Without workspaces, keys are still required.
  Fixture.configure(Base);
  CHECK(Fixture.reasonOf("/lists/7", "k-4") == base::Reason::UnknownKey);
  CHECK(Fixture.reasonOf("/lists/7", "") == base::Reason::UnknownKey);
  CHECK(Fixture.reasonOf("/open/7", "") == base::Reason::None);
}

TEST_CASE("logs and metrics show neither a key nor its hash") {
  KeyNode Fixture;
  Fixture.configure(Base + Workspaces);
  for (const char *Key : {"k-1", "k-3"}) {
    std::string Text;
    for (int Count = 0; Count < 100; ++Count) {
      Fixture.request("/lists/7", Key);
      Text += listTelemetry(Fixture.Effects);
    }
    std::string Hash =
        identity::formatKeyHash(identity::hashKey(Key)).substr(7, 8);
    CHECK_FALSE(Text.empty());
    CHECK(Text.find(Key) == std::string::npos);
    CHECK(Text.find(Hash) == std::string::npos);
  }
}

} // namespace currantgauge::core

// Routes whose requests are split over several services.
#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::core {
namespace {

const base::KindName TestKind("read");
const base::RankName TestRank("normal");
const base::ServiceName Stable("cutlist");
const base::ServiceName Canary("cutlist-next");
constexpr std::uint32_t ManySlots = 10000;
constexpr std::uint32_t RequestCount = 2000;
constexpr double Tolerance = 0.05; // of a part's share

// makeConfig() returns a configuration with a split route at /split/, by the
// given weights, and one of the same kind that isn't split at /plain/.
config::ConfigurationPtr makeConfig(std::uint32_t StableWeight,
                                    std::uint32_t CanaryWeight) {
  auto *Config = new config::Configuration;
  for (const base::ServiceName &Service : {Stable, Canary})
    Config->Services[Service].Name = Service;
  config::KindSettings &Read = Config->Kinds[TestKind];
  Read.Name = TestKind;
  Read.Service = Stable;
  Read.Rank = TestRank;
  Read.Deadline = base::milliseconds(500);
  Config->Ranks[TestRank].Name = TestRank;
  config::RouteSettings Split{"split", "", "/split/", TestKind};
  Split.Split = {{Stable, StableWeight}, {Canary, CanaryWeight}};
  Config->Routes["split"] = Split;
  Config->Routes["plain"] =
      config::RouteSettings{"plain", "", "/plain/", TestKind};
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

void announce(State &Node, const base::ServiceName &Service,
              std::uint32_t Slots) {
  BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName(Service.Value + "-1");
  Announced.Announcement.Service = Service;
  Announced.Announcement.Incarnation = base::Incarnation(1);
  Announced.Announcement.Slots = Slots;
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{1000}, {}, Announced}, Effects);
}

State makeNode(const config::ConfigurationPtr &Config,
               std::uint32_t CanarySlots) {
  NodeIdentity Identity;
  Identity.Name = base::NodeName("a");
  Identity.Incarnation = base::Incarnation(1);
  State Node = makeState(Identity, 7);
  Node.Config.Current = Config;
  announce(Node, Stable, ManySlots);
  if (CanarySlots > 0)
    announce(Node, Canary, CanarySlots);
  return Node;
}

// SplitCounts are the attempts of the requests by service, and the requests
// that were refused at once.
struct SplitCounts {
  std::map<base::ServiceName, std::uint32_t> Placed;
  std::uint32_t Refused = 0;
};

// sendRequests() sends RequestCount requests, which none of the servers
// answers, and hands the attempts to the node as their owner.
SplitCounts sendRequests(State &Node, const std::string &Path) {
  SplitCounts Counts;
  for (std::uint32_t I = 0; I < RequestCount; ++I) {
    RequestArrived Arrival;
    Arrival.Facts.Request = base::RequestId{1, Node.LastCallId + I + 1};
    Arrival.Facts.Method = "GET";
    Arrival.Facts.Path = Path;
    EffectList Effects;
    reduce(Node, Event{base::TimePoint{2000}, {}, Arrival}, Effects);
    std::vector<AttemptFacts> Started;
    for (const Effect &Item : Effects) {
      if (const auto *Start = std::get_if<StartAttempt>(&Item))
        Started.push_back(Start->Facts);
      Counts.Refused += std::holds_alternative<RefuseRequest>(Item) ? 1 : 0;
    }
    for (const AttemptFacts &Facts : Started) {
      ++Counts.Placed[Facts.Service];
      EffectList Ignored;
      reduce(Node, Event{base::TimePoint{2000}, {}, AttemptArrived{Facts}},
             Ignored);
    }
  }
  return Counts;
}

RequestArrived makeSplitRequest(std::uint64_t Sequence) {
  RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sequence};
  Arrival.Facts.Method = "GET";
  Arrival.Facts.Path = "/split/1";
  return Arrival;
}

// makeRejection() returns the end of an exchange that the server didn't run.
ExchangeEnded makeRejection(base::AttemptId Attempt) {
  ExchangeEnded Ended;
  Ended.Attempt = Attempt;
  Ended.Outcome.AnyByteSent = true;
  Ended.Outcome.AnswerComplete = true;
  Ended.Outcome.ConfirmedNotRun = true;
  Ended.Outcome.Status = 503;
  return Ended;
}

double shareOf(SplitCounts &Counts, const base::ServiceName &Service) {
  return static_cast<double>(Counts.Placed[Service]) / RequestCount;
}

} // namespace

TEST_CASE("the parts of a split route get requests by their weights") {
  State Node = makeNode(makeConfig(7, 3), ManySlots);
  SplitCounts Counts = sendRequests(Node, "/split/1");
  CHECK(shareOf(Counts, Stable) == doctest::Approx(0.7).epsilon(Tolerance));
  CHECK(shareOf(Counts, Canary) == doctest::Approx(0.3).epsilon(Tolerance));
}

TEST_CASE("what a part of a split has no room for isn't moved to another") {
  for (std::uint32_t CanarySlots : {0, 1}) {
    CAPTURE(CanarySlots);
    State Node = makeNode(makeConfig(7, 3), CanarySlots);
    SplitCounts Counts = sendRequests(Node, "/split/1");
    CHECK(shareOf(Counts, Stable) == doctest::Approx(0.7).epsilon(Tolerance));
    if (CanarySlots == 0)
      CHECK(Counts.Refused + Counts.Placed[Stable] == RequestCount);
  }
}

TEST_CASE("what a part of a split rejects is tried again on that part alone") {
  State Node = makeNode(makeConfig(1, 1), ManySlots);
  Node.Self.RetryBound.Ratio = 1;
  Node.Self.RetryBound.Slack = 1000;
  Node.Self.FirstStart = true;
  std::map<base::RequestId, std::vector<base::ServiceName>> Placed;
  std::vector<EventBody> Pending;
  for (std::uint64_t Sequence = 1; Sequence <= 20; ++Sequence)
    Pending.push_back(makeSplitRequest(Sequence));
  for (std::int64_t Micros = 2000; Micros < 400000; Micros += 1000) {
    Pending.push_back(TimerFired{});
    for (const EventBody &Body : std::exchange(Pending, {})) {
      EffectList Effects;
      reduce(Node, Event{base::TimePoint{Micros}, {}, Body}, Effects);
      for (const Effect &Item : Effects) {
        if (const auto *Start = std::get_if<StartAttempt>(&Item)) {
          Placed[Start->Facts.Request].push_back(Start->Facts.Service);
          Pending.push_back(AttemptArrived{Start->Facts});
        }
        if (const auto *Send = std::get_if<SendToBackend>(&Item))
          Pending.push_back(makeRejection(Send->Attempt));
        if (const auto *End = std::get_if<EndAttempt>(&Item))
          Pending.push_back(AttemptEnded{End->Attempt, End->Outcome});
      }
    }
  }
  std::set<base::ServiceName> First;
  for (const auto &[Request, Services] : Placed) {
    First.insert(Services.front());
    CHECK(Services.size() > 1);
    for (const base::ServiceName &Service : Services)
      CHECK(Service == Services.front());
  }
  CHECK(First.size() == 2);
}

TEST_CASE("changed weights of a split hold from the next request on") {
  State Node = makeNode(makeConfig(7, 3), ManySlots);
  sendRequests(Node, "/split/1");
  Node.Config.Current = makeConfig(1, 9);
  Node.LastCallId += RequestCount;
  SplitCounts Counts = sendRequests(Node, "/split/1");
  CHECK(shareOf(Counts, Stable) == doctest::Approx(0.1).epsilon(0.3));
  CHECK(shareOf(Counts, Canary) == doctest::Approx(0.9).epsilon(Tolerance));
}

TEST_CASE("a split holds for its route alone, not for others of its kind") {
  State Node = makeNode(makeConfig(7, 3), ManySlots);
  SplitCounts Counts = sendRequests(Node, "/plain/1");
  CHECK(shareOf(Counts, Stable) == 1);
  CHECK(shareOf(Counts, Canary) == 0);
}

} // namespace currantgauge::core

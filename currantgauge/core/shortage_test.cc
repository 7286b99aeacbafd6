#include "currantgauge/core/shortage.h"

#include "currantgauge/base/random.h"
#include "currantgauge/core/owner_retries.h"
#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>

namespace currantgauge::core {
namespace {

const base::ServiceName Service("clinic");
constexpr base::Duration RejectionEnd = base::seconds(8);
constexpr double RejectedShare = 0.55;
constexpr base::Duration RoundTrip = base::milliseconds(30);
constexpr base::Duration Aim = base::milliseconds(2500);
constexpr base::Duration ServiceTime = base::milliseconds(510);

// makeNode() returns the only owner of a service's servers.
State makeNode(bool ByCost, std::uint64_t Seed) {
  NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.FirstStart = true;
  Self.RetryBound.Ratio = 0.18;
  Self.RetryBound.Slack = 148;
  Self.Policy.ShortageByCost = ByCost;
  State Node = makeState(Self, Seed);
  Node.Config.Current = config::ConfigurationPtr(new config::Configuration);
  admission::noteServers(Node.Admission.FleetRetries[Service],
                         Node.Self.RetryBound, 1, 1, base::TimePoint{1});
  return Node;
}

AttemptFacts makeFacts(std::uint32_t Number) {
  AttemptFacts Facts;
  Facts.Service = Service;
  Facts.Number = Number;
  return Facts;
}

bool isRejected(State &Node) {
  return Node.Now.Micros < RejectionEnd.Micros &&
         base::uniformUnit(Node.Random) < RejectedShare;
}

// runRequest() sends a request, and once more if the bound permits it.
bool runRequest(State &Node) {
  for (std::uint32_t Number : {1, 2}) {
    AttemptFacts Facts = makeFacts(Number);
    if (!mayRepeat(Node, Facts))
      return false;
    noteAttemptSent(Node, Facts);
    if (!isRejected(Node))
      return true;
  }
  return false;
}

// Caller is a caller whose request was refused and who comes back.
struct Caller {
  base::TimePoint CameAt;
  std::uint32_t Tries = 0;
};

// Play holds the callers of one play: all, and those served within the aim.
struct Play {
  std::uint32_t MaxTries = 1; // of one caller
  std::multimap<base::TimePoint, Caller> Waiting;
  double Asked = 0;
  double Served = 0;
};

void tryCaller(State &Node, Caller Who, Play &Played) {
  if (runRequest(Node)) {
    if (Node.Now + ServiceTime <= Who.CameAt + Aim)
      ++Played.Served;
    return;
  }
  if (++Who.Tries >= Played.MaxTries)
    return;
  EntryRequest Request;
  Request.Kind.Aim = Aim;
  Request.ArrivedAt = Node.Now;
  Request.Deadline = Who.CameAt + base::seconds(10);
  base::Duration Delay =
      retryAfterOf(Node, Request, base::Reason::BackendShed, base::seconds(1));
  Played.Waiting.emplace(Node.Now + Delay + RoundTrip, Who);
}

// playRejections() plays 12 s of callers, 8 of them with servers that reject,
// and returns the share of callers served within the aim.
double playRejections(bool ByCost, std::uint32_t MaxTries, std::uint64_t Seed) {
  State Node = makeNode(ByCost, Seed);
  Play Played;
  Played.MaxTries = MaxTries;
  for (std::int64_t Millis = 1; Millis < 12000; ++Millis) {
    Node.Now = base::TimePoint{Millis * 1000};
    while (!Played.Waiting.empty() &&
           Played.Waiting.begin()->first <= Node.Now) {
      Caller Who = Played.Waiting.begin()->second;
      Played.Waiting.erase(Played.Waiting.begin());
      tryCaller(Node, Who, Played);
    }
    if (Millis % 5 != 0)
      continue;
    ++Played.Asked;
    tryCaller(Node, {Node.Now, 0}, Played);
  }
  return Played.Served / Played.Asked;
}

} // namespace

TEST_CASE("while servers reject at random, callers that come back a few times "
          "are served in time more often than with a fixed Retry-After") {
  for (std::uint32_t MaxTries : {3, 4, 6})
    for (std::uint64_t Seed : {1, 2, 3, 4, 5}) {
      double Before = playRejections(false, MaxTries, Seed);
      double After = playRejections(true, MaxTries, Seed);
      MESSAGE(MaxTries << " tries, seed " << Seed << ": in time " << Before
                       << " to " << After);
      CHECK(After > Before);
    }
}

TEST_CASE("without the policy Retry-After is as suggested and nothing is "
          "drawn") {
  State Node = makeNode(false, 1);
  CHECK(queueFullDelay(Node, makeFacts(1)) == base::seconds(1));
  EntryRequest Request;
  Request.Deadline = base::TimePoint{10000000};
  base::Random Source = Node.Random;
  CHECK(retryAfterOf(Node, Request, base::Reason::BackendShed,
                     base::seconds(7)) == base::seconds(7));
  CHECK(Node.Random() == Source());
}

TEST_CASE("Retry-After of a full queue covers the queued work") {
  State Node = makeNode(true, 1);
  admission::ServiceQueue &Queue = Node.Admission.Queues[Service];
  Queue.OpenSlots = 4;
  Queue.ByRank[0].QueuedWork = base::seconds(6);
  CHECK(queueFullDelay(Node, makeFacts(1)) == base::milliseconds(1500));
  EntryRequest Request;
  Request.Deadline = base::TimePoint{20000000};
  CHECK(retryAfterOf(Node, Request, base::Reason::QueueFull,
                     base::milliseconds(1500)) > base::milliseconds(1500));
}

TEST_CASE("a request that may have run gets no new Retry-After") {
  State Node = makeNode(true, 1);
  EntryRequest Request;
  Request.Deadline = base::TimePoint{10000000};
  Request.MayHaveRun = true;
  CHECK(retryAfterOf(Node, Request, base::Reason::BackendShed,
                     base::Duration{}) == base::Duration{});
}

TEST_CASE("Retry-After of a full queue is at least 100 ms") {
  State Node = makeNode(true, 1);
  Node.Admission.Queues[Service].OpenSlots = 4;
  CHECK(queueFullDelay(Node, makeFacts(1)) == base::milliseconds(100));
}

TEST_CASE("Retry-After follows the time that the caller stated, not the limit "
          "of the route") {
  State Node = makeNode(true, 1);
  Node.Now = base::TimePoint{2000000};
  EntryRequest Request;
  Request.ArrivedAt = base::TimePoint{1000000};
  Request.Deadline = base::TimePoint{3000000};
  constexpr base::Duration Forecast = base::seconds(2);
  CHECK(retryAfterOf(Node, Request, base::Reason::QueueFull, Forecast) ==
        base::Duration{});
  Request.Facts.TimeLeft = base::seconds(31);
  CHECK(retryAfterOf(Node, Request, base::Reason::QueueFull, Forecast) >
        Forecast);
  Request.Facts.TimeLeft = base::seconds(3);
  CHECK(retryAfterOf(Node, Request, base::Reason::QueueFull, Forecast) ==
        base::Duration{});
}

} // namespace currantgauge::core

// How long the configuration's watch at the store lasts.
#include "currantgauge/config/feed.h"

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <variant>

namespace currantgauge::config {
namespace {

// After connections went silent, machines are in touch again after 3 s. A
// version is to be in force by then; 300 ms are for the store's answer and the
// parser.
constexpr base::Duration SilenceLimit = base::milliseconds(2700);
constexpr std::uint32_t StoreWaitMillis = 30000; // the store's longest

// answerFeedCall() answers the feed's pending call and returns the next one.
core::CallStore answerFeedCall(core::State &Node) {
  core::StoreAnswered Answer;
  Answer.Call = Node.Config.Feed.Call;
  Answer.Result.Status = base::StoreStatus::Done;
  Answer.Result.Revision = 7;
  core::EffectList Effects;
  core::reduce(Node, core::Event{base::TimePoint{1000000}, {}, Answer},
               Effects);
  for (const core::Effect &Effect : Effects)
    if (const auto *Call = std::get_if<core::CallStore>(&Effect))
      if (Call->Call == Node.Config.Feed.Call)
        return *Call;
  FAIL("no call of the feed");
  return {};
}

core::State makeStartedNode() {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(1);
  Self.Feed = {"op", "config"};
  core::State Node = core::makeState(Self, 7);
  core::EffectList Effects;
  core::reduce(Node, core::Event{base::TimePoint{1}, {}, core::Started{}},
               Effects);
  return Node;
}

// Returns the shortest and the longest of 50 watches.
std::pair<std::uint32_t, std::uint32_t> drawWaits(std::size_t Members) {
  core::State Node = makeStartedNode();
  std::uint32_t Shortest = UINT32_MAX, Longest = 0;
  for (int I = 0; I < 50; ++I) {
    Node.Membership.LiveMembers = Members;
    core::CallStore Call = answerFeedCall(Node);
    std::uint32_t Wait = std::get<base::WatchRows>(Call.Operation).WaitMillis;
    CHECK(Call.Timeout > base::milliseconds(Wait));
    Shortest = std::min(Shortest, Wait);
    Longest = std::max(Longest, Wait);
  }
  return {Shortest, Longest};
}

} // namespace

TEST_CASE("the watches of a large fleet end at different times") {
  auto [Shortest, Longest] = drawWaits(100);
  CHECK(Longest <= StoreWaitMillis);
  bool IsSpread = Longest >= Shortest + Longest / 5;
  CHECK(IsSpread);
}

// Connections to the store that went silent kept a version out of force for the
// 10 to 30 s of a watch.
TEST_CASE(
    "a small fleet notices soon that connections to the store are silent") {
  for (std::size_t Members : {0, 2, 18, 21}) {
    CAPTURE(Members);
    core::State Node = makeStartedNode();
    for (int I = 0; I < 50; ++I) {
      Node.Membership.LiveMembers = Members;
      CHECK(answerFeedCall(Node).Timeout <= SilenceLimit);
    }
  }
}

TEST_CASE("in a large fleet a watch ends somewhere at least every 150 ms") {
  constexpr std::size_t Members = 200;
  auto [Shortest, Longest] = drawWaits(Members - 1);
  CHECK(Longest / Members <= 150);
  // At most 20 watches a second end in the fleet.
  CHECK(Shortest / Members >= 50);
}

TEST_CASE("a watch without an answer is repeated at once, then after a delay") {
  core::State Node = makeStartedNode();
  answerFeedCall(Node);
  core::StoreAnswered Lost;
  Lost.Result.Status = base::StoreStatus::Unavailable;
  auto Fail = [&] {
    Lost.Call = Node.Config.Feed.Call;
    core::EffectList Effects;
    core::reduce(Node, core::Event{base::TimePoint{2000000}, {}, Lost},
                 Effects);
  };
  Fail();
  CHECK(Node.Config.Feed.Phase == FeedPhase::Watching);
  Fail();
  CHECK(Node.Config.Feed.Phase == FeedPhase::Idle);
}

} // namespace currantgauge::config

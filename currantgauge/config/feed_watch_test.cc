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

constexpr std::uint32_t MinWaitMillis = 10000;
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
  bool IsBounded = Shortest >= MinWaitMillis && Longest <= StoreWaitMillis;
  CHECK(IsBounded);
  bool IsSpread = Longest >= 2 * MinWaitMillis;
  CHECK(IsSpread);
}

TEST_CASE("the watches of a small fleet are short") {
  auto [Shortest, Longest] = drawWaits(2);
  bool AllShort = Shortest == MinWaitMillis && Longest == MinWaitMillis;
  CHECK(AllShort);
}

} // namespace currantgauge::config

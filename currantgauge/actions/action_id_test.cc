#include "currantgauge/actions/action_id.h"

#include <doctest/doctest.h>

namespace currantgauge::actions {

TEST_CASE("an action id says what was signed and nothing else passes") {
  ActionId Id{base::NodeName("node.north-a.7"), base::Incarnation(0xfeed), 42,
              base::TimePoint{123456789}};
  base::ActionToken Token = signActionId(Id, "secret");
  auto Read = verifyActionId(Token, "secret");
  REQUIRE(Read);
  CHECK(Read->Issuer == Id.Issuer);
  CHECK(Read->Incarnation == Id.Incarnation);
  CHECK(Read->Sequence == 42);
  CHECK(Read->Expires == Id.Expires);
  CHECK_FALSE(verifyActionId(Token, "other"));
  CHECK_FALSE(verifyActionId(Token, ""));
  for (std::size_t At = 0; At < Token.Value.size(); ++At) {
    base::ActionToken Changed = Token;
    Changed.Value[At] = Changed.Value[At] == '0' ? '1' : '0';
    CHECK_FALSE(verifyActionId(Changed, "secret"));
    CHECK_FALSE(
        verifyActionId(base::ActionToken(Token.Value.substr(0, At)), "secret"));
  }
}

} // namespace currantgauge::actions

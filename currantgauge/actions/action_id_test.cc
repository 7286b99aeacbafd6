#include "currantgauge/actions/action_id.h"

#include <doctest/doctest.h>

namespace currantgauge::actions {

TEST_CASE("only unchanged action ids are verified") {
  ActionId Id{base::NodeName("node.north-a.7"), base::Incarnation(0xfeed), 42,
              base::TimePoint{123456789}};
  base::ActionToken Token = signActionId(Id, "secret");
  auto Verified = verifyActionId(Token, "secret");
  REQUIRE(Verified);
  CHECK(Verified->Issuer == Id.Issuer);
  CHECK(Verified->Incarnation == Id.Incarnation);
  CHECK(Verified->Sequence == 42);
  CHECK(Verified->Expires == Id.Expires);
  CHECK_FALSE(verifyActionId(Token, "other"));
  CHECK_FALSE(verifyActionId(Token, ""));
  for (std::size_t Index = 0; Index < Token.Value.size(); ++Index) {
    base::ActionToken Changed = Token;
    Changed.Value[Index] = Changed.Value[Index] == '0' ? '1' : '0';
    CHECK_FALSE(verifyActionId(Changed, "secret"));
    CHECK_FALSE(verifyActionId(base::ActionToken(Token.Value.substr(0, Index)),
                               "secret"));
  }
}

} // namespace currantgauge::actions

// Action ids: signed text that names the issuing node and its incarnation,
// valid until a time of the issuer's steady clock.
//
//   ActionId Id{Node, Incarnation, 7, Expires};
//   ActionToken Token = signActionId(Id, Secret);
//   auto Verified = verifyActionId(Token, Secret); // none: forged
#ifndef CURRANTGAUGE_ACTIONS_ACTION_ID_H
#define CURRANTGAUGE_ACTIONS_ACTION_ID_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace currantgauge::actions {

// ActionId is the content of an id. Expires is a time of the issuer's steady
// clock and has no meaning on another node.
struct ActionId {
  base::NodeName Issuer;
  base::Incarnation Incarnation;
  std::uint64_t Sequence = 0;
  base::TimePoint Expires;
};

// signActionId() returns the text of an id followed by its truncated
// HMAC-SHA256.
base::ActionToken signActionId(const ActionId &Id, const std::string &Secret);

// verifyActionId() returns the content of an id. None if the text is malformed
// or not signed with Secret, or if Secret is empty.
std::optional<ActionId> verifyActionId(const base::ActionToken &Token,
                                       const std::string &Secret);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_ACTION_ID_H

// Action ids: text that names its issuing node and incarnation, signed, and
// valid for a span of the issuer's own steady clock.
//
//   ActionToken Token = signActionId(ActionId{Node, Life, 7, Expires}, Secret);
//   auto Id = verifyActionId(Token, Secret); // none: forged
#ifndef CURRANTGAUGE_ACTIONS_ACTION_ID_H
#define CURRANTGAUGE_ACTIONS_ACTION_ID_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace currantgauge::actions {

// ActionId is what the text of an id says. Expires is a reading of the
// issuer's clock and means nothing on another node.
struct ActionId {
  base::NodeName Issuer;
  base::Incarnation Incarnation;
  std::uint64_t Sequence = 0;
  base::TimePoint Expires;
};

// signActionId() returns the text of an id with its HMAC-SHA256.
base::ActionToken signActionId(const ActionId &Id, const std::string &Secret);

// verifyActionId() returns the id; none when the text is malformed, was not
// signed with Secret, or Secret is empty.
std::optional<ActionId> verifyActionId(const base::ActionToken &Token,
                                       const std::string &Secret);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_ACTION_ID_H

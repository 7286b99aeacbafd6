// Rows of the platform's table "claims": one per action with Idempotency-Key.
//
//   std::string Key = claimKey(Facts);
//   RowWrite Write{ClaimTable, Key, encodeRow(Row), WriteCondition::IfAbsent};
#ifndef CURRANTGAUGE_ACTIONS_CLAIM_ROW_H
#define CURRANTGAUGE_ACTIONS_CLAIM_ROW_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/request.h"

#include <optional>
#include <string>

namespace currantgauge::actions {

constexpr char ClaimTable[] = "claims";

// ClaimRow names the attempt and node that claimed an action. Done is set once
// the exchange has ended with a complete response.
struct ClaimRow {
  base::AttemptId Attempt;
  base::NodeName Holder;
  base::Incarnation Incarnation; // of Holder
  base::BodyHash Body;
  bool Done = false;
  base::UnixTime WrittenAt;
};

// claimKey() returns the row key of an action: its workspace, kind and
// Idempotency-Key, prefixed by four hash digits that distribute the rows
// evenly.
std::string claimKey(const core::AttemptFacts &Facts);

// encodeRow() returns the row's value.
std::string encodeRow(const ClaimRow &Row);

// decodeRow() is the inverse of encodeRow(). None if the text is malformed.
std::optional<ClaimRow> decodeRow(const std::string &Text);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_CLAIM_ROW_H

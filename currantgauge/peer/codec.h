// Converts messages, facts and outcomes of attempts, and configuration deltas
// to and from protobuf messages. fromWire() returns false, and leaves the
// result unspecified, if an enumeration is absent or has an unknown value.
//
//   v1::PeerMessage Wire;
//   toWire(Message, Wire);
//   if (!fromWire(Wire, Message)) refuse();
#ifndef CURRANTGAUGE_PEER_CODEC_H
#define CURRANTGAUGE_PEER_CODEC_H

#include "currantgauge/config/delta.h"
#include "currantgauge/core/request.h"
#include "currantgauge/membership/message.h"

namespace currantgauge::peer {

// Generated classes of currantgauge/peer/generated/peer.pb.h, which only
// sources of this folder include.
namespace v1 {
class AttemptFacts;
class AttemptOutcome;
class ConfigDelta;
class PeerMessage;
} // namespace v1

void toWire(const membership::PeerMessage &From, v1::PeerMessage &To);
bool fromWire(const v1::PeerMessage &From, membership::PeerMessage &To);

void toWire(const core::AttemptFacts &From, v1::AttemptFacts &To);
bool fromWire(const v1::AttemptFacts &From, core::AttemptFacts &To);

void toWire(const core::AttemptOutcome &From, v1::AttemptOutcome &To);
bool fromWire(const v1::AttemptOutcome &From, core::AttemptOutcome &To);

void toWire(const config::ConfigDelta &From, v1::ConfigDelta &To);
bool fromWire(const v1::ConfigDelta &From, config::ConfigDelta &To);

} // namespace currantgauge::peer

#endif // CURRANTGAUGE_PEER_CODEC_H

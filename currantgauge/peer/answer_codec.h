// Converts answer parts and requests to and from protobuf messages.
//
//   toWire(Part, Wire);
#ifndef CURRANTGAUGE_PEER_ANSWER_CODEC_H
#define CURRANTGAUGE_PEER_ANSWER_CODEC_H

#include "currantgauge/peer/generated/peer.pb.h"
#include "currantgauge/runtime/answer_pipe.h"
#include "currantgauge/runtime/message.h"

namespace currantgauge::peer {

void toWire(runtime::AnswerPart From, v1::AnswerPart &To);

// fromWire() returns false if the part is empty or malformed. It moves the
// bytes of a chunk out of From.
bool fromWire(v1::AnswerPart &From, runtime::AnswerPart &To);

// makeEnd() returns the end of an attempt that has no answer.
runtime::AnswerEnd makeEnd(base::Verdict Verdict, base::Reason Reason,
                           base::Duration RetryAfter = {});

// BodyPartsKey is in the initial metadata of an owner that accepts the body of
// a request in several messages.
constexpr char BodyPartsKey[] = "body-parts";

// These two don't copy the body of a request.
void toWire(const runtime::RequestMessage &From, v1::ForwardRequest &To);
void fromWire(const v1::ForwardRequest &From, runtime::RequestMessage &To);

} // namespace currantgauge::peer

#endif // CURRANTGAUGE_PEER_ANSWER_CODEC_H

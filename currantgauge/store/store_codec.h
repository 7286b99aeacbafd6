// Store operations as HTTP requests with JSON, and answers as results.
//
//   auto Request = encodeOperation(ReadRow{"claims", Key});
//   StoreResult Result = decodeAnswer(Operation, Response);
#ifndef CURRANTGAUGE_STORE_STORE_CODEC_H
#define CURRANTGAUGE_STORE_STORE_CODEC_H

#include "currantgauge/base/store.h"
#include "currantgauge/store/encoding.h"

#include <optional>

namespace currantgauge::store {

// encodeOperation() returns the HTTP request; none when a text is not UTF-8.
std::optional<StoreRequest>
encodeOperation(const base::StoreOperation &Operation);

// decodeAnswer() returns what an HTTP answer says of the operation.
base::StoreResult decodeAnswer(const base::StoreOperation &Operation,
                               const StoreResponse &Response);

} // namespace currantgauge::store

#endif // CURRANTGAUGE_STORE_STORE_CODEC_H

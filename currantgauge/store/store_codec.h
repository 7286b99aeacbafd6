// The native encoding of store operations: HTTP requests with JSON bodies.
//
//   auto Request = encodeOperation(ReadRow{"claims", Key});
//   StoreResult Result = decodeAnswer(Operation, Response);
#ifndef CURRANTGAUGE_STORE_STORE_CODEC_H
#define CURRANTGAUGE_STORE_STORE_CODEC_H

#include "currantgauge/base/store.h"
#include "currantgauge/store/encoding.h"

#include <optional>

namespace currantgauge::store {

// encodeOperation() returns the HTTP request, or none if a string that has to
// be encoded as JSON is not UTF-8.
std::optional<StoreRequest>
encodeOperation(const base::StoreOperation &Operation);

// decodeAnswer() returns the result of the operation.
base::StoreResult decodeAnswer(const base::StoreOperation &Operation,
                               const StoreResponse &Response);

} // namespace currantgauge::store

#endif // CURRANTGAUGE_STORE_STORE_CODEC_H

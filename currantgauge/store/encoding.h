// The wire encoding of store operations. The client works with any encoding.
//
//   Encoding Native = nativeEncoding();
//   auto Request = Native.Encode(ReadRow{"claims", Key});
//   StoreResult Result = Native.Decode(Operation, Response);
#ifndef CURRANTGAUGE_STORE_ENCODING_H
#define CURRANTGAUGE_STORE_ENCODING_H

#include "currantgauge/base/store.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace currantgauge::store {

using StoreRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using StoreResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// Encoding converts store operations to HTTP requests and the responses to
// results.
struct Encoding {
  // Encode returns the HTTP request; none if the operation can't be encoded.
  std::optional<StoreRequest> (*Encode)(const base::StoreOperation &) = nullptr;
  // Decode returns the result of the operation.
  base::StoreResult (*Decode)(const base::StoreOperation &,
                              const StoreResponse &) = nullptr;
};

// nativeEncoding() returns the encoding of store_codec.h.
Encoding nativeEncoding();

// isWrite() returns whether an operation changes the store.
bool isWrite(const base::StoreOperation &Operation);

// encodePercent() percent-encodes Text for a path segment or a query (RFC
// 3986).
std::string encodePercent(std::string_view Text);

} // namespace currantgauge::store

#endif // CURRANTGAUGE_STORE_ENCODING_H

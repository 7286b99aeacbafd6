// How store operations are spelled on the wire. The client is the same for each
// encoding.
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

// Encoding is a pair of free functions.
struct Encoding {
  // Encode returns the HTTP request; none when the operation can't be said.
  std::optional<StoreRequest> (*Encode)(const base::StoreOperation &) = nullptr;
  // Decode returns what an HTTP answer says of the operation.
  base::StoreResult (*Decode)(const base::StoreOperation &,
                              const StoreResponse &) = nullptr;
};

// nativeEncoding() is the encoding of store_codec.h.
Encoding nativeEncoding();

// isWrite() is true for operations that change the store.
bool isWrite(const base::StoreOperation &Operation);

// encodePercent() returns Text for a path or a query (RFC 3986).
std::string encodePercent(std::string_view Text);

} // namespace currantgauge::store

#endif // CURRANTGAUGE_STORE_ENCODING_H

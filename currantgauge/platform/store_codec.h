// Store operations as HTTP requests with JSON, and answers as results.
//
//   auto Request = encodeOperation(ReadRow{"claims", Key});
//   StoreResult Result = decodeAnswer(Operation, Response);
#ifndef CURRANTGAUGE_PLATFORM_STORE_CODEC_H
#define CURRANTGAUGE_PLATFORM_STORE_CODEC_H

#include "currantgauge/base/store.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace currantgauge::platform {

using StoreRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using StoreResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// encodeOperation() returns the HTTP request; none when a text is not UTF-8.
std::optional<StoreRequest>
encodeOperation(const base::StoreOperation &Operation);

// decodeAnswer() returns what an HTTP answer says of the operation.
base::StoreResult decodeAnswer(const base::StoreOperation &Operation,
                               const StoreResponse &Response);

// isWrite() is true for operations that change the store.
bool isWrite(const base::StoreOperation &Operation);

} // namespace currantgauge::platform

#endif // CURRANTGAUGE_PLATFORM_STORE_CODEC_H

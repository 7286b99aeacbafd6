// A caller's HTTP request as the facts that decisions use and the message that
// a backend server gets.
//
//   std::string Error;
//   auto Facts = readFacts(Request, Wire, Error);
#ifndef CURRANTGAUGE_HTTP_CALLER_REQUEST_H
#define CURRANTGAUGE_HTTP_CALLER_REQUEST_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/request.h"
#include "currantgauge/http/dialect.h"
#include "currantgauge/runtime/message.h"

#include <utility>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>

namespace currantgauge::http {

using TextRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// readFacts() returns the facts of a request; none and a plain sentence in
// Error when a field of ours is malformed.
std::optional<core::RequestFacts> readFacts(const TextRequest &Request,
                                            const HttpDialect &Wire,
                                            std::string &Error);

// readMessage() takes what travels to the backend server. Service is that of
// the VM where the request began.
runtime::RequestMessagePtr readMessage(TextRequest Request,
                                       const HttpDialect &Wire,
                                       const base::ServiceName &Service);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_CALLER_REQUEST_H

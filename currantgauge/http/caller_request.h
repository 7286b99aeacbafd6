// Converts a caller's HTTP request to the facts that decisions use and to the
// message that is sent to a backend server.
//
//   std::string Error;
//   auto Facts = readFacts(Request, Dialect, Error);
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

// readFacts() returns the facts of a request; none, with a message in Error,
// when the target or a field of the dialect is malformed or too long.
std::optional<core::RequestFacts> readFacts(const TextRequest &Request,
                                            const HttpDialect &Dialect,
                                            std::string &Error);

// isActionIdRequest() returns whether the caller asks for an action id.
bool isActionIdRequest(const TextRequest &Request, const HttpDialect &Dialect);

// readMessage() returns the method, target, end-to-end header fields and body
// for the backend server. Service is the service of the caller's VM; it
// replaces a CallerServiceField that the caller sent.
runtime::RequestMessagePtr readMessage(TextRequest Request,
                                       const HttpDialect &Dialect,
                                       const base::ServiceName &Service);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_CALLER_REQUEST_H

#include "currantgauge/http/session_end.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace currantgauge::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;

base::Reason refusalReasonOf(ErrorCode Error) {
  if (Error == beast::http::error::body_limit)
    return base::Reason::BodyTooLarge;
  if (Error == beast::http::error::header_limit ||
      Error == beast::http::error::buffer_overflow)
    return base::Reason::HeaderTooLarge;
  if (Error == asio::error::no_memory)
    return base::Reason::MemoryLimit;
  return base::Reason::BadRequest;
}

std::string describeError(ErrorCode Error) {
  base::Reason Reason = refusalReasonOf(Error);
  if (Reason != base::Reason::BadRequest)
    return std::string(base::reasonText(Reason));
  return "malformed HTTP request: " + Error.message();
}

core::ConnectionEnd endOfRead(ErrorCode Error, bool IdleExpired) {
  if (IdleExpired)
    return core::ConnectionEnd::IdleTimeout;
  return Error == asio::error::eof || Error == beast::http::error::end_of_stream
             ? core::ConnectionEnd::CallerClosed
             : core::ConnectionEnd::CallerReset;
}

core::ConnectionEnd endOfWrite(ErrorCode Error) {
  if (Error == beast::error::timeout)
    return core::ConnectionEnd::WriteTimeout;
  return Error == beast::http::error::partial_message
             ? core::ConnectionEnd::AnswerCutShort
             : core::ConnectionEnd::WriteFailed;
}

} // namespace currantgauge::http

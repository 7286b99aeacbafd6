// Why a caller's request is refused or its connection ends, by the error of a
// read or write.
//
//   refuseInput(Session, refusalReasonOf(Error), describeError(Error));
#ifndef CURRANTGAUGE_HTTP_SESSION_END_H
#define CURRANTGAUGE_HTTP_SESSION_END_H

#include "currantgauge/base/verdict.h"
#include "currantgauge/core/event.h"

#include <boost/system/error_code.hpp>

#include <string>

namespace currantgauge::http {

// refusalReasonOf() returns the reason to refuse a request whose read failed.
base::Reason refusalReasonOf(boost::system::error_code Error);

// describeError() returns the text for the caller of such a request.
std::string describeError(boost::system::error_code Error);

// endOfRead() returns how a connection ended on which a read failed.
core::ConnectionEnd endOfRead(boost::system::error_code Error,
                              bool IdleExpired);

// endOfWrite() returns how a connection ended on which a write failed.
core::ConnectionEnd endOfWrite(boost::system::error_code Error);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_SESSION_END_H

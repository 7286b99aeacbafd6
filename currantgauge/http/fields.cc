#include "currantgauge/http/fields.h"

#include <boost/beast/core/string.hpp>

namespace currantgauge::http {

bool isHopByHop(std::string_view Name) {
  static constexpr std::string_view Names[] = {"connection",
                                               "keep-alive",
                                               "proxy-connection",
                                               "te",
                                               "trailer",
                                               "transfer-encoding",
                                               "upgrade",
                                               "content-length",
                                               "expect",
                                               "proxy-authenticate",
                                               "proxy-authorization"};
  for (std::string_view HopByHop : Names)
    if (boost::beast::iequals(
            boost::beast::string_view(Name.data(), Name.size()),
            boost::beast::string_view(HopByHop.data(), HopByHop.size())))
      return true;
  return false;
}

} // namespace currantgauge::http

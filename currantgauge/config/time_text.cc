#include "currantgauge/config/time_text.h"

#include <boost/date_time/gregorian/greg_date.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>

#include <algorithm>
#include <cstdint>

namespace currantgauge::config {
namespace {

constexpr std::int64_t MillisPerSecond = 1000;
constexpr std::int64_t LastSecond = 253402300799; // 9999-12-31T23:59:59Z

} // namespace

// Rows of the store may hold any number, but the calendar supports no year
// after 9999.
std::string formatTime(base::UnixTime Time) {
  std::int64_t Seconds =
      std::clamp(Time.Millis / MillisPerSecond, std::int64_t{0}, LastSecond);
  boost::posix_time::ptime Epoch(boost::gregorian::date(1970, 1, 1));
  return boost::posix_time::to_iso_extended_string(
             Epoch + boost::posix_time::seconds(Seconds)) +
         "Z";
}

} // namespace currantgauge::config

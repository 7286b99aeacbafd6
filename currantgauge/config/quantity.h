// Quantities as operators write them: a number and its unit.
//
//   std::optional<base::Duration> Deadline = parseDuration("250ms");
#ifndef CURRANTGAUGE_CONFIG_QUANTITY_H
#define CURRANTGAUGE_CONFIG_QUANTITY_H

#include "currantgauge/base/units.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantgauge::config {

// parseDuration() takes us, ms, s, m and h. None when malformed or negative.
std::optional<base::Duration> parseDuration(std::string_view Text);

// parseBytes() takes B, KiB, MiB, GiB, KB, MB and GB. None when malformed.
std::optional<base::ByteCount> parseBytes(std::string_view Text);

// parsePercent() takes "60%", 0 to 100. None when malformed.
std::optional<base::Percent> parsePercent(std::string_view Text);

// parseRate() takes "20/s", "600/m" or "none". None when malformed.
std::optional<base::PerSecond> parseRate(std::string_view Text);

// isNetAddress() says whether Text is "IPv4:port" or "[IPv6]:port".
bool isNetAddress(std::string_view Text);

// isLoopback() says whether an address is on this VM alone.
bool isLoopback(std::string_view Address);

// findNearestName() returns the name with the smallest edit distance to Given,
// empty when none is near.
std::string findNearestName(std::string_view Input,
                            const std::vector<std::string> &Names);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_QUANTITY_H

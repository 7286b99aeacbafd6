// Parses the quantities of settings and configuration: numbers with a unit.
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

// parseDuration() parses a time in us, ms, s, m or h, such as "250ms". This and
// the next three return none if Text is malformed, negative or too large.
std::optional<base::Duration> parseDuration(std::string_view Text);

// parseBytes() parses a size in B, KiB, MiB, GiB, KB, MB or GB.
std::optional<base::ByteCount> parseBytes(std::string_view Text);

// parsePercent() parses a share from "0%" to "100%".
std::optional<base::Percent> parsePercent(std::string_view Text);

// parseRate() parses a rate above 0 per s, m or h, such as "600/m", or "none",
// for which it returns a rate of 0.
std::optional<base::PerSecond> parseRate(std::string_view Text);

// isNetAddress() returns true if Text has the form "IPv4:port" or
// "[IPv6]:port". Of an IPv6 address, only the characters are checked.
bool isNetAddress(std::string_view Text);

// isRemoteAddress() returns true if Text is a net address to connect to, so
// that its port isn't 0.
bool isRemoteAddress(std::string_view Text);

// isLoopback() returns true if Address, an IP:port, is only reachable from this
// VM.
bool isLoopback(std::string_view Address);

// findNearestName() returns the name with the smallest edit distance to Input,
// empty if none is similar.
std::string findNearestName(std::string_view Input,
                            const std::vector<std::string> &Names);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_QUANTITY_H

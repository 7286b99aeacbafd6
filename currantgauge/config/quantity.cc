#include "currantgauge/config/quantity.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace currantgauge::config {
namespace {

constexpr double MaxQuantity = 1e15; // in the base unit; converts to int64
constexpr std::uint64_t MaxPort = 65535;
constexpr std::size_t MaxNameDistance = 3; // edits that still count as similar
constexpr std::size_t MaxComparedLength = 64; // characters of the input

struct Unit {
  std::string_view Name;
  double Factor;
};

constexpr std::array TimeUnits = {Unit{"us", 1}, Unit{"ms", 1e3},
                                  Unit{"s", 1e6}, Unit{"m", 60e6},
                                  Unit{"h", 3600e6}};
constexpr std::array SizeUnits = {Unit{"B", 1},         Unit{"KiB", 1024},
                                  Unit{"MiB", 1048576}, Unit{"GiB", 1073741824},
                                  Unit{"KB", 1e3},      Unit{"MB", 1e6},
                                  Unit{"GB", 1e9}};
constexpr std::array PercentUnits = {Unit{"%", 1}};
constexpr std::array RateUnits = {Unit{"/s", 1}, Unit{"/m", 1.0 / 60},
                                  Unit{"/h", 1.0 / 3600}};

template <std::size_t Count>
std::optional<double> parseQuantity(std::string_view Text,
                                    const std::array<Unit, Count> &Units) {
  double Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || !std::isfinite(Number) || Number < 0)
    return std::nullopt;
  std::string_view Name(Rest, static_cast<std::size_t>(End - Rest));
  for (const Unit &Candidate : Units)
    if (Candidate.Name == Name && Number * Candidate.Factor <= MaxQuantity)
      return Number * Candidate.Factor;
  return std::nullopt;
}

bool isPort(std::string_view Text) {
  std::uint64_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Port);
  return Error == std::errc() && Rest == End && Port <= MaxPort;
}

bool isIPv4(std::string_view Text) {
  for (int Part = 0; Part < 4; ++Part) {
    std::size_t PartLength = Part < 3 ? Text.find('.') : Text.size();
    if (PartLength == std::string_view::npos || PartLength == 0 ||
        PartLength > 3)
      return false;
    unsigned Number = 0;
    auto [Rest, Error] =
        std::from_chars(Text.data(), Text.data() + PartLength, Number);
    if (Error != std::errc() || Rest != Text.data() + PartLength ||
        Number > 255)
      return false;
    Text.remove_prefix(std::min(PartLength + 1, Text.size()));
  }
  return Text.empty();
}

bool isIPv6(std::string_view Text) {
  return Text.size() >= 2 && Text.find(':') != std::string_view::npos &&
         Text.find_first_not_of("0123456789abcdefABCDEF:.") ==
             std::string_view::npos;
}

std::size_t computeEditDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  for (std::size_t J = 0; J <= B.size(); ++J)
    Row[J] = J;
  for (std::size_t I = 1; I <= A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= B.size(); ++J) {
      std::size_t Replaced = Diagonal + (A[I - 1] == B[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Replaced});
    }
  }
  return Row[B.size()];
}

} // namespace

std::optional<base::Duration> parseDuration(std::string_view Text) {
  auto Micros = parseQuantity(Text, TimeUnits);
  if (!Micros)
    return std::nullopt;
  return base::Duration{std::llround(*Micros)};
}

std::optional<base::ByteCount> parseBytes(std::string_view Text) {
  auto Bytes = parseQuantity(Text, SizeUnits);
  if (!Bytes)
    return std::nullopt;
  return base::ByteCount{static_cast<std::uint64_t>(*Bytes)};
}

std::optional<base::Percent> parsePercent(std::string_view Text) {
  auto Share = parseQuantity(Text, PercentUnits);
  if (!Share || *Share > 100)
    return std::nullopt;
  return base::Percent{*Share};
}

std::optional<base::PerSecond> parseRate(std::string_view Text) {
  if (Text == "none")
    return base::PerSecond{};
  auto Rate = parseQuantity(Text, RateUnits);
  if (!Rate || *Rate == 0)
    return std::nullopt;
  return base::PerSecond{*Rate};
}

bool isNetAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isPort(Text.substr(Colon + 1)))
    return false;
  std::string_view Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return isIPv6(Host.substr(1, Host.size() - 2));
  return isIPv4(Host);
}

bool isRemoteAddress(std::string_view Text) {
  std::string_view Port = Text.substr(Text.rfind(':') + 1);
  return isNetAddress(Text) &&
         Port.find_first_not_of('0') != std::string_view::npos;
}

bool isLoopback(std::string_view Address) {
  return Address.starts_with("127.") || Address.starts_with("[::1]:");
}

std::string findNearestName(std::string_view Input,
                            const std::vector<std::string> &Names) {
  std::size_t Best = std::min(MaxNameDistance, Input.size() / 2 + 1) + 1;
  std::string Nearest;
  if (Input.size() > MaxComparedLength)
    return Nearest;
  for (const std::string &Name : Names) {
    if (Name.size() > Input.size() + MaxNameDistance ||
        Input.size() > Name.size() + MaxNameDistance)
      continue;
    std::size_t Distance = computeEditDistance(Input, Name);
    if (Distance < Best) {
      Best = Distance;
      Nearest = Name;
    }
  }
  return Nearest;
}

} // namespace currantgauge::config

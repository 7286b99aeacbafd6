// Units of time and size as strong types, so that a millisecond is never taken
// for a byte or a deadline for a duration.
//
//   TimePoint Deadline = Now + milliseconds(250);
//   if (Deadline - Now > seconds(1)) ...
#ifndef CURRANTGAUGE_BASE_UNITS_H
#define CURRANTGAUGE_BASE_UNITS_H

#include <compare>
#include <cstdint>

namespace currantgauge::base {

// Duration is a span of time in microseconds; it may be negative.
struct Duration {
  std::int64_t Micros = 0;

  constexpr auto operator<=>(const Duration &) const = default;
  constexpr Duration &operator+=(Duration Other) {
    this->Micros += Other.Micros;
    return *this;
  }
};

constexpr Duration operator+(Duration A, Duration B) {
  return Duration{A.Micros + B.Micros};
}
constexpr Duration operator-(Duration A, Duration B) {
  return Duration{A.Micros - B.Micros};
}
constexpr Duration operator*(Duration A, std::int64_t Factor) {
  return Duration{A.Micros * Factor};
}
constexpr Duration operator/(Duration A, std::int64_t Divisor) {
  return Duration{A.Micros / Divisor};
}

// scaled() multiplies by a real factor and rounds towards zero.
constexpr Duration scale(Duration A, double Factor) {
  return Duration{
      static_cast<std::int64_t>(static_cast<double>(A.Micros) * Factor)};
}

constexpr Duration microseconds(std::int64_t Count) { return Duration{Count}; }
constexpr Duration milliseconds(std::int64_t Count) {
  return Duration{Count * 1000};
}
constexpr Duration seconds(std::int64_t Count) {
  return Duration{Count * 1000000};
}
constexpr Duration minutes(std::int64_t Count) { return seconds(Count * 60); }

// toMillis() returns whole milliseconds, rounded towards zero.
constexpr std::int64_t toMillis(Duration Span) { return Span.Micros / 1000; }
// toSeconds() returns seconds with their fraction.
constexpr double toSeconds(Duration Span) {
  return static_cast<double>(Span.Micros) / 1e6;
}

// TimePoint is a reading of a node's steady clock. It means nothing on another
// node: durations travel, time points do not.
struct TimePoint {
  std::int64_t Micros = 0;

  constexpr auto operator<=>(const TimePoint &) const = default;
};

constexpr TimePoint operator+(TimePoint At, Duration Span) {
  return TimePoint{At.Micros + Span.Micros};
}
constexpr TimePoint operator-(TimePoint At, Duration Span) {
  return TimePoint{At.Micros - Span.Micros};
}
constexpr Duration operator-(TimePoint A, TimePoint B) {
  return Duration{A.Micros - B.Micros};
}

// Never is later than every event.
constexpr TimePoint Never{INT64_MAX};

// UnixTime is wall-clock time in milliseconds since 1970. It stamps rows and
// logs; no decision on whether an action may run rests on it.
struct UnixTime {
  std::int64_t Millis = 0;

  constexpr auto operator<=>(const UnixTime &) const = default;
};

// ByteCount is a size in bytes.
struct ByteCount {
  std::uint64_t Bytes = 0;

  constexpr auto operator<=>(const ByteCount &) const = default;
};

constexpr ByteCount operator+(ByteCount A, ByteCount B) {
  return ByteCount{A.Bytes + B.Bytes};
}

// Percent is a share of a whole, 0 to 100.
struct Percent {
  double Value = 0;

  constexpr auto operator<=>(const Percent &) const = default;
};

// PerSecond is a rate of requests a second; zero means that no limit is set.
struct PerSecond {
  double Value = 0;

  constexpr auto operator<=>(const PerSecond &) const = default;
};

} // namespace currantgauge::base

#endif // CURRANTGAUGE_BASE_UNITS_H

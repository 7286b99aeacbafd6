// Strongly typed units of time and size: a time span can't be mixed up with a
// byte count, nor a point in time with a duration.
//
//   TimePoint Deadline = Now + milliseconds(250);
//   if (Deadline - Now > seconds(1)) ...
#ifndef CURRANTGAUGE_BASE_UNITS_H
#define CURRANTGAUGE_BASE_UNITS_H

#include <compare>
#include <cstdint>

namespace currantgauge::base {

// Duration is a signed span of time in microseconds.
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

// scale() multiplies by a floating-point factor and rounds towards zero.
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

// toMillis() converts to whole milliseconds, rounding towards zero.
constexpr std::int64_t toMillis(Duration Span) { return Span.Micros / 1000; }
// toSeconds() converts to fractional seconds.
constexpr double toSeconds(Duration Span) {
  return static_cast<double>(Span.Micros) / 1e6;
}

// TimePoint is a reading of this node's monotonic clock. It is meaningless on
// another node, so messages between nodes carry durations instead.
struct TimePoint {
  std::int64_t Micros = 0;

  constexpr auto operator<=>(const TimePoint &) const = default;
};

constexpr TimePoint operator+(TimePoint Time, Duration Span) {
  return TimePoint{Time.Micros + Span.Micros};
}
constexpr TimePoint operator-(TimePoint Time, Duration Span) {
  return TimePoint{Time.Micros - Span.Micros};
}
constexpr Duration operator-(TimePoint A, TimePoint B) {
  return Duration{A.Micros - B.Micros};
}

// Never is a time point that is never reached.
constexpr TimePoint Never{INT64_MAX};

// UnixTime is wall-clock time in milliseconds since the Unix epoch. It is used
// for timestamps in rows and logs and to expire old rows and quarantine
// records; whether an action may run never depends on it.
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

// Percent is a percentage from 0 to 100.
struct Percent {
  double Value = 0;

  constexpr auto operator<=>(const Percent &) const = default;
};

// PerSecond is a rate limit in requests per second; zero means unlimited.
struct PerSecond {
  double Value = 0;

  constexpr auto operator<=>(const PerSecond &) const = default;
};

} // namespace currantgauge::base

#endif // CURRANTGAUGE_BASE_UNITS_H

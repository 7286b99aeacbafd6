#include "currantgauge/http/caller_session.h"

namespace currantgauge::http {
namespace {

std::uint64_t valueOrDefault(base::ByteCount Value, base::ByteCount Default) {
  return (Value > base::ByteCount{} ? Value : Default).Bytes;
}

std::int64_t valueOrDefault(base::Duration Value, base::Duration Default) {
  return (Value > base::Duration{} ? Value : Default).Micros;
}

} // namespace

void setCallerLimits(CallerContext &Context,
                     const config::CallerLimits &Limits) {
  const config::CallerLimits &Defaults = Context.DefaultLimits;
  Context.HeaderBytes =
      valueOrDefault(Limits.HeaderLimit, Defaults.HeaderLimit);
  Context.BodyBytes = valueOrDefault(Limits.BodyLimit, Defaults.BodyLimit);
  Context.IdleMicros = valueOrDefault(Limits.IdleTimeout, Defaults.IdleTimeout);
  Context.ReadMicros = valueOrDefault(Limits.ReadTimeout, Defaults.ReadTimeout);
}

} // namespace currantgauge::http

// Order between threads that CAF or gRPC keeps with atomics of its own. The
// libraries are not built with the thread sanitizer, which would report each
// hand-over; without it these do nothing.
//
//   before giving:  publish(Call);
//   after taking:   observe(Call);
#ifndef CURRANTGAUGE_RUNTIME_HANDOVER_H
#define CURRANTGAUGE_RUNTIME_HANDOVER_H

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace currantgauge::runtime {

// publish() marks what this thread did so far as given with Token.
inline void publish([[maybe_unused]] void *Token) {
#ifdef __SANITIZE_THREAD__
  __tsan_release(Token);
#endif
}

// observe() marks it as taken with Token.
inline void observe([[maybe_unused]] void *Token) {
#ifdef __SANITIZE_THREAD__
  __tsan_acquire(Token);
#endif
}

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_HANDOVER_H

// Annotations for the thread sanitizer where CAF or gRPC passes an object from
// one thread to another. These libraries synchronize with their own atomics but
// are built without the sanitizer, which would report a false data race.
// Without the sanitizer, the functions do nothing.
//
//   before passing it on:  annotateRelease(Call);
//   after receiving it:    annotateAcquire(Call);
#ifndef CURRANTGAUGE_RUNTIME_TSAN_ANNOTATIONS_H
#define CURRANTGAUGE_RUNTIME_TSAN_ANNOTATIONS_H

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace currantgauge::runtime {

// annotateRelease() declares that what this thread did so far happens before
// the next annotateAcquire() with the same Token.
inline void annotateRelease([[maybe_unused]] void *Token) {
#ifdef __SANITIZE_THREAD__
  __tsan_release(Token);
#endif
}

// annotateAcquire() declares that what happened before annotateRelease() with
// the same Token is visible to this thread.
inline void annotateAcquire([[maybe_unused]] void *Token) {
#ifdef __SANITIZE_THREAD__
  __tsan_acquire(Token);
#endif
}

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_TSAN_ANNOTATIONS_H

#ifndef SCALESHED_SERVING_INTERNAL_DURATIONS_H_
#define SCALESHED_SERVING_INTERNAL_DURATIONS_H_

#include "scaleshed/core/types.h"

namespace scaleshed::serving::internal {

// How long a request whose fingerprint has crashed a server before waits for
// the result of a crash check, which takes 50 to 70 ms. Other requests are
// retried immediately.
inline constexpr Duration kCrashCheckTimeout = milliseconds(200);
// How long a request waits for the first probe result after an interrupted
// response. Most interrupted responses come from servers that still run; such a
// server responds to the probe within some milliseconds, and the request isn't
// crash-suspected then.
inline constexpr Duration kFirstProbeResultTimeout = milliseconds(15);

inline Duration FromMs(double ms) {
  return Duration(static_cast<Duration::rep>(ms * 1000));
}

inline Duration FractionOf(Duration whole, double part) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(whole.count()) * part));
}

// The delay after which a client may retry a request that backend servers
// declined or that may not be sent again: some responses end within this time
// and free capacity.
inline constexpr Duration kRetryAfterDeclined = milliseconds(150);

}  // namespace scaleshed::serving::internal

#endif  // SCALESHED_SERVING_INTERNAL_DURATIONS_H_

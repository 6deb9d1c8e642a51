#ifndef SCALESHED_SERVING_INTERNAL_DURATIONS_H_
#define SCALESHED_SERVING_INTERNAL_DURATIONS_H_

#include "scaleshed/core/types.h"

namespace scaleshed::serving::internal {

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

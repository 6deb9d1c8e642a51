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

// Until a client comes back whose request backend servers declined or may not
// get again: some answers end within it.
inline constexpr Duration kRetryAfterDeclined = milliseconds(150);

}  // namespace scaleshed::serving::internal

#endif  // SCALESHED_SERVING_INTERNAL_DURATIONS_H_

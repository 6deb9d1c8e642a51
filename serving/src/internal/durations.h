#ifndef SCALESHED_SERVING_INTERNAL_DURATIONS_H_
#define SCALESHED_SERVING_INTERNAL_DURATIONS_H_

#include "scaleshed/core/types.h"

namespace scaleshed::serving::internal {

inline Duration FromMs(double ms) {
  return Duration(static_cast<Duration::rep>(ms * 1000));
}

inline Duration PartOf(Duration whole, double part) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(whole.count()) * part));
}

}  // namespace scaleshed::serving::internal

#endif  // SCALESHED_SERVING_INTERNAL_DURATIONS_H_

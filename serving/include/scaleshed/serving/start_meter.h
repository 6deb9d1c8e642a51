#ifndef SCALESHED_SERVING_START_METER_H_
#define SCALESHED_SERVING_START_METER_H_

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

// Meters the requests that one backend server gets against a rate: a token
// bucket that holds one start, or a short time's worth of a high rate. It
// begins empty, as whoever begins to meter doesn't know what was just sent.
// Starts by others are taken as they are heard of, beyond what the bucket holds
// too: they are owed, so that the sum keeps to the rate.
class StartMeter {
 public:
  StartMeter() = default;
  explicit StartMeter(Time now) : at_(now) {}

  // `per_second`: over zero.
  void SetRate(Time now, double per_second);
  void Take(Time now);
  bool HasStart(Time now) const { return StartsAt(now) >= 1; }
  // Until there is one, if nobody takes it.
  Duration UntilStart(Time now) const;

 private:
  double StartsAt(Time now) const;

  double per_second_ = 0;
  double starts_ = 0;  // at `at_`; below zero: owed
  Time at_{};
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_START_METER_H_

#ifndef SCALESHED_SERVING_START_METER_H_
#define SCALESHED_SERVING_START_METER_H_

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

// Meters the requests that one backend server gets against a rate: a token
// bucket that holds one start, or a short time's worth of a high rate. It
// begins empty, as whoever begins to meter doesn't know what was just sent.
// Starts by others are taken as they are heard of, beyond what the bucket holds
// too: they are owed, so that the sum keeps to the rate.
class StartRateLimiter {
 public:
  StartRateLimiter() = default;
  explicit StartRateLimiter(Time now) : updated_at_(now) {}

  // `per_second`: over zero.
  void SetRate(Time now, double per_second);
  void TakeToken(Time now);
  bool HasToken(Time now) const { return TokensAt(now) >= 1; }
  // Until there is one, if nobody takes it.
  Duration TimeUntilToken(Time now) const;

 private:
  double TokensAt(Time now) const;

  double per_second_ = 0;
  double tokens_ = 0;  // at `at_`; below zero: owed
  Time updated_at_{};
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_START_METER_H_

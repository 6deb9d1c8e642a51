#ifndef SCALESHED_SERVING_START_METER_H_
#define SCALESHED_SERVING_START_METER_H_

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

// Limits the rate of requests sent to one backend server by all daemons: a
// token bucket whose size is one token, or a fraction of a second's worth of a
// high rate. The bucket starts empty, as the requests that were sent just
// before are unknown. TakeToken() is called for each request, also when another
// daemon's snapshot shows one. It may take the bucket below zero: the deficit
// delays later requests, so that the sum of all daemons keeps to the rate.
class StartRateLimiter {
 public:
  StartRateLimiter() = default;
  explicit StartRateLimiter(Time now) : updated_at_(now) {}

  // `per_second` must be above zero.
  void SetRate(Time now, double per_second);
  void TakeToken(Time now);
  bool HasToken(Time now) const { return TokensAt(now) >= 1; }
  // The time until a token is available if nothing takes one before; zero if
  // one is available now.
  Duration TimeUntilToken(Time now) const;

 private:
  double TokensAt(Time now) const;

  double per_second_ = 0;
  double tokens_ = 0;  // at `updated_at_`; below zero: token deficit
  Time updated_at_{};
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_START_METER_H_

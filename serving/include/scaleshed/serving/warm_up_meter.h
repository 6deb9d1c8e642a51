#ifndef SCALESHED_SERVING_WARM_UP_METER_H_
#define SCALESHED_SERVING_WARM_UP_METER_H_

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

// A placement on a cold server is void this long after the placement request
// that it answers was sent.
inline constexpr Duration kWarmUpGrantLifetime = milliseconds(300);

// The token bucket of a cold server.
struct WarmUpRate {
  double per_second = 0;
  double burst = 0;  // tokens that the bucket holds at most
};

// Returns the bucket whose grants, each used at any time within
// kWarmUpGrantLifetime, bring at most `bound` requests within any second.
// `per_second` is the rate that the server bears.
WarmUpRate WarmUpRateFor(double bound, double per_second);

// Counts the requests that the warm-up granter lets go to one cold server. The
// bucket starts empty, since earlier requests are unknown.
class WarmUpMeter {
 public:
  WarmUpMeter() = default;
  explicit WarmUpMeter(Time start) : updated_at_(start) {}

  // Changes the rate from `now` on.
  void SetRate(Time now, const WarmUpRate& rate);
  bool HasToken(Time now) const { return TokensAt(now) >= 1; }
  // To be called only if there is a token.
  void TakeToken(Time now);
  double TokensAt(Time now) const;
  // The time until there is a token; Duration::max() if there never is.
  Duration TimeUntilToken(Time now) const;
  double per_second() const { return rate_.per_second; }

 private:
  WarmUpRate rate_;
  double tokens_ = 0;  // at `updated_at_`
  Time updated_at_{};
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_WARM_UP_METER_H_

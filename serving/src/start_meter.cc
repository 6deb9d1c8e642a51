#include "scaleshed/serving/start_meter.h"

#include <algorithm>

namespace scaleshed::serving {
namespace {

// The bucket of a high rate holds the tokens of this time.
constexpr double kBurstSeconds = 0.25;
// The token deficit is limited to the tokens of this time, as a server checks
// its rate limit over the last seconds only.
constexpr double kMaxDeficitSeconds = 4;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void StartRateLimiter::SetRate(Time now, double per_second) {
  tokens_ = TokensAt(now);
  updated_at_ = now;
  per_second_ = per_second;
}

void StartRateLimiter::TakeToken(Time now) {
  const double min_tokens = -std::max(kMaxDeficitSeconds * per_second_, 1.0);
  tokens_ = std::max(TokensAt(now) - 1, min_tokens);
  updated_at_ = now;
}

Duration StartRateLimiter::TimeUntilToken(Time now) const {
  const double missing = 1 - TokensAt(now);
  if (missing <= 0) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / per_second_));
}

double StartRateLimiter::TokensAt(Time now) const {
  const double max_tokens = std::max(kBurstSeconds * per_second_, 1.0);
  return std::min(tokens_ + per_second_ * SecondsOf(now - updated_at_),
                  max_tokens);
}

}  // namespace scaleshed::serving

#include "scaleshed/serving/warm_up_meter.h"

#include <algorithm>
#include <cmath>

namespace scaleshed::serving {
namespace {

// Share of the bound that the bucket holds. It covers the time between two
// decisions about waiting requests; a larger bucket would lower the rate.
constexpr double kBurstShare = 0.1;
// Requests are whole, so that the bucket may let through this much more than
// the largest whole number within the bound.
constexpr double kUnusedFraction = 0.9;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

WarmUpRate WarmUpRateFor(double bound, double per_second) {
  const double whole = std::floor(bound);
  if (whole < 1) return {};
  const double burst = std::max(1.0, whole * kBurstShare);
  const double seconds_covered = 1 + SecondsOf(kWarmUpGrantLifetime);
  const double most = (whole + kUnusedFraction - burst) / seconds_covered;
  return {.per_second = std::min(per_second, most), .burst = burst};
}

void WarmUpMeter::SetRate(Time now, const WarmUpRate& rate) {
  tokens_ = std::min(TokensAt(now), rate.burst);
  updated_at_ = std::max(updated_at_, now);
  rate_ = rate;
}

void WarmUpMeter::TakeToken(Time now) {
  tokens_ = TokensAt(now) - 1;
  updated_at_ = std::max(updated_at_, now);
}

double WarmUpMeter::TokensAt(Time now) const {
  const double gained =
      rate_.per_second *
      SecondsOf(std::max(now - updated_at_, Duration::zero()));
  return std::min(tokens_ + gained, rate_.burst);
}

Duration WarmUpMeter::TimeUntilToken(Time now) const {
  const double missing = 1 - TokensAt(now);
  const Duration until_start = std::max(updated_at_ - now, Duration::zero());
  if (missing <= 0) return until_start;
  if (rate_.per_second <= 0) return Duration::max();
  return until_start +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(missing / rate_.per_second));
}

}  // namespace scaleshed::serving

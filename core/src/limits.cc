#include "scaleshed/core/limits.h"

#include <algorithm>
#include <cmath>

namespace scaleshed {
namespace {

constexpr double kMicrosPerSecond = 1e6;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

// How long a caller waits for room in flight, which no rate foretells.
constexpr Duration kInFlightRetry = seconds(1);

Limits Divided(const Limits& whole, double n) {
  return Limits{.requests_per_second = whole.requests_per_second / n,
                .tokens_per_second = whole.tokens_per_second / n,
                .tokens_in_flight = static_cast<std::int64_t>(
                    static_cast<double>(whole.tokens_in_flight) / n)};
}

void Subtract(Limits& from, const Limits& limits, double times) {
  from.requests_per_second -= limits.requests_per_second * times;
  from.tokens_per_second -= limits.tokens_per_second * times;
  from.tokens_in_flight -= static_cast<std::int64_t>(
      static_cast<double>(limits.tokens_in_flight) * times);
}

// What is wanted with some room to grow, at least the even share, and never
// more than is free.
double ShareOfOne(double free, double wanted, double even) {
  constexpr double kRoom = 1.25;
  const double most = std::max(free, 0.0);
  return std::clamp(wanted * kRoom, std::min(even, most), most);
}

Limits ShareOf(const Limits& free, const Limits& demand, const Limits& even) {
  const double in_flight =
      ShareOfOne(static_cast<double>(free.tokens_in_flight),
                 static_cast<double>(demand.tokens_in_flight),
                 static_cast<double>(even.tokens_in_flight));
  return Limits{.requests_per_second = ShareOfOne(free.requests_per_second,
                                                  demand.requests_per_second,
                                                  even.requests_per_second),
                .tokens_per_second =
                    ShareOfOne(free.tokens_per_second, demand.tokens_per_second,
                               even.tokens_per_second),
                .tokens_in_flight = static_cast<std::int64_t>(in_flight)};
}

}  // namespace

void TokenBucket::SetRate(double rate, Time now) {
  const bool first = !refilled_.has_value();
  Refill(now);
  rate_ = rate;
  level_ = first ? Capacity() : std::min(level_, Capacity());
}

double TokenBucket::Capacity() const { return std::max(rate_, 1.0); }

void TokenBucket::Refill(Time now) {
  if (refilled_) level_ += Seconds(now - *refilled_) * rate_;
  level_ = std::min(level_, Capacity());
  refilled_ = now;
}

Duration TokenBucket::WaitFor(double amount, Time now) {
  Refill(now);
  const double needed = std::min(amount, Capacity());
  if (level_ >= needed) return Duration::zero();
  if (rate_ <= 0) return Duration::max();
  const double wait = (needed - level_) / rate_ * kMicrosPerSecond;
  return Duration(static_cast<std::int64_t>(std::ceil(wait)));
}

void AccountLimiter::SetShare(const Limits& whole, int instances, Time now) {
  even_share_ = Divided(whole, std::max(instances, 1));
  if (!grant_until_ || now >= *grant_until_) Apply(even_share_, now);
}

void AccountLimiter::Grant(const Limits& share, Time until, Time now) {
  grant_until_ = until;
  Apply(share, now);
}

void AccountLimiter::Apply(const Limits& share, Time now) {
  share_ = share;
  requests_.SetRate(share.requests_per_second, now);
  tokens_.SetRate(share.tokens_per_second, now);
}

std::optional<Duration> AccountLimiter::Admit(std::int64_t tokens, Time now) {
  if (grant_until_ && now >= *grant_until_) {
    grant_until_.reset();
    Apply(even_share_, now);
  }
  const auto amount = static_cast<double>(tokens);
  asked_requests_ += 1;
  asked_tokens_ += amount;
  const Duration wait =
      std::max(requests_.WaitFor(1, now), tokens_.WaitFor(amount, now));
  if (wait > Duration::zero()) return wait;
  // One request larger than the share may still run when it is alone.
  const bool fits = in_flight_ + tokens <= share_.tokens_in_flight;
  if (!fits && (in_flight_ > 0 || share_.tokens_in_flight <= 0)) {
    return kInFlightRetry;
  }
  requests_.Take(1);
  tokens_.Take(amount);
  in_flight_ += tokens;
  return std::nullopt;
}

void AccountLimiter::Release(std::int64_t tokens) { in_flight_ -= tokens; }

Limits AccountLimiter::TakeDemand(Time now) {
  const double elapsed = asked_since_ ? Seconds(now - *asked_since_) : 1.0;
  const double period = std::max(elapsed, 0.1);
  const Limits demand{.requests_per_second = asked_requests_ / period,
                      .tokens_per_second = asked_tokens_ / period,
                      .tokens_in_flight = in_flight_};
  asked_requests_ = 0;
  asked_tokens_ = 0;
  asked_since_ = now;
  return demand;
}

Limits AllowanceOwner::Divide(const Limits& whole, int instances,
                              const std::string& instance, const Limits& demand,
                              Time now, Duration valid_for) {
  const auto lapsed = [&](const auto& it) { return now >= it.second.until; };
  std::erase_if(granted_, lapsed);
  granted_.erase(instance);
  const double n = std::max(instances, 1);
  const Limits even = Divided(whole, n);
  Limits share = even;
  if (now - since_ >= valid_for) {
    const double granted = static_cast<double>(granted_.size());
    const double silent = std::max(n - 1 - granted, 0.0);
    Limits free = whole;
    for (const auto& [name, it] : granted_) Subtract(free, it.share, 1);
    Subtract(free, even, silent);
    share = ShareOf(free, demand, even);
  }
  granted_[instance] = Granted{.share = share, .until = now + valid_for};
  return share;
}

}  // namespace scaleshed

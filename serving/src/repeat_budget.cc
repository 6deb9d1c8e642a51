#include "scaleshed/serving/repeat_budget.h"

namespace scaleshed::serving {
namespace {

// Fraction of the configured ratio that a daemon uses for its own requests. A
// retry is allowed by requests of the whole window before it, so the retries of
// one window may rest on the requests of two windows: if a daemon is killed and
// restarted, or clients move to other daemons, the requests of both windows
// count for some daemon. The bound allows only the ratio of one window's
// requests, and half of the ratio keeps to it in each of these cases.
constexpr double kRatioFraction = 0.5;
// Fraction of its slack share that a daemon uses. Retries are counted where
// they arrive, a little later than here, so a window there may hold some more.
constexpr double kSlackFraction = 0.9;

}  // namespace

void RetryBudget::CountRequest(Time now) {
  DropExpired(now);
  requests_.push_back(now);
}

bool RetryBudget::ReserveRetry(Time now, double slack_fraction) {
  const RetryUsage usage = Usage(now, slack_fraction);
  const auto committed = static_cast<double>(usage.retries + usage.reserved);
  if (committed + 1 > usage.available) return false;
  ++reserved_;
  return true;
}

bool RetryBudget::CommitRetry(Time now, double slack_fraction) {
  ReleaseRetry();
  const RetryUsage usage = Usage(now, slack_fraction);
  if (static_cast<double>(usage.retries) + 1 > usage.available) return false;
  retries_.push_back(now);
  return true;
}

RetryUsage RetryBudget::Usage(Time now, double slack_fraction) {
  DropExpired(now);
  const auto requests = static_cast<double>(requests_.size());
  return {.requests = requests_.size(),
          .retries = retries_.size(),
          .reserved = reserved_,
          .available = kRatioFraction * options_.ratio * requests +
                       kSlackFraction * options_.slack * slack_fraction};
}

void RetryBudget::DropExpired(Time now) {
  const Time from = now - options_.window;
  while (!requests_.empty() && requests_.front() < from) requests_.pop_front();
  while (!retries_.empty() && retries_.front() < from) retries_.pop_front();
}

}  // namespace scaleshed::serving

#ifndef SCALESHED_CORE_RETRY_H_
#define SCALESHED_CORE_RETRY_H_

#include <algorithm>
#include <random>

#include "scaleshed/core/types.h"

namespace scaleshed {

// Allows retries as a share of first tries, so that retries can't multiply the
// load of a fleet that fails. Not thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(double share) : share_(share) {}
  void FirstTry() { credit_ = std::min(credit_ + share_, kMaxCredit); }
  // Takes one retry where the budget has it.
  bool TryTake() {
    if (credit_ < 1.0) return false;
    credit_ -= 1.0;
    return true;
  }

 private:
  static constexpr double kMaxCredit = 50.0;
  double share_;
  // A fresh daemon may retry a little before it has seen much traffic.
  double credit_ = 10.0;
};

// Exponential backoff with full jitter between a half and the whole of the
// step. `tries` counts the failures so far, from one.
template <typename Random>
Duration Backoff(int tries, Random& random) {
  constexpr Duration kFirst = milliseconds(25);
  constexpr Duration kMost = seconds(2);
  const int doublings = std::clamp(tries - 1, 0, 7);
  const Duration step = std::min(kFirst * (1 << doublings), kMost);
  std::uniform_int_distribution<std::int64_t> jitter(step.count() / 2,
                                                     step.count());
  return Duration(jitter(random));
}

}  // namespace scaleshed

#endif  // SCALESHED_CORE_RETRY_H_

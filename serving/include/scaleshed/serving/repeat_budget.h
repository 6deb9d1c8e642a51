#ifndef SCALESHED_SERVING_REPEAT_BUDGET_H_
#define SCALESHED_SERVING_REPEAT_BUDGET_H_

#include <cstddef>
#include <deque>

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

struct RetryBudgetOptions {
  double ratio = 0.2;             // repeats for each request, over the fleet
  double slack = 0;               // repeats besides, over the fleet
  Duration window = seconds(10);  // sliding
};

// What one daemon has counted of a service within the window that ends now, and
// how many repeats it may have made by that.
struct RetryUsage {
  std::size_t requests = 0;
  std::size_t retries = 0;   // that were sent
  std::size_t reserved = 0;  // that are allowed and wait to be sent
  double available = 0;
};

// Bounds the sends of one daemon to one service that are not the first of their
// request: to half of the ratio of its own requests and to its part of the
// slack, so that the sum over all daemons and their lives keeps to both,
// whoever is killed and wherever callers move. A repeat is planned when it is
// decided and counts in the window when it leaves, as it arrives then: it may
// wait for longer than a window in between. Every window of that length is
// kept, wherever it begins.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options = {})
      : options_(options) {}

  void CountRequest(Time now);
  // Sets room aside for a repeat. False where there is none. `part`: of the
  // slack, from nothing to one.
  bool ReserveRetry(Time now, double part);
  // Takes a planned repeat for sent. False where there is no room for it any
  // more: it is planned no longer, and must not be sent.
  bool CommitRetry(Time now, double part);
  // A planned repeat that is not sent.
  void ReleaseRetry() { --reserved_; }

  RetryUsage Usage(Time now, double part);

 private:
  void DropExpired(Time now);

  RetryBudgetOptions options_;
  std::deque<Time> requests_;
  std::deque<Time> retries_;
  std::size_t reserved_ = 0;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_REPEAT_BUDGET_H_

#ifndef SCALESHED_SERVING_REPEAT_BUDGET_H_
#define SCALESHED_SERVING_REPEAT_BUDGET_H_

#include <cstddef>
#include <deque>

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

// Bound on the retries of the whole fleet to one service within any window:
// `ratio` for each request, and `slack` besides.
struct RetryBudgetOptions {
  double ratio = 0.2;             // retries per request, over the fleet
  double slack = 0;               // retries besides the ratio, over the fleet
  Duration window = seconds(10);  // length of the sliding window
};

// What one daemon has counted for a service within the window that ends now,
// and how many retries it may send within that window.
struct RetryUsage {
  std::size_t requests = 0;
  std::size_t retries = 0;   // retries that were sent
  std::size_t reserved = 0;  // retries that are allowed and wait to be sent
  double available = 0;      // retries that are allowed within the window
};

// Bounds the retries that one daemon sends to one service: to half of the ratio
// of its own requests plus 0.9 of its share of the slack. The sum over all
// daemons and their incarnations thus keeps to RetryBudgetOptions even if
// daemons are killed and clients move to others. A retry is reserved when it is
// decided on, and counts in the window from when it is sent, since it reaches
// the service then: it may wait for longer than a window in between. The bound
// holds for every window of that length, wherever it begins.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options = {})
      : options_(options) {}

  void CountRequest(Time now);
  // Reserves one retry. Returns false if none is available. `slack_fraction`:
  // this daemon's share of the slack, from 0 to 1.
  bool ReserveRetry(Time now, double slack_fraction);
  // Counts a reserved retry as sent. Returns false if the budget no longer
  // allows it: the reservation is released, and the retry must not be sent.
  bool CommitRetry(Time now, double slack_fraction);
  // Releases the reservation of a retry that isn't sent.
  void ReleaseRetry() { --reserved_; }

  RetryUsage Usage(Time now, double slack_fraction);

 private:
  void DropExpired(Time now);

  RetryBudgetOptions options_;
  std::deque<Time> requests_;
  std::deque<Time> retries_;
  std::size_t reserved_ = 0;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_REPEAT_BUDGET_H_

#ifndef SCALESHED_SERVING_REPEAT_BUDGET_H_
#define SCALESHED_SERVING_REPEAT_BUDGET_H_

#include <deque>

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

struct RepeatBudgetOptions {
  double ratio = 0.2;             // repeats for each request, over the fleet
  double slack = 0;               // repeats besides, over the fleet
  Duration window = seconds(10);  // sliding
};

// What one daemon has counted of a service within the window that ends now, and
// how many repeats it may have made by that.
struct RepeatAccount {
  std::size_t requests = 0;
  std::size_t repeats = 0;
  double room = 0;
};

// Bounds the sends of one daemon to one service that are not the first of their
// request. Each daemon keeps to the ratio of its own requests and to an even
// share of the slack, so that the sum over all daemons keeps to both without
// any exchange. Every window of that length is kept, wherever it begins.
class RepeatBudget {
 public:
  explicit RepeatBudget(const RepeatBudgetOptions& options = {})
      : options_(options) {}

  void CountRequest(Time now);
  // Counts a repeat if there is room for one among `daemons`.
  bool Spend(Time now, std::size_t daemons);

  RepeatAccount Account(Time now, std::size_t daemons);

 private:
  void Forget(Time now);

  RepeatBudgetOptions options_;
  std::deque<Time> requests_;
  std::deque<Time> repeats_;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_REPEAT_BUDGET_H_

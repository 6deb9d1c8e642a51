#include "scaleshed/serving/repeat_budget.h"

namespace scaleshed::serving {
namespace {

// Of the ratio. A repeat goes back to requests of a whole window before it, so
// those of one window may go back to the requests of two: where a daemon is
// killed and comes back, or callers move to others, each request counts for
// somebody. The bound allows the ratio of one window's requests, so half of it
// holds whatever lives and dies.
constexpr double kRatioPart = 0.5;
// Of the slack: repeats are counted where they arrive, a little later than
// here.
constexpr double kSlackPart = 0.9;

}  // namespace

void RepeatBudget::CountRequest(Time now) {
  Forget(now);
  requests_.push_back(now);
}

bool RepeatBudget::Plan(Time now, double part) {
  const RepeatAccount account = Account(now, part);
  const auto taken = static_cast<double>(account.repeats + account.planned);
  if (taken + 1 > account.room) return false;
  ++planned_;
  return true;
}

bool RepeatBudget::Send(Time now, double part) {
  Drop();
  const RepeatAccount account = Account(now, part);
  if (static_cast<double>(account.repeats) + 1 > account.room) return false;
  repeats_.push_back(now);
  return true;
}

RepeatAccount RepeatBudget::Account(Time now, double part) {
  Forget(now);
  const auto requests = static_cast<double>(requests_.size());
  return {.requests = requests_.size(),
          .repeats = repeats_.size(),
          .planned = planned_,
          .room = kRatioPart * options_.ratio * requests +
                  kSlackPart * options_.slack * part};
}

void RepeatBudget::Forget(Time now) {
  const Time from = now - options_.window;
  while (!requests_.empty() && requests_.front() < from) requests_.pop_front();
  while (!repeats_.empty() && repeats_.front() < from) repeats_.pop_front();
}

}  // namespace scaleshed::serving

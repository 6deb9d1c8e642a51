#include "scaleshed/serving/repeat_budget.h"

namespace scaleshed::serving {
namespace {

// Part of the bound that is used: requests and repeats of one window are
// counted where they arrive, a little later than here.
constexpr double kUsedPart = 0.9;

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
  return {.requests = requests_.size(),
          .repeats = repeats_.size(),
          .planned = planned_,
          .room = kUsedPart *
                  (options_.ratio * static_cast<double>(requests_.size()) +
                   options_.slack * part)};
}

void RepeatBudget::Forget(Time now) {
  const Time from = now - options_.window;
  while (!requests_.empty() && requests_.front() < from) requests_.pop_front();
  while (!repeats_.empty() && repeats_.front() < from) repeats_.pop_front();
}

}  // namespace scaleshed::serving

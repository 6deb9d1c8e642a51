#include "scaleshed/serving/repeat_budget.h"

#include <algorithm>

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

RepeatAccount RepeatBudget::Account(Time now, std::size_t daemons) {
  Forget(now);
  const auto share = static_cast<double>(std::max<std::size_t>(daemons, 1));
  const double room =
      kUsedPart * (options_.ratio * static_cast<double>(requests_.size()) +
                   options_.slack / share);
  return {
      .requests = requests_.size(), .repeats = repeats_.size(), .room = room};
}

bool RepeatBudget::Spend(Time now, std::size_t daemons) {
  const RepeatAccount account = Account(now, daemons);
  if (static_cast<double>(account.repeats) + 1 > account.room) return false;
  repeats_.push_back(now);
  return true;
}

void RepeatBudget::Forget(Time now) {
  const Time from = now - options_.window;
  while (!requests_.empty() && requests_.front() < from) requests_.pop_front();
  while (!repeats_.empty() && repeats_.front() < from) repeats_.pop_front();
}

}  // namespace scaleshed::serving

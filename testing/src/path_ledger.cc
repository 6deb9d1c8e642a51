#include "scaleshed/testing/path_ledger.h"

#include <algorithm>

namespace scaleshed::testing {

double PathLedger::Count::share() const {
  return requests == 0
             ? 1
             : static_cast<double>(served) / static_cast<double>(requests);
}

PathLedger::Group PathLedger::Sent(Time now, const std::string& daemon) const {
  const auto disturbed = disturbed_.find(daemon);
  if (disturbed != disturbed_.end() && now < disturbed->second + kContact)
    return Group::kNotCounted;
  const bool counts =
      std::any_of(cut_.begin(), cut_.end(),
                  [&](const auto& it) { return now >= it.second + kContact; });
  if (!counts) return Group::kNotCounted;
  const auto it = cut_.find(daemon);
  if (it == cut_.end()) return Group::kOther;
  return now >= it->second + kContact ? Group::kCutOff : Group::kNotCounted;
}

void PathLedger::Ended(Group group, bool served) {
  if (group == Group::kNotCounted) return;
  Count& count = group == Group::kCutOff ? cut_off_ : others_;
  ++count.requests;
  if (served) ++count.served;
}

std::vector<std::string> PathLedger::Broken() const {
  const double allowed =
      kFailuresAllowed +
      kFailureShareAllowed *
          static_cast<double>(cut_off_.requests + others_.requests);
  const bool holds = cut_off_.share() >= kLeastServedShare * others_.share() ||
                     cut_off_.failed() <= allowed;
  if (holds) return {};
  const auto text = [](const Count& it) {
    return std::to_string(it.served) + " of " + std::to_string(it.requests);
  };
  return {"daemons cut off from all servers served " + text(cut_off_) +
          ", the others " + text(others_)};
}

}  // namespace scaleshed::testing

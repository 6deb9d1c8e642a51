#include "scaleshed/testing/evacuation_ledger.h"

#include <algorithm>

namespace scaleshed::testing {

void EvacuationLedger::Arrived(Time after, const std::string& data_centre,
                               const std::string& daemon,
                               const std::string& request) {
  const auto evacuated = since_.find(data_centre);
  if (evacuated == since_.end()) return;
  Time due = evacuated->second + kInForce;
  if (store_ != Time{}) due = std::max(due, store_ + kContact);
  const auto disturbed = daemons_.find(daemon);
  if (disturbed != daemons_.end())
    due = std::max(due, disturbed->second + kContact);
  if (after <= due) return;
  broken_.push_back("request " + request + " reached a server of " +
                    data_centre + " after it was evacuated, from " + daemon);
}

}  // namespace scaleshed::testing

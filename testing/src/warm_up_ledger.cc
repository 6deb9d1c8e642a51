#include "scaleshed/testing/warm_up_ledger.h"

#include <algorithm>

namespace scaleshed::testing {

void WarmUpLedger::BecameCold(Time now, const std::string& server,
                              Duration length) {
  cold_[server] = {.since = now, .until = now + length, .arrivals = {}};
}

void WarmUpLedger::Arrived(Time after, Time now, const std::string& server) {
  const auto found = cold_.find(server);
  if (found == cold_.end()) return;
  Cold& it = found->second;
  const Time due = std::max(it.since, store_) + kKnown;
  if (after < due || now >= it.until) return;
  ++counted_;
  // What was certainly within one second of the last of these arrivals.
  while (!it.arrivals.empty() && it.arrivals.front() <= now - kWindow)
    it.arrivals.pop_front();
  it.arrivals.push_back(after);
  it.most = std::max(it.most, it.arrivals.size());
  if (static_cast<double>(it.most) > bound_)
    broken_[server] = std::max(broken_[server], it.most);
}

std::vector<std::string> WarmUpLedger::Broken() const {
  std::vector<std::string> broken;
  for (const auto& [server, most] : broken_) {
    broken.push_back("cold: " + server + " got " + std::to_string(most) +
                     " requests within one second");
  }
  return broken;
}

}  // namespace scaleshed::testing

#include "scaleshed/testing/server_ledger.h"

#include <algorithm>

namespace scaleshed::testing {

void ServerLedger::Answered(Time now, const std::string& server,
                            std::size_t daemon, std::optional<double> limit) {
  Server& it = servers_[server];
  it.last = now;
  if (!limit) {
    it.limit.reset();
    it.told.clear();
    return;
  }
  if (!it.limit) {
    it.named = now;
    it.arrivals.clear();
  }
  it.limit = limit;
  it.told.try_emplace(daemon, now);
}

void ServerLedger::Arrived(Time now, const std::string& server,
                           std::size_t daemon) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  Server& it = found->second;
  it.last = now;
  if (!it.limit) return;
  const auto told = it.told.find(daemon);
  it.arrivals.push_back(
      {.at = now,
       .counts = told != it.told.end() && now >= told->second + kHeed,
       .limit = *it.limit});
}

void ServerLedger::Excuse(std::size_t daemon) {
  for (auto& [name, it] : servers_) it.told.erase(daemon);
}

std::vector<ServerLedger::LimitWindow> ServerLedger::WorstLimitWindows() const {
  std::vector<LimitWindow> worst;
  const double seconds_each =
      std::chrono::duration<double>(kLimitWindow).count();
  for (const auto& [name, server] : servers_) {
    LimitWindow found{.server = name};
    double most_beyond = 0;
    for (const Arrival& last : server.arrivals) {
      if (!last.counts || last.at < server.named + kContact) continue;
      LimitWindow window{.server = name, .end = last.at};
      double limit = 0;
      for (const Arrival& it : server.arrivals) {
        const bool inside =
            it.at > last.at - kLimitWindow && it.at <= last.at && it.counts;
        if (!inside) continue;
        ++window.requests;
        limit = std::max(limit, it.limit);
      }
      window.allowed = kLimitFactor * limit * seconds_each + kLimitSlack;
      const double beyond =
          static_cast<double>(window.requests) - window.allowed;
      if (found.requests > 0 && beyond <= most_beyond) continue;
      most_beyond = beyond;
      found = window;
    }
    if (found.requests > 0) worst.push_back(found);
  }
  return worst;
}

double ServerLedger::PartUsed(const std::string& server) const {
  const Server& it = servers_.at(server);
  const Time from = it.named + kContact;
  const auto came =
      std::count_if(it.arrivals.begin(), it.arrivals.end(),
                    [&](const Arrival& arrival) { return arrival.at >= from; });
  const double length = std::chrono::duration<double>(it.last - from).count();
  const double allowed = length * it.limit.value_or(0);
  return allowed > 0 ? static_cast<double>(came) / allowed : 0;
}

std::vector<std::string> ServerLedger::Broken() const {
  std::vector<std::string> broken;
  for (const LimitWindow& it : WorstLimitWindows()) {
    if (static_cast<double>(it.requests) <= it.allowed) continue;
    broken.push_back("limit: " + it.server + " got " +
                     std::to_string(it.requests) + " in one window, of " +
                     std::to_string(it.allowed) + " allowed");
  }
  return broken;
}

}  // namespace scaleshed::testing

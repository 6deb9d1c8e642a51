#include "scaleshed/testing/server_ledger.h"

#include <algorithm>

namespace scaleshed::testing {
namespace {

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ServerLedger::NameLimit(Time now, const std::string& server,
                             std::optional<double> limit) {
  Server& it = servers_[server];
  it.last = now;
  if (limit && !it.limit) {
    it.named = now;
    it.arrivals.clear();
  }
  it.limit = limit;
  if (!limit) it.told.clear();
}

void ServerLedger::ToldLimit(Time now, const std::string& server,
                             const std::string& daemon) {
  Server& it = servers_[server];
  it.last = now;
  if (it.limit) it.told.try_emplace(daemon, now);
}

void ServerLedger::Arrived(Time after, Time now, const std::string& server,
                           const std::string& daemon) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  Server& it = found->second;
  it.last = now;
  if (!it.limit) return;
  const auto told = it.told.find(daemon);
  it.arrivals.push_back(
      {.after = after,
       .at = now,
       .counts = told != it.told.end() && after >= told->second + kHeed,
       .limit = *it.limit});
}

void ServerLedger::Excuse(const std::string& daemon) {
  for (auto& [name, it] : servers_) it.told.erase(daemon);
}

ServerLedger::LimitWindow ServerLedger::WindowOf(const std::string& name,
                                                 const Server& server,
                                                 Time end) {
  LimitWindow window{.server = name, .end = end};
  double limit = 0;
  for (const Arrival& it : server.arrivals) {
    const bool inside =
        it.counts && it.after >= end - kLimitWindow && it.at <= end;
    if (!inside) continue;
    ++window.requests;
    limit = std::max(limit, it.limit);
  }
  window.allowed = kLimitFactor * limit * SecondsOf(kLimitWindow) + kLimitSlack;
  return window;
}

std::vector<ServerLedger::LimitWindow> ServerLedger::WorstLimitWindows() const {
  std::vector<LimitWindow> worst;
  for (const auto& [name, server] : servers_) {
    LimitWindow found{.server = name};
    double most_beyond = 0;
    // A window with the most requests ends with one of them.
    for (const Arrival& last : server.arrivals) {
      if (!last.counts || last.at < server.named + kContact) continue;
      const LimitWindow window = WindowOf(name, server, last.at);
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
  const double allowed = SecondsOf(it.last - from) * it.limit.value_or(0);
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

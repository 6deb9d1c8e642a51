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

void ServerLedger::ToldLeaving(Time now, const std::string& server,
                               const std::string& daemon) {
  leaving_.try_emplace({server, daemon}, now);
}

void ServerLedger::AskRest(Time now, const std::string& server,
                           const std::string& daemon, Duration length) {
  rests_.push_back({.server = server,
                    .daemon = daemon,
                    .asked = now,
                    .until = now + length});
}

bool ServerLedger::IsInRest(Time now, const std::string& server) const {
  return std::any_of(rests_.begin(), rests_.end(), [&](const Rest& it) {
    return it.server == server && now < it.until;
  });
}

void ServerLedger::Arrived(const ServerArrival& arrival) {
  CountLimited(arrival);
  CountLate(arrival);
  CountInRest(arrival);
}

void ServerLedger::CountLimited(const ServerArrival& arrival) {
  const auto found = servers_.find(arrival.server);
  if (found == servers_.end()) return;
  Server& it = found->second;
  it.last = arrival.now;
  if (!it.limit) return;
  const auto told = it.told.find(arrival.daemon);
  it.arrivals.push_back(
      {.after = arrival.after,
       .at = arrival.now,
       .counts = told != it.told.end() && arrival.after >= told->second + kHeed,
       .limit = *it.limit});
}

void ServerLedger::CountLate(const ServerArrival& arrival) {
  const auto told = leaving_.find({arrival.expected, arrival.daemon});
  if (told == leaving_.end()) return;
  const Duration beyond = arrival.sent - (told->second + kDrain);
  if (beyond > Duration::zero()) late_.emplace_back(arrival, beyond);
}

void ServerLedger::CountInRest(const ServerArrival& arrival) {
  for (Rest& it : rests_) {
    const bool counts =
        it.server == arrival.server && it.daemon == arrival.sender &&
        arrival.after >= it.asked + kHeed && arrival.now < it.until;
    if (counts) ++it.requests;
  }
}

void ServerLedger::Excuse(const std::string& daemon) {
  for (auto& [name, it] : servers_) it.told.erase(daemon);
  std::erase_if(leaving_,
                [&](const auto& it) { return it.first.second == daemon; });
  // What came until now was from a daemon that could know.
  for (Rest& it : rests_) {
    if (it.daemon == daemon) it.until = Time{};
  }
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
  for (const auto& [it, beyond] : late_) {
    broken.push_back("leaving: " + it.server + " got " + it.request + " for " +
                     it.expected + " from " + it.daemon +
                     ", which had passed on that it leaves, " +
                     std::to_string(SecondsOf(beyond)) + " s late");
  }
  for (const Rest& it : rests_) {
    if (it.requests <= kMostInRest) continue;
    broken.push_back("rest: " + it.server + " had asked " + it.daemon +
                     " for rest, and got " + std::to_string(it.requests) +
                     " requests from it meanwhile");
  }
  return broken;
}

}  // namespace scaleshed::testing

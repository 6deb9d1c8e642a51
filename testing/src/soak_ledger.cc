#include "scaleshed/testing/soak_ledger.h"

#include <algorithm>

namespace scaleshed::testing {
namespace {

// How many of them are not after `time`.
std::size_t CountUntil(const std::vector<Time>& times, Time time) {
  const auto it = std::upper_bound(times.begin(), times.end(), time);
  return static_cast<std::size_t>(it - times.begin());
}

}  // namespace

void SoakLedger::Sent(Time now, const std::string& service,
                      const std::string& id, bool once) {
  requests_[id] = {.service = service, .once = once};
  services_[service].requests.push_back(now);
}

void SoakLedger::Arrived(Time after, Time now, const std::string& service,
                         const std::string& id, bool ran) {
  Request& request = requests_[id];
  if (request.arrivals++ > 0) {
    services_[service].repeats_after.push_back(after);
    services_[service].repeats.push_back(now);
  }
  if (ran) ++request.runs;
}

void SoakLedger::PromisedNotRun(const std::string& id) {
  requests_[id].promised = true;
}

// The requests of the window, of the one before, or of the one half a window
// earlier, whichever are most: a repeat may follow its request by so long.
double SoakLedger::AllowedAt(const Times& times, Time end) const {
  const auto requests = [&](Time until) {
    return CountUntil(times.requests, until) -
           CountUntil(times.requests, until - bound_.window);
  };
  const std::size_t most =
      std::max({requests(end), requests(end - bound_.window / 2),
                requests(end - bound_.window)});
  return bound_.ratio * static_cast<double>(most) + bound_.slack;
}

std::vector<RepeatWindow> SoakLedger::WorstWindows() const {
  std::vector<RepeatWindow> worst;
  for (const auto& [service, times] : services_) {
    RepeatWindow found{.service = service};
    double most_beyond = 0;
    // A window with the most repeats ends with one of them.
    for (const Time end : times.repeats) {
      const std::size_t before =
          CountUntil(times.repeats_after, end - bound_.window);
      // Where the process that counts was kept from looking, a repeat that may
      // have come before the window isn't known to have come by its end.
      const std::size_t until = CountUntil(times.repeats, end);
      const std::size_t n = until > before ? until - before : 0;
      const double allowed = AllowedAt(times, end);
      const double beyond = static_cast<double>(n) - allowed;
      if (found.repeats > 0 && beyond <= most_beyond) continue;
      most_beyond = beyond;
      found = {
          .service = service, .end = end, .repeats = n, .allowed = allowed};
    }
    if (found.repeats > 0) worst.push_back(found);
  }
  return worst;
}

std::vector<std::string> SoakLedger::Broken() const {
  std::vector<std::string> broken;
  for (const RepeatWindow& it : WorstWindows()) {
    if (static_cast<double>(it.repeats) <= it.allowed) continue;
    broken.push_back("repeats: " + it.service + " got " +
                     std::to_string(it.repeats) + " in one window, of " +
                     std::to_string(it.allowed) + " allowed");
  }
  for (const auto& [id, it] : requests_) {
    if (it.service.empty()) broken.push_back("nobody sent " + id);
    if (it.once && it.runs > 1) {
      broken.push_back(id + " may run once and ran " + std::to_string(it.runs) +
                       " times");
    }
    if (it.promised && it.runs > 0) {
      broken.push_back(id + " ran, and its caller was told that it had not");
    }
  }
  return broken;
}

}  // namespace scaleshed::testing

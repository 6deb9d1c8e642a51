#include "scaleshed/core/fair_queue.h"

#include <algorithm>
#include <limits>

namespace scaleshed {
namespace {

// The class after ageing; below zero for what has waited longest.
std::int64_t AgedClass(const FairQueue::Entry& entry, Time now) {
  const std::int64_t quarter =
      std::max<std::int64_t>(entry.time_limit.count() / 4, 1);
  return static_cast<std::int64_t>(entry.priority) -
         (now - entry.arrived).count() / quarter;
}

}  // namespace

void FairQueue::Push(Entry entry) {
  // An account that comes back from idleness starts level with the others and
  // has no credit saved up.
  if (!served_.contains(entry.account)) {
    double least = std::numeric_limits<double>::max();
    for (const auto& [account, served] : served_)
      least = std::min(least, served);
    served_[entry.account] = served_.empty() ? 0.0 : least;
  }
  std::deque<Entry>& line = lines_[LineKey{.account = entry.account,
                                           .priority = entry.priority,
                                           .level = entry.level}];
  const auto place = std::upper_bound(
      line.begin(), line.end(), entry,
      [](const Entry& a, const Entry& b) { return a.arrived < b.arrived; });
  line.insert(place, std::move(entry));
  ++size_;
}

void FairQueue::Remove(RequestKey key) {
  for (auto it = lines_.begin(); it != lines_.end(); ++it) {
    const std::size_t erased =
        std::erase_if(it->second, [&](const Entry& n) { return n.key == key; });
    if (erased == 0) continue;
    size_ -= erased;
    if (it->second.empty()) lines_.erase(it);
    return;
  }
}

std::vector<FairQueue::Entry> FairQueue::Heads(Time now) const {
  std::vector<Entry> heads;
  for (const auto& [key, line] : lines_) {
    const auto ready =
        std::find_if(line.begin(), line.end(),
                     [&](const Entry& it) { return it.not_before <= now; });
    if (ready != line.end()) heads.push_back(*ready);
  }
  std::sort(heads.begin(), heads.end(), [&](const Entry& a, const Entry& b) {
    const auto order = [&](const Entry& it) {
      return std::tuple(AgedClass(it, now), served_.at(it.account), it.arrived);
    };
    return order(a) < order(b);
  });
  return heads;
}

Duration FairQueue::WorkBefore(Priority priority, int level) const {
  Duration work{};
  for (const auto& [key, line] : lines_) {
    if (key.priority > priority || key.level > level) continue;
    for (const Entry& it : line) work += it.work;
  }
  return work;
}

std::optional<RequestKey> FairQueue::LowestBelow(Priority priority) const {
  std::optional<Entry> lowest;
  for (const auto& [key, line] : lines_) {
    if (key.priority <= priority) continue;
    const Entry& last = line.back();
    if (last.started) continue;
    const bool lower =
        !lowest || std::tuple(last.priority, last.arrived) >
                       std::tuple(lowest->priority, lowest->arrived);
    if (lower) lowest = last;
  }
  if (!lowest) return std::nullopt;
  return lowest->key;
}

void FairQueue::Charge(const std::string& account, double weight,
                       std::int64_t tokens) {
  served_[account] += static_cast<double>(tokens) / std::max(weight, 0.01);
}

}  // namespace scaleshed

#include "scaleshed/serving/service_paths.h"

#include <algorithm>

namespace scaleshed::serving {
namespace {

// Servers that have to miss a call before the path is doubted: two can crash
// within the same moment.
constexpr std::size_t kMissedServersToDoubt = 3;
// Servers that have to answer before a lost path counts as open: one may be
// reached by a route of its own.
constexpr std::size_t kAnsweringServersToReturn = 2;
constexpr Duration kMissRetention = seconds(5);

}  // namespace

void ServicePath::RecordAnswer(BackendId backend, Time began) {
  answered_ = std::max(answered_, began);
  RecordConnection(backend, began);
}

void ServicePath::RecordConnection(BackendId backend, Time began) {
  reached_ = std::max(reached_, began);
  if (lost_) {
    const bool is_after_misses =
        std::all_of(misses_.begin(), misses_.end(),
                    [&](const auto& it) { return it.second <= began; });
    if (!is_after_misses) return;
    returned_.insert(backend);
    misses_.erase(backend);
    if (returned_.size() < kAnsweringServersToReturn && !misses_.empty())
      return;
    SetLost(false);
    misses_.clear();
  } else {
    std::erase_if(misses_, [&](const auto& it) { return it.second <= began; });
  }
  if (misses_.empty()) missing_since_.reset();
}

void ServicePath::RecordMiss(BackendId backend, Time began, Time now) {
  if (began < reached_) return;
  Time& latest = misses_[backend];
  latest = std::max(latest, began);
  returned_.clear();
  if (!missing_since_) missing_since_ = now;
}

void ServicePath::DropMisses(const std::set<BackendId>& keep, Time now) {
  std::erase_if(misses_, [&](const auto& it) {
    return !keep.contains(it.first) ||
           (!lost_ && it.second < now - kMissRetention);
  });
  if (misses_.empty() && !lost_) missing_since_.reset();
}

bool ServicePath::IsDoubtful(std::size_t servers) const {
  if (lost_) return true;
  if (servers < 2) return false;
  return misses_.size() >= std::min(servers, kMissedServersToDoubt);
}

void ServicePath::SetLost(bool lost) {
  lost_ = lost;
  returned_.clear();
}

}  // namespace scaleshed::serving

#include "scaleshed/core/backend.h"

#include <algorithm>

namespace scaleshed {
namespace {

// Reports are this old when they arrive; work sent within it is not in them.
constexpr Duration kReportLag = milliseconds(200);
constexpr int kFailuresToEject = 5;
constexpr Duration kFirstEjection = seconds(2);
constexpr int kMostDoublings = 4;
// An engine's cache holds a bounded number of prefixes, and so does our view.
constexpr std::size_t kMostCachedPrefixes = 4096;

}  // namespace

void Backend::SetInstance(Instance instance) {
  instance_ = std::move(instance);
}

void Backend::SetReport(const Report& report, Time now) {
  const bool replaced = report_ && report_->incarnation != report.incarnation;
  const bool gap = report_ && report.cache_first > report_->cache_sequence + 1;
  if (replaced) said_leaving_ = false;
  // After a gap a removal may have been lost; too little is known rather than
  // too much.
  if (replaced || gap) cached_.clear();
  for (const std::uint64_t it : report.cache_added) cached_.insert(it);
  for (const std::uint64_t it : report.cache_removed) cached_.erase(it);
  if (cached_.size() > kMostCachedPrefixes) cached_.clear();
  report_ = report;
  report_->cache_added.clear();
  report_->cache_removed.clear();
  report_at_ = now;
}

void Backend::AddWork(AttemptId attempt, Duration prefill, int priority,
                      std::int64_t tokens, Time now) {
  own_[attempt] = OwnWork{
      .prefill = prefill, .priority = priority, .tokens = tokens, .sent = now};
}

void Backend::FirstToken(AttemptId attempt) {
  const auto it = own_.find(attempt);
  if (it != own_.end()) it->second.first_token = true;
}

void Backend::RemoveWork(AttemptId attempt) { own_.erase(attempt); }

void Backend::AssumeCached(const std::vector<std::uint64_t>& prefixes) {
  if (cached_.size() > kMostCachedPrefixes) cached_.clear();
  cached_.insert(prefixes.begin(), prefixes.end());
}

bool Backend::Failed(bool unreachable) {
  ++failures_;
  return unreachable || failures_ >= kFailuresToEject;
}

void Backend::Eject(Time now) {
  failures_ = 0;
  ejections_ = std::min(ejections_ + 1, kMostDoublings);
  ejected_until_ = now + kFirstEjection * (1 << (ejections_ - 1));
}

bool Backend::IsLeaving() const {
  return said_leaving_ || instance_.state == InstanceState::kLeaving ||
         (report_ && report_->leaving);
}

bool Backend::TakesNewWork(Time now) const {
  return !IsLeaving() && !IsEjected(now);
}

Duration Backend::Backlog(Time now, int priority) const {
  Duration backlog{};
  if (report_) {
    for (int it = 0; it < kEnginePriorities && it <= priority; ++it) {
      backlog += report_->backlog[static_cast<std::size_t>(it)];
    }
    backlog = std::max(backlog - (now - report_at_), Duration::zero());
  }
  for (const auto& [attempt, work] : own_) {
    const bool unreported = !report_ || work.sent >= report_at_ - kReportLag;
    const bool before = work.priority <= priority && !work.first_token;
    if (unreported && before) backlog += work.prefill;
  }
  return backlog;
}

std::int64_t Backend::MemoryTokens() const {
  return report_ ? report_->memory_tokens : instance_.memory_tokens;
}

std::int64_t Backend::FreeTokens() const {
  std::int64_t used = report_ ? report_->used_tokens + report_->held_tokens : 0;
  for (const auto& [attempt, work] : own_) {
    const bool unreported = !report_ || work.sent >= report_at_ - kReportLag;
    if (unreported) used += work.tokens;
  }
  return MemoryTokens() - used;
}

std::int64_t Backend::InFlight() const {
  const auto own = static_cast<std::int64_t>(own_.size());
  return report_ ? std::max(report_->active, own) : own;
}

std::int64_t Backend::CachedTokens(
    const std::vector<std::uint64_t>& prefixes) const {
  for (std::size_t it = prefixes.size(); it > 0; --it) {
    if (cached_.contains(prefixes[it - 1])) return PrefixTokens(it - 1);
  }
  return 0;
}

std::size_t Backend::StateBytes() const {
  constexpr std::size_t kNode = 48;
  return sizeof(Backend) + own_.size() * (sizeof(OwnWork) + kNode) +
         cached_.size() * (sizeof(std::uint64_t) + kNode / 2) +
         (report_ ? report_->entries.size() * sizeof(HolderEntry) : 0);
}

}  // namespace scaleshed

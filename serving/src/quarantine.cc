#include "scaleshed/serving/quarantine.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <utility>

namespace scaleshed::serving {
namespace {

// Each whole snapshot within this carries what is new: several, of which some
// may be lost.
constexpr Duration kTellFor = seconds(3);
// So do the partial ones between them within this: many follow each other.
constexpr Duration kTellAtOnceFor = milliseconds(200);
// In one message, of 18 bytes each. What ended together with one that had 16
// requests is told whole.
constexpr std::size_t kMostTold = 64;
// Longer than news are told and late writes of the store may take together.
constexpr Duration kRememberForgiven = seconds(30);

std::uint64_t HashOf(std::uint64_t content, BackendId life) {
  return HashBytes({reinterpret_cast<const char*>(&life), sizeof(life)},
                   content);
}

}  // namespace

std::string FingerprintText(std::uint64_t content) {
  if (content == 0) return "";
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(content));
  return text.data();
}

std::vector<BackendId> Quarantine::CountedIncarnations(const Record& record) {
  std::vector<BackendId> lives;
  for (const auto& [life, it] : record.incarnations) {
    if (!it.cleared) lives.push_back(life);
  }
  return lives;
}

bool Quarantine::AddCrash(const Crash& ending, Time now) {
  DropExpiredCleared(now);
  Record& record = records_[ending.fingerprint];
  const auto [it, is_new] = record.incarnations.try_emplace(ending.incarnation);
  const bool news = is_new || (ending.cleared && !it->second.cleared);
  if (!news) return false;
  it->second = {.cleared = ending.cleared, .learned_at = now};
  record.learned_at = now;
  recent_.emplace_back(now, ending);
  UpdateUnsaved(ending.fingerprint, now);
  if (!ending.cleared) MakeRoom(now);
  return true;
}

void Quarantine::ClearFingerprint(std::uint64_t content, Time now) {
  const auto record = records_.find(content);
  if (record == records_.end()) return;
  for (const BackendId it : CountedIncarnations(record->second)) {
    AddCrash({.fingerprint = content, .incarnation = it, .cleared = true}, now);
  }
}

std::size_t Quarantine::CrashCount(std::uint64_t content) const {
  const auto it = records_.find(content);
  return it == records_.end() ? 0 : CountedIncarnations(it->second).size();
}

std::size_t Quarantine::size() const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(),
      [](const auto& it) { return !CountedIncarnations(it.second).empty(); }));
}

std::size_t Quarantine::quarantined_count() const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [](const auto& it) {
        return CountedIncarnations(it.second).size() >= kQuarantineCrashCount;
      }));
}

std::vector<Crash> Quarantine::RecentCrashes(Time now, bool latest) {
  while (!recent_.empty() && recent_.front().first < now - kTellFor) {
    recent_.pop_front();
  }
  const auto from =
      std::find_if(recent_.begin(), recent_.end(), [&](const auto& it) {
        return !latest || it.first >= now - kTellAtOnceFor;
      });
  const auto told = static_cast<std::size_t>(recent_.end() - from);
  const std::size_t n = std::min(told, kMostTold);
  std::vector<Crash> news;
  news.reserve(n);
  for (auto it = recent_.end() - static_cast<std::ptrdiff_t>(n);
       it != recent_.end(); ++it) {
    news.push_back(it->second);
  }
  return news;
}

bool Quarantine::ApplyStored(const StoredCrashes& stored, Time now) {
  const std::set<BackendId> held(stored.incarnations.begin(),
                                 stored.incarnations.end());
  if (held.empty() && !records_.contains(stored.fingerprint)) return false;
  Record& record = records_[stored.fingerprint];
  if (stored.revision <= record.revision) return false;
  const bool restored = stored.revision.epoch > record.revision.epoch;
  record.revision = stored.revision;
  const std::set<BackendId> before = std::exchange(record.stored, held);
  for (const BackendId it : before) digest_ ^= HashOf(stored.fingerprint, it);
  for (const BackendId it : held) digest_ ^= HashOf(stored.fingerprint, it);
  for (const BackendId it : held) {
    AddCrash({.fingerprint = stored.fingerprint, .incarnation = it}, now);
  }
  // Whoever took them away knew that they don't count: by a whole answer, or as
  // an operator.
  for (const BackendId it : before) {
    if (restored) break;
    const Crash gone{
        .fingerprint = stored.fingerprint, .incarnation = it, .cleared = true};
    if (!held.contains(it)) AddCrash(gone, now);
  }
  UpdateUnsaved(stored.fingerprint, now);
  return true;
}

void Quarantine::AdoptEpoch(std::uint64_t era) {
  for (auto& [content, record] : records_) {
    // Its number there is not known: any that is told is later.
    if (record.revision.epoch < era) record.revision = {.epoch = era};
  }
}

std::vector<std::uint64_t> Quarantine::StoredFingerprints() const {
  std::vector<std::uint64_t> contents;
  for (const auto& [content, record] : records_) {
    if (!record.stored.empty()) contents.push_back(content);
  }
  return contents;
}

void Quarantine::UpdateUnsaved(std::uint64_t content, Time now) {
  const Record& record = records_.at(content);
  const std::vector<BackendId> lives = CountedIncarnations(record);
  const bool saved = std::equal(lives.begin(), lives.end(),
                                record.stored.begin(), record.stored.end());
  if (saved) {
    unsaved_.erase(content);
  } else {
    unsaved_.try_emplace(content, now);
  }
}

bool Quarantine::IsWorthSaving(std::uint64_t content, std::size_t least) const {
  const Record& record = records_.at(content);
  return !record.stored.empty() || CountedIncarnations(record).size() >= least;
}

std::vector<StoredCrashes> Quarantine::Unsaved(std::size_t most,
                                               std::size_t least) const {
  std::vector<std::pair<Time, std::uint64_t>> oldest;
  oldest.reserve(unsaved_.size());
  for (const auto& [content, since] : unsaved_) {
    if (IsWorthSaving(content, least)) oldest.emplace_back(since, content);
  }
  std::sort(oldest.begin(), oldest.end());
  if (oldest.size() > most) oldest.resize(most);
  std::vector<StoredCrashes> unsaved;
  unsaved.reserve(oldest.size());
  for (const auto& [since, content] : oldest) {
    const Record& record = records_.at(content);
    unsaved.push_back({.fingerprint = content,
                       .incarnations = CountedIncarnations(record),
                       .revision = record.stored.empty() ? StoreRevision{}
                                                         : record.revision});
  }
  return unsaved;
}

Time Quarantine::UnsavedSince(std::size_t least) const {
  Time since = Time::max();
  for (const auto& [content, at] : unsaved_) {
    if (IsWorthSaving(content, least)) since = std::min(since, at);
  }
  return since;
}

void Quarantine::MakeRoom(Time now) {
  if (records_.size() <= kMaxFingerprints) return;
  const auto worth = [](const auto& it) {
    return std::pair(CountedIncarnations(it.second).size(),
                     it.second.learned_at);
  };
  const auto least = std::min_element(
      records_.begin(), records_.end(),
      [&](const auto& a, const auto& b) { return worth(a) < worth(b); });
  const std::uint64_t content = least->first;
  ClearFingerprint(content, now);
  if (least->second.stored.empty()) {
    unsaved_.erase(content);
    records_.erase(content);
  }
}

void Quarantine::DropExpiredCleared(Time now) {
  std::erase_if(records_, [&](const auto& it) {
    const Record& record = it.second;
    const bool old = record.learned_at < now - kRememberForgiven;
    return old && record.stored.empty() && CountedIncarnations(record).empty();
  });
}

}  // namespace scaleshed::serving

#include "scaleshed/serving/quarantine.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <tuple>
#include <utility>

namespace scaleshed::serving {
namespace {

// How long a crash is part of each full snapshot. Several are sent within this
// time, since some of them may be lost.
constexpr Duration kCrashPublishDuration = seconds(3);
// How long a crash is part of each incremental snapshot. Shorter than
// kCrashPublishDuration, since incremental snapshots may follow each other
// quickly and would repeat the same crashes.
constexpr Duration kIncrementalPublishDuration = milliseconds(200);
// Longer than the publishing of a crash and a late write to the store take
// together: erased earlier, a cleared crash could be counted again.
constexpr Duration kClearedRetention = seconds(30);
// From the last crash of a quarantined fingerprint until its first trial. A
// fingerprint that is held by mistake is refused for this long.
constexpr Duration kTrialInterval = seconds(60);
constexpr std::size_t kMaxTrialDoublings = 10;
// The interval of looking for expired records, which goes over all of them.
constexpr Duration kDropExpiredInterval = seconds(1);

// Crashes at most this far apart have one cause: a rack that fails, or copies
// of a request that began together. A request that is sent again after a crash,
// and crashes that server too, does so later.
constexpr Duration kIncidentDuration = milliseconds(25);

std::uint64_t HashOf(std::uint64_t fingerprint, BackendId incarnation) {
  return HashBytes(
      {reinterpret_cast<const char*>(&incarnation), sizeof(incarnation)},
      fingerprint);
}

}  // namespace

std::string FingerprintText(std::uint64_t fingerprint) {
  if (fingerprint == 0) return "";
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(fingerprint));
  return text.data();
}

std::vector<BackendId> Quarantine::CountedIncarnations(const Record& record) {
  std::vector<BackendId> incarnations;
  for (const auto& [incarnation, it] : record.incarnations) {
    if (!it.cleared) incarnations.push_back(incarnation);
  }
  return incarnations;
}

std::vector<BackendId> Quarantine::CountedUnderSuspicion(const Record& record) {
  std::vector<BackendId> incarnations;
  for (const auto& [incarnation, it] : record.incarnations) {
    if (!it.cleared && it.under_suspicion) incarnations.push_back(incarnation);
  }
  return incarnations;
}

std::map<BackendId, BackendId> Quarantine::CountedIncidents(
    const Record& record) {
  // By incarnation, and by each incident that was told.
  std::map<BackendId, BackendId> smallest;
  const auto join = [&](BackendId a, BackendId b) {
    const BackendId of_a = smallest.try_emplace(a, a).first->second;
    const BackendId of_b = smallest.try_emplace(b, b).first->second;
    for (auto& [id, it] : smallest) {
      if (it == of_a || it == of_b) it = std::min(of_a, of_b);
    }
  };
  const std::vector<BackendId> counted = CountedIncarnations(record);
  for (auto it = counted.begin(); it != counted.end(); ++it) {
    const IncarnationRecord& one = record.incarnations.at(*it);
    join(*it, *it);
    for (const BackendId incident : one.incidents) join(*it, incident);
    if (one.interrupted_at == Time{}) continue;
    for (auto other = counted.begin(); other != it; ++other) {
      const Time at = record.incarnations.at(*other).interrupted_at;
      const bool at_once = at != Time{} &&
                           one.interrupted_at <= at + kIncidentDuration &&
                           at <= one.interrupted_at + kIncidentDuration;
      if (at_once) join(*it, *other);
    }
  }
  std::erase_if(smallest, [&](const auto& it) {
    return !std::binary_search(counted.begin(), counted.end(), it.first);
  });
  return smallest;
}

std::map<BackendId, BackendId> Quarantine::SharedIncidents(
    const Record& record) {
  auto incidents = CountedIncidents(record);
  std::erase_if(incidents,
                [](const auto& it) { return it.first == it.second; });
  return incidents;
}

std::size_t Quarantine::IncidentCount(const Record& record) {
  // So it is with most records, of which there may be kMaxFingerprints.
  if (record.incarnations.size() <= 1)
    return CountedIncarnations(record).size();
  std::set<BackendId> incidents;
  for (const auto& [incarnation, it] : CountedIncidents(record))
    incidents.insert(it);
  return incidents.size();
}

std::vector<BackendId> Quarantine::CountedAmongOthers(const Record& record) {
  std::vector<BackendId> incarnations;
  for (const auto& [incarnation, it] : record.incarnations) {
    if (!it.cleared && it.among_others) incarnations.push_back(incarnation);
  }
  return incarnations;
}

std::size_t Quarantine::IsolatedIncidentCount(const Record& record) {
  const auto by_incarnation = CountedIncidents(record);
  std::set<BackendId> incidents;
  for (const auto& [incarnation, it] : by_incarnation) incidents.insert(it);
  for (const BackendId it : CountedAmongOthers(record))
    incidents.erase(by_incarnation.at(it));
  return incidents.size();
}

bool Quarantine::AddCrash(const Crash& crash, Time now) {
  DropExpiredCleared(now);
  Record& record = records_[crash.fingerprint];
  const auto [it, is_new] = record.incarnations.try_emplace(crash.incarnation);
  IncarnationRecord& known = it->second;
  const bool has_incident =
      crash.incident != 0 && crash.incident != crash.incarnation;
  const bool changed =
      is_new || (crash.cleared && !known.cleared) ||
      (crash.under_suspicion && !known.under_suspicion) ||
      (crash.among_others && !known.among_others) ||
      (has_incident && !known.incidents.contains(crash.incident)) ||
      (crash.interrupted_at != Time{} && known.interrupted_at == Time{});
  if (!changed) return false;
  known.cleared = known.cleared || crash.cleared;
  known.under_suspicion = known.under_suspicion || crash.under_suspicion;
  known.among_others = known.among_others || crash.among_others;
  if (has_incident) known.incidents.insert(crash.incident);
  if (known.interrupted_at == Time{})
    known.interrupted_at = crash.interrupted_at;
  known.learned_at = now;
  fingerprints_by_incarnation_[crash.incarnation].insert(crash.fingerprint);
  record.learned_at = now;
  Crash learned = crash;
  learned.kind = options_.kind;
  learned.cleared = known.cleared;
  learned.under_suspicion = known.under_suspicion;
  learned.among_others = known.among_others;
  learned.interrupted_at = known.interrupted_at;
  recent_.emplace_back(now, learned);
  UpdateUnsaved(crash.fingerprint, now);
  if (!crash.cleared) MakeRoom(now);
  return true;
}

void Quarantine::ClearFingerprint(std::uint64_t fingerprint, Time now) {
  const auto record = records_.find(fingerprint);
  if (record == records_.end()) return;
  for (const BackendId it : CountedIncarnations(record->second)) {
    AddCrash({.fingerprint = fingerprint, .incarnation = it, .cleared = true},
             now);
  }
}

std::size_t Quarantine::CrashCount(std::uint64_t fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? 0 : CountedIncarnations(it->second).size();
}

bool Quarantine::HasCrash(std::uint64_t fingerprint,
                          BackendId incarnation) const {
  const auto it = records_.find(fingerprint);
  return it != records_.end() && it->second.incarnations.contains(incarnation);
}

std::size_t Quarantine::IncidentCount(std::uint64_t fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? 0 : IncidentCount(it->second);
}

bool Quarantine::IsQuarantined(const Record& record) const {
  if (record.incarnations.size() < kQuarantineIncidentCount) return false;
  const bool is_proved = options_.kind == SuspectKind::kRequest ||
                         !CountedUnderSuspicion(record).empty();
  return is_proved &&
         (IsolatedIncidentCount(record) >= kQuarantineIncidentCount ||
          IncidentCount(record) >= kQuarantineIncidentCountAmongOthers);
}

bool Quarantine::IsQuarantined(std::uint64_t fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it != records_.end() && IsQuarantined(it->second);
}

bool Quarantine::IsTrialDue(std::uint64_t fingerprint, Time now) const {
  const auto it = records_.find(fingerprint);
  if (it == records_.end()) return false;
  const std::size_t incidents = IncidentCount(it->second);
  if (incidents < kQuarantineIncidentCount) return false;
  const std::size_t doublings =
      std::min(incidents - kQuarantineIncidentCount, kMaxTrialDoublings);
  return now >= it->second.learned_at + kTrialInterval * (1U << doublings);
}

std::vector<BackendId> Quarantine::UnderSuspicion(
    std::uint64_t fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? std::vector<BackendId>{}
                              : CountedUnderSuspicion(it->second);
}

std::vector<std::uint64_t> Quarantine::FingerprintsAt(
    BackendId incarnation) const {
  std::vector<std::uint64_t> fingerprints;
  const auto found = fingerprints_by_incarnation_.find(incarnation);
  if (found == fingerprints_by_incarnation_.end()) return fingerprints;
  for (const std::uint64_t it : found->second) {
    if (!records_.at(it).incarnations.at(incarnation).cleared)
      fingerprints.push_back(it);
  }
  return fingerprints;
}

std::size_t Quarantine::size() const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(),
      [](const auto& it) { return !CountedIncarnations(it.second).empty(); }));
}

std::size_t Quarantine::quarantined_count() const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [&](const auto& it) { return IsQuarantined(it.second); }));
}

std::vector<Crash> Quarantine::RecentCrashes(Time now, bool latest) {
  while (!recent_.empty() &&
         recent_.front().first < now - kCrashPublishDuration) {
    recent_.pop_front();
  }
  const auto from =
      std::find_if(recent_.begin(), recent_.end(), [&](const auto& it) {
        return !latest || it.first >= now - kIncrementalPublishDuration;
      });
  const auto recent_count = static_cast<std::size_t>(recent_.end() - from);
  const std::size_t n =
      std::min(recent_count, options_.max_crashes_per_message);
  std::vector<Crash> crashes;
  crashes.reserve(n);
  for (auto it = recent_.end() - static_cast<std::ptrdiff_t>(n);
       it != recent_.end(); ++it) {
    crashes.push_back(it->second);
  }
  return crashes;
}

bool Quarantine::ApplyStored(const StoredCrashes& stored, Time now) {
  const std::set<BackendId> now_stored(stored.incarnations.begin(),
                                       stored.incarnations.end());
  if (now_stored.empty() && !records_.contains(stored.fingerprint))
    return false;
  Record& record = records_[stored.fingerprint];
  if (stored.revision <= record.revision) return false;
  const bool restored = stored.revision.epoch > record.revision.epoch;
  record.revision = stored.revision;
  record.stored_under_suspicion = {stored.under_suspicion.begin(),
                                   stored.under_suspicion.end()};
  record.stored_incidents = stored.incidents;
  record.stored_among_others = {stored.among_others.begin(),
                                stored.among_others.end()};
  const std::set<BackendId> stored_before =
      std::exchange(record.stored, now_stored);
  for (const BackendId it : stored_before)
    digest_ ^= HashOf(stored.fingerprint, it);
  for (const BackendId it : now_stored)
    digest_ ^= HashOf(stored.fingerprint, it);
  for (const BackendId it : now_stored) {
    const auto incident = stored.incidents.find(it);
    const bool has_incident = incident != stored.incidents.end();
    AddCrash({.fingerprint = stored.fingerprint,
              .incarnation = it,
              .under_suspicion = record.stored_under_suspicion.contains(it),
              .incident = has_incident ? incident->second : 0,
              .among_others = record.stored_among_others.contains(it)},
             now);
  }
  // Crashes are removed from the store only when they are known not to count:
  // by a daemon after a complete response, or by an operator.
  for (const BackendId it : stored_before) {
    if (restored) break;
    const Crash cleared{
        .fingerprint = stored.fingerprint, .incarnation = it, .cleared = true};
    if (!now_stored.contains(it)) AddCrash(cleared, now);
  }
  UpdateUnsaved(stored.fingerprint, now);
  return true;
}

void Quarantine::AdoptEpoch(std::uint64_t epoch) {
  for (auto& [fingerprint, record] : records_) {
    // The entry's revision number in the new epoch is unknown. Zero makes any
    // revision that arrives from that epoch count as newer.
    if (record.revision.epoch < epoch) record.revision = {.epoch = epoch};
  }
}

std::vector<std::uint64_t> Quarantine::StoredFingerprints() const {
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [fingerprint, record] : records_) {
    if (!record.stored.empty()) fingerprints.push_back(fingerprint);
  }
  return fingerprints;
}

void Quarantine::UpdateUnsaved(std::uint64_t fingerprint, Time now) {
  const Record& record = records_.at(fingerprint);
  const std::vector<BackendId> incarnations = CountedIncarnations(record);
  const std::vector<BackendId> under_suspicion = CountedUnderSuspicion(record);
  const std::vector<BackendId> among_others = CountedAmongOthers(record);
  const bool saved =
      std::equal(incarnations.begin(), incarnations.end(),
                 record.stored.begin(), record.stored.end()) &&
      std::includes(record.stored_under_suspicion.begin(),
                    record.stored_under_suspicion.end(),
                    under_suspicion.begin(), under_suspicion.end()) &&
      SharedIncidents(record) == record.stored_incidents &&
      std::includes(record.stored_among_others.begin(),
                    record.stored_among_others.end(), among_others.begin(),
                    among_others.end());
  if (saved) {
    unsaved_.erase(fingerprint);
  } else {
    unsaved_.try_emplace(fingerprint, now);
  }
}

bool Quarantine::IsWorthSaving(std::uint64_t fingerprint,
                               std::size_t least) const {
  const Record& record = records_.at(fingerprint);
  return !record.stored.empty() ||
         CountedIncarnations(record).size() >=
             std::max(least, options_.min_crashes_to_save);
}

std::vector<StoredCrashes> Quarantine::Unsaved(std::size_t most,
                                               std::size_t least) const {
  std::vector<std::pair<Time, std::uint64_t>> oldest;
  oldest.reserve(unsaved_.size());
  for (const auto& [fingerprint, since] : unsaved_) {
    if (IsWorthSaving(fingerprint, least))
      oldest.emplace_back(since, fingerprint);
  }
  std::sort(oldest.begin(), oldest.end());
  if (oldest.size() > most) oldest.resize(most);
  std::vector<StoredCrashes> unsaved;
  unsaved.reserve(oldest.size());
  for (const auto& [since, fingerprint] : oldest) {
    const Record& record = records_.at(fingerprint);
    unsaved.push_back({.fingerprint = fingerprint,
                       .incarnations = CountedIncarnations(record),
                       .kind = options_.kind,
                       .under_suspicion = CountedUnderSuspicion(record),
                       .incidents = SharedIncidents(record),
                       .among_others = CountedAmongOthers(record),
                       .revision = record.stored.empty() ? StoreRevision{}
                                                         : record.revision});
  }
  return unsaved;
}

Time Quarantine::UnsavedSince(std::size_t least) const {
  Time since = Time::max();
  for (const auto& [fingerprint, at] : unsaved_) {
    if (IsWorthSaving(fingerprint, least)) since = std::min(since, at);
  }
  return since;
}

void Quarantine::MakeRoom(Time now) {
  if (records_.size() <= kMaxFingerprints) return;
  const auto priority = [](const auto& it) {
    return std::tuple(IncidentCount(it.second),
                      CountedIncarnations(it.second).size(),
                      it.second.learned_at);
  };
  const auto lowest = std::min_element(
      records_.begin(), records_.end(),
      [&](const auto& a, const auto& b) { return priority(a) < priority(b); });
  const std::uint64_t fingerprint = lowest->first;
  ClearFingerprint(fingerprint, now);
  if (lowest->second.stored.empty()) {
    unsaved_.erase(fingerprint);
    EraseRecord(lowest);
  }
}

void Quarantine::EraseRecord(std::map<std::uint64_t, Record>::iterator record) {
  for (const auto& [incarnation, it] : record->second.incarnations) {
    const auto found = fingerprints_by_incarnation_.find(incarnation);
    found->second.erase(record->first);
    if (found->second.empty()) fingerprints_by_incarnation_.erase(found);
  }
  records_.erase(record);
}

void Quarantine::DropExpiredCleared(Time now) {
  if (now < dropped_expired_at_ + kDropExpiredInterval) return;
  dropped_expired_at_ = now;
  for (auto it = records_.begin(); it != records_.end();) {
    const auto record = it++;
    const bool expired = record->second.learned_at < now - kClearedRetention;
    if (expired && record->second.stored.empty() &&
        CountedIncarnations(record->second).empty()) {
      EraseRecord(record);
    }
  }
}

}  // namespace scaleshed::serving

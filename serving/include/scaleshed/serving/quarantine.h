#ifndef SCALESHED_SERVING_QUARANTINE_H_
#define SCALESHED_SERVING_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/store_revision.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// The crashes of one fingerprint as the store holds them or is to hold them:
// the backend incarnations that crashed while they ran such a request. An empty
// list stands for "no entry in the store".
struct StoredCrashes {
  std::uint64_t fingerprint = 0;
  std::vector<BackendId> incarnations;
  SuspectKind kind = SuspectKind::kRequest;
  // Those of `incarnations` to which Crash::under_suspicion applies.
  std::vector<BackendId> under_suspicion;
  // The incident of each incarnation that doesn't count by itself: those with
  // the same one count once.
  std::map<BackendId, BackendId> incidents;
  // Those of `incarnations` to which Crash::among_others applies.
  std::vector<BackendId> among_others;
  // Revision at which the store came to hold this list. A write succeeds only
  // if the entry still has this revision, or, for revision zero, only if there
  // is no entry.
  StoreRevision revision;
  bool operator==(const StoredCrashes&) const = default;
};

struct QuarantineOptions {
  SuspectKind kind = SuspectKind::kRequest;
  // Limits the size of a message at 20 bytes per crash. All crashes of a server
  // that ended while it ran 16 requests fit into one message.
  std::size_t max_crashes_per_message = 64;
  // Fingerprints with fewer crashes aren't written to the store.
  std::size_t min_crashes_to_save = 1;
};

// Counts, for each fingerprint of one kind, the backend incarnations that
// crashed while they ran such a request, as far as one daemon knows, so that a
// request that crashes servers is refused once kQuarantineIncidentCount
// incidents count against it (see Crash::incident).
//
// Crashes that are published by other daemons may arrive in any order, late and
// more than once: an incarnation counts once, and a cleared one stays cleared.
// The store keeps what has to outlive all daemons; any daemon that knows
// something else than the store holds may write it (Unsaved). Crashes don't
// expire: a request that crashes one server a day is quarantined too. Beyond
// kMaxFingerprints fingerprints, the one with the fewest incidents, then the
// fewest crashes, and of several such the one whose last change is the oldest,
// is cleared.
class Quarantine {
 public:
  // Number of incidents from which a fingerprint is quarantined, not counting
  // those among others (see Crash::among_others).
  static constexpr std::size_t kQuarantineIncidentCount = 3;
  // The same with those among others.
  static constexpr std::size_t kQuarantineIncidentCountAmongOthers = 5;
  static constexpr std::size_t kMaxFingerprints = 4096;

  explicit Quarantine(QuarantineOptions options = {}) : options_(options) {}

  // Adds one crash, or clears one. Returns false if it was known already.
  bool AddCrash(const Crash& crash, Time now);
  // Clears all crashes that are known of the fingerprint.
  void ClearFingerprint(std::uint64_t fingerprint, Time now);

  std::size_t CrashCount(std::uint64_t fingerprint) const;
  // Whether a crash of the incarnation counts, or counted, against the
  // fingerprint.
  bool HasCrash(std::uint64_t fingerprint, BackendId incarnation) const;
  // Number of incidents to which these crashes belong.
  std::size_t IncidentCount(std::uint64_t fingerprint) const;
  // Whether enough incidents count against the fingerprint. A part of many
  // prompts is at several servers that crash together for another
  // reason, so that one of its crashes has to be under suspicion.
  bool IsQuarantined(std::uint64_t fingerprint) const;
  // Whether one request may show whether a quarantined fingerprint still
  // crashes servers. The interval doubles with each further incident.
  bool IsTrialDue(std::uint64_t fingerprint, Time now) const;
  // Incarnations whose crashes count and are under suspicion (see Crash).
  std::vector<BackendId> UnderSuspicion(std::uint64_t fingerprint) const;
  // Fingerprints that a crash of the incarnation counts against.
  std::vector<std::uint64_t> FingerprintsAt(BackendId incarnation) const;
  bool empty() const { return records_.empty(); }
  // Number of fingerprints with at least one crash that isn't cleared.
  std::size_t size() const;
  std::size_t quarantined_count() const;

  // Crashes to publish to the other daemons: those learned in the last seconds,
  // the newest last. With `latest`, only those so new that they may not have
  // been published often enough yet.
  std::vector<Crash> RecentCrashes(Time now, bool latest = false);

  // Applies what the store held at `stored.revision`. Returns false if that is
  // already known or older than what is known. Crashes that the store held
  // before and now lacks were cleared by another daemon or an operator and are
  // cleared here, unless the store was restored from a backup since: then it
  // may only have lost them.
  bool ApplyStored(const StoredCrashes& stored, Time now);
  // Carries what the store is known to hold over to the store epoch `epoch`, in
  // which it holds the same.
  void AdoptEpoch(std::uint64_t epoch);
  // Fingerprints for which the store holds any crash.
  std::vector<std::uint64_t> StoredFingerprints() const;
  // Hash over all crashes that the store is known to hold.
  std::uint64_t digest() const { return digest_; }
  // What the store is to hold and doesn't, at most `most` fingerprints, the
  // longest unsaved first. Fingerprints with fewer crashes than `least` are
  // included only if the store holds an entry of them, which is to be updated
  // or removed.
  std::vector<StoredCrashes> Unsaved(std::size_t most,
                                     std::size_t least = 1) const;
  // Since when the oldest of what Unsaved() returns for `least` is unsaved;
  // Time::max() if there is none.
  Time UnsavedSince(std::size_t least) const;
  bool has_unsaved() const { return !unsaved_.empty(); }

 private:
  // A crashed backend incarnation, and when this daemon last learned of it.
  struct IncarnationRecord {
    bool cleared = false;
    bool under_suspicion = false;
    bool among_others = false;
    std::set<BackendId> incidents;  // all that were told of it
    Time interrupted_at{};
    Time learned_at{};
  };
  // All that is known of one fingerprint, here and at the store.
  struct Record {
    std::map<BackendId, IncarnationRecord> incarnations;
    std::set<BackendId> stored;
    std::set<BackendId> stored_under_suspicion;
    std::map<BackendId, BackendId> stored_incidents;
    std::set<BackendId> stored_among_others;
    StoreRevision revision;  // store revision at which it held `stored`
    Time learned_at{};       // time of the last change
  };

  // The incarnations of the record that aren't cleared, in ascending order.
  static std::vector<BackendId> CountedIncarnations(const Record& record);
  static std::vector<BackendId> CountedUnderSuspicion(const Record& record);
  // What each counted incarnation counts as: the smallest id among those that
  // crashed in the same attempts or at the same moment.
  static std::map<BackendId, BackendId> CountedIncidents(const Record& record);
  // The same without the incarnations that count by themselves.
  static std::map<BackendId, BackendId> SharedIncidents(const Record& record);
  static std::size_t IncidentCount(const Record& record);
  static std::vector<BackendId> CountedAmongOthers(const Record& record);
  // The incidents of which no crash was among others.
  static std::size_t IsolatedIncidentCount(const Record& record);
  bool IsQuarantined(const Record& record) const;
  // Whether the store has to be changed for the fingerprint at all: it holds an
  // entry, or at least `least` crashes count.
  bool IsWorthSaving(std::uint64_t fingerprint, std::size_t least) const;
  // Compares the fingerprint's record with what the store holds of it.
  void UpdateUnsaved(std::uint64_t fingerprint, Time now);
  // Clears one fingerprint if there are more than kMaxFingerprints.
  void MakeRoom(Time now);
  // Erases cleared records once no other daemon can still be publishing their
  // crashes: erased earlier, a late message would count them again.
  void DropExpiredCleared(Time now);

  void EraseRecord(std::map<std::uint64_t, Record>::iterator record);

  QuarantineOptions options_;
  std::map<std::uint64_t, Record> records_;
  // The fingerprints of `records_` by the incarnations that these have.
  std::map<BackendId, std::set<std::uint64_t>> fingerprints_by_incarnation_;
  Time dropped_expired_at_{};
  // Fingerprints whose store entry is out of date, and since when.
  std::map<std::uint64_t, Time> unsaved_;
  // Crashes to publish, with the time at which each was learned.
  std::deque<std::pair<Time, Crash>> recent_;
  std::uint64_t digest_ = 0;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_QUARANTINE_H_

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

// The lives that the store holds for a content, or is to hold; none: no entry.
struct StoredCrashes {
  std::uint64_t fingerprint = 0;
  std::vector<BackendId> incarnations;
  // At which the store came to hold that. To be written: only if the entry
  // still has that one; none: only if there is no entry.
  StoreRevision revision;
  bool operator==(const StoredCrashes&) const = default;
};

// What ended under which content, as far as one daemon knows, so that a request
// that ends the servers that run it is sent to no more of them.
//
// What is told may come in any order, late and twice: a life is added once, and
// one that is forgiven stays so. The store keeps what has to outlast all
// daemons; whoever finds that it knows other than the store holds may write.
// There is no end in time: a request that ends a server a day is held too. Of
// more than kMostContents those with the fewest ends, then the oldest, are
// forgiven.
class Quarantine {
 public:
  // Ends from which on a content is held.
  static constexpr std::size_t kQuarantineCrashCount = 3;
  static constexpr std::size_t kMaxFingerprints = 4096;

  // False where it was known.
  bool AddCrash(const Crash& ending, Time now);
  // All that is known to have ended under it.
  void ClearFingerprint(std::uint64_t content, Time now);

  std::size_t CrashCount(std::uint64_t content) const;
  bool IsQuarantined(std::uint64_t content) const {
    return CrashCount(content) >= kQuarantineCrashCount;
  }
  bool empty() const { return records_.empty(); }
  // Contents with any end that counts.
  std::size_t size() const;
  std::size_t quarantined_count() const;

  // What the others are to be told: news of the last seconds, the newest last;
  // `latest`: only what they may not have been told often enough yet.
  std::vector<Crash> RecentCrashes(Time now, bool latest = false);

  // The store held that at its revision. False where that is known or older.
  // What it lacks was taken away by somebody who knew better, unless it was
  // restored since: then it has forgotten.
  bool ApplyStored(const StoredCrashes& stored, Time now);
  // The store is known to hold in that era what it is known to hold.
  void AdoptEpoch(std::uint64_t era);
  // Contents for which it holds anything.
  std::vector<std::uint64_t> StoredFingerprints() const;
  // Of all that the store is known to hold.
  std::uint64_t digest() const { return digest_; }
  // What the store is to hold and doesn't, the oldest first; since when at the
  // earliest. Contents with fewer ends than `least` are only to be taken away.
  std::vector<StoredCrashes> Unsaved(std::size_t most,
                                     std::size_t least = 1) const;
  Time UnsavedSince(std::size_t least) const;
  bool has_unsaved() const { return !unsaved_.empty(); }

 private:
  struct IncarnationRecord {
    bool cleared = false;
    Time learned_at{};
  };
  struct Record {
    std::map<BackendId, IncarnationRecord> incarnations;
    std::set<BackendId> stored;
    StoreRevision revision;  // of the store, at which it held these
    Time learned_at{};       // last
  };

  static std::vector<BackendId> CountedIncarnations(const Record& record);
  bool IsWorthSaving(std::uint64_t content, std::size_t least) const;
  void UpdateUnsaved(std::uint64_t content, Time now);
  void MakeRoom(Time now);
  // Those that were forgiven are remembered while news of them may be underway.
  void DropExpiredCleared(Time now);

  std::map<std::uint64_t, Record> records_;
  std::map<std::uint64_t, Time> unsaved_;
  std::deque<std::pair<Time, Crash>> recent_;
  std::uint64_t digest_ = 0;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_QUARANTINE_H_

#ifndef SCALESHED_SERVING_SLACK_SHARE_H_
#define SCALESHED_SERVING_SLACK_SHARE_H_

#include <cstddef>
#include <deque>
#include <string_view>
#include <utility>

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

// Whether a daemon may use its share of the slack, and if not, why.
enum class ShareState {
  kHeld,        // the daemon may use an even share
  kNoEntry,     // the store isn't known to hold the daemon's entry
  kTooRecent,   // the daemon's entry was written too short a time ago
  kCountStale,  // the store's number of daemons was last known too long ago
};
inline constexpr NameTable<ShareState, 4> kShareStateNames{{
    {ShareState::kHeld, "held"},
    {ShareState::kNoEntry, "no_entry"},
    {ShareState::kTooRecent, "young"},
    {ShareState::kCountStale, "count_old"},
}};

// One daemon's share of the retry slack that all daemons divide between them.
// The shares that are used within any window add up to at most the whole slack.
// Each daemon's own estimate of the number of daemons isn't enough for that:
// estimates differ after a start, a kill or a network partition, and a daemon
// that counts too few would use too large a share. A share is therefore held
// like a lease:
//   - only while the store holds this daemon's entry, so that all others count
//     every daemon that uses a share;
//   - only after the entry has stood for a window plus the greatest allowed age
//     of the store's number of daemons: by then, retries of an earlier
//     incarnation are out of the window, and all others have counted this
//     daemon for a whole window;
//   - only while the store's number of entries is so fresh that no daemon which
//     it lacks can use a share yet;
//   - as one part of the largest number of daemons known within the last window
//     plus that age: the others take over the share of a daemon that is gone
//     only after its retries are out of the window.
// If one of these conditions fails, the share is zero, and retries keep to the
// ratio alone.
class SlackShare {
 public:
  // `window`: the sliding window of the retry budget.
  explicit SlackShare(Duration window) : window_(window) {}

  // The store holds this daemon's entry until `until`. `newly_written`: the
  // entry was newly written, by `now`; else an entry that stood already was
  // confirmed.
  void OnEntryConfirmed(Time now, Time until, bool newly_written);
  // The daemon asked the store to remove its entry, or knows that it is gone.
  void OnEntryRemoved() { entry_until_ = Time{}; }
  // The store may have lost the entry. Other daemons still go by the earlier
  // number of daemons for a while, so the share ends only when that number may
  // be too old for them.
  void OnEntryLost(Time now);
  // The store's number of daemons arrived. `queried_at`: when the query was
  // sent whose answer it is.
  void OnDaemonsCounted(Time queried_at) {
    counted_at_ = std::max(counted_at_, queried_at);
  }
  // Records the largest number of daemons that any source gives at `now`.
  void RecordDaemonCount(Time now, std::size_t daemons);

  ShareState StateAt(Time now) const;
  // This daemon's share of the slack, from 0 to 1.
  double FractionAt(Time now) const;
  // The number of daemons that the slack is divided among.
  std::size_t daemons() const;

 private:
  Duration window_;
  Time entry_since_{};
  Time entry_until_{};
  Time counted_at_{};
  // Numbers of daemons with the time at which each was last known. They ascend
  // in time and descend in number: each is the largest number known since the
  // one before it.
  std::deque<std::pair<Time, std::size_t>> daemon_counts_;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_SLACK_SHARE_H_

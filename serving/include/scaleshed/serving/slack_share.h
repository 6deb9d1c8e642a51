#ifndef SCALESHED_SERVING_SLACK_SHARE_H_
#define SCALESHED_SERVING_SLACK_SHARE_H_

#include <cstddef>
#include <deque>
#include <string_view>
#include <utility>

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

// Why a daemon has a part of the slack, or none.
enum class ShareState {
  kHeld,        // an even part
  kNoEntry,     // the store is not known to hold its entry
  kTooRecent,   // its entry, or its life, is too young
  kCountStale,  // how many daemons there are was not told for too long
};
inline constexpr NameTable<ShareState, 4> kShareStateNames{{
    {ShareState::kHeld, "held"},
    {ShareState::kNoEntry, "no_entry"},
    {ShareState::kTooRecent, "young"},
    {ShareState::kCountStale, "count_old"},
}};

// One daemon's part of the slack of repeats that all daemons share, such that
// the parts that are used within any window are one whole at most. That daemons
// believe in a number of daemons is not enough: beliefs differ after a start, a
// kill, a cut, and those who believe in few take more than their part. So a
// part is held like a lease:
//   - only while the store holds this daemon's entry, so that whoever uses a
//     part is counted by all others;
//   - not before its entry has stood for a window and `count_within`: by then
//     whatever a life before spent is out of the window, and all others have
//     shared with this one for a whole window;
//   - only while the store's number of entries was heard so short a time ago
//     that no daemon which it lacks uses a part yet;
//   - by the largest number of the last window and `count_within`: those who
//     are left take the parts of others only after these are out of the window.
// Where one of these lacks, the part is nothing, and repeats keep to the ratio.
class SlackShare {
 public:
  // `window`: of the bound on repeats.
  explicit SlackShare(Duration window) : window_(window) {}

  // The store holds this daemon's entry until `until`. `anew`: the entry was
  // written, by `now`; else it has stood since it was.
  void OnEntryConfirmed(Time now, Time until, bool anew);
  // Asked to be taken away, or known to be gone.
  void OnEntryRemoved() { entry_until_ = Time{}; }
  // The store may have lost it. Others go by the number of before for a while.
  void OnEntryLost(Time now);
  // `asked`: when the store was asked whose answer it is.
  void OnDaemonsCounted(Time asked) {
    counted_at_ = std::max(counted_at_, asked);
  }
  // The largest number of daemons that is known now, from whatever source.
  void RecordDaemonCount(Time now, std::size_t daemons);

  ShareState StateAt(Time now) const;
  // From nothing to one.
  double FractionAt(Time now) const;
  // What the part is shared among.
  std::size_t daemons() const;

 private:
  Duration window_;
  Time entry_since_{};
  Time entry_until_{};
  Time counted_at_{};
  // Falling numbers, each the largest since the one before it was last known.
  std::deque<std::pair<Time, std::size_t>> daemon_counts_;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_SLACK_SHARE_H_

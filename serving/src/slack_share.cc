#include "scaleshed/serving/slack_share.h"

#include <algorithm>

namespace scaleshed::serving {
namespace {

// Greatest allowed age of the store's number of daemons, and therefore also how
// long a new daemon waits until all others know of it. A store poller's watch
// is answered after at most 4 s and relayed with the poller's next freshness
// confirmation, at most 1.35 s later with a propagation limit of 3 s; a
// receiver takes the age for up to half a second more.
constexpr Duration kMaxDaemonCountAge = seconds(7);

}  // namespace

void SlackShare::OnEntryConfirmed(Time now, Time until, bool newly_written) {
  if (newly_written) entry_since_ = now;
  entry_until_ = until;
}

void SlackShare::OnEntryLost(Time now) {
  entry_until_ = std::min(entry_until_, now + kMaxDaemonCountAge);
}

void SlackShare::RecordDaemonCount(Time now, std::size_t daemons) {
  while (!daemon_counts_.empty() && daemon_counts_.back().second <= daemons) {
    daemon_counts_.pop_back();
  }
  daemon_counts_.emplace_back(now, daemons);
  const Time from = now - window_ - kMaxDaemonCountAge;
  while (daemon_counts_.front().first < from) daemon_counts_.pop_front();
}

ShareState SlackShare::StateAt(Time now) const {
  if (now >= entry_until_) return ShareState::kNoEntry;
  if (now < entry_since_ + window_ + kMaxDaemonCountAge)
    return ShareState::kTooRecent;
  if (now > counted_at_ + kMaxDaemonCountAge) return ShareState::kCountStale;
  return ShareState::kHeld;
}

double SlackShare::FractionAt(Time now) const {
  if (StateAt(now) != ShareState::kHeld) return 0;
  return 1.0 / static_cast<double>(daemons());
}

std::size_t SlackShare::daemons() const {
  return daemon_counts_.empty()
             ? 1
             : std::max<std::size_t>(daemon_counts_.front().second, 1);
}

}  // namespace scaleshed::serving

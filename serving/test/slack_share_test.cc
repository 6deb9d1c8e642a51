// Guards against daemons that together use more than the whole retry slack
// within a window. If each divides it by the number of daemons that it knows
// itself, the fleet of this test uses up to 4.5 times the slack.

#include "scaleshed/serving/slack_share.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include "scaleshed/serving/repeat_budget.h"

namespace scaleshed::serving {
namespace {

const Time kStart{seconds(1000)};
constexpr Duration kWindow = seconds(10);
constexpr Duration kEntryTtl = seconds(20);

// Returns the share of a daemon whose entry the store holds newly from `since`
// on.
SlackShare MakeHeldShare(Time since, std::size_t daemons) {
  SlackShare share(kWindow);
  share.OnEntryConfirmed(since, since + kEntryTtl, true);
  share.OnDaemonsCounted(since);
  share.RecordDaemonCount(since, daemons);
  return share;
}

// The store renewed the entry, and its number of daemons arrived.
void Renew(SlackShare& share, Time now, std::size_t daemons) {
  share.OnEntryConfirmed(now, now + kEntryTtl, false);
  share.OnDaemonsCounted(now);
  share.RecordDaemonCount(now, daemons);
}

TEST_CASE(
    "A new entry has no share for a window plus the greatest age of counts") {
  SlackShare share = MakeHeldShare(kStart, 8);
  Renew(share, kStart + seconds(16), 8);
  CHECK(share.StateAt(kStart + seconds(16)) == ShareState::kTooRecent);
  CHECK(share.FractionAt(kStart + seconds(16)) == 0);
  CHECK(share.StateAt(kStart + seconds(17)) == ShareState::kHeld);
  CHECK(share.FractionAt(kStart + seconds(17)) == Approx(1.0 / 8));
}

TEST_CASE(
    "A share ends with the entry or when the number of daemons is stale") {
  SlackShare share = MakeHeldShare(kStart, 8);
  Renew(share, kStart + seconds(18), 8);
  CHECK(share.StateAt(kStart + seconds(25)) == ShareState::kHeld);
  CHECK(share.StateAt(kStart + seconds(26)) == ShareState::kCountStale);
  share.OnDaemonsCounted(kStart + seconds(36));
  CHECK(share.StateAt(kStart + seconds(37)) == ShareState::kHeld);
  CHECK(share.StateAt(kStart + seconds(38)) == ShareState::kNoEntry);
  Renew(share, kStart + seconds(39), 8);
  CHECK(share.FractionAt(kStart + seconds(39)) > 0);
  share.OnEntryRemoved();
  CHECK(share.FractionAt(kStart + seconds(39)) == 0);
}

TEST_CASE(
    "A gone daemon's share is divided once its retries are out of the window") {
  SlackShare share = MakeHeldShare(kStart, 8);
  Renew(share, kStart + seconds(20), 8);
  Renew(share, kStart + seconds(21), 4);
  CHECK(share.daemons() == 8);
  Renew(share, kStart + seconds(37), 4);
  CHECK(share.daemons() == 8);
  Renew(share, kStart + seconds(38), 4);
  CHECK(share.daemons() == 4);
}

// A fleet of daemons that start, are killed, restart under their address, can't
// reach the store for a while, and send all the retries that they may, all the
// time. The store's number of daemons arrives late at each, and a daemon may
// receive no snapshots of the others.
class RandomFleet {
 public:
  RandomFleet(std::uint64_t seed, std::size_t daemons)
      : random_(seed), daemons_(daemons) {
    for (Daemon& it : daemons_) Start(it);
  }

  void Step() {
    now_ += kStep;
    for (std::size_t i = 0; i < daemons_.size(); ++i) StepDaemon(i);
    // Expired entries are removed.
    std::erase_if(entries_, [&](const auto& it) { return it.second <= now_; });
    counts_.push_back(entries_.size());
    InjectFault();
  }
  std::size_t InWindow() {
    while (!sent_.empty() && sent_.front() < now_ - kWindow) sent_.pop_front();
    return sent_.size();
  }

  static constexpr double kSlack = 200;

 private:
  static constexpr Duration kStep = milliseconds(200);

  struct Daemon {
    bool running = false;
    Time due{};  // time of its next call to the store, or of its start
    bool store_unreachable = false;
    SlackShare share{kWindow};
    RetryBudget budget{{.ratio = 0, .slack = kSlack, .window = kWindow}};
    bool has_entry = false;
  };

  std::size_t Random(std::size_t most) { return random_() % (most + 1); }

  void Start(Daemon& daemon) {
    daemon = {};
    daemon.due = now_ + milliseconds(200) * Random(40);
  }

  void StepDaemon(std::size_t i) {
    Daemon& it = daemons_[i];
    if (now_ >= it.due && !it.store_unreachable) CallStore(i);
    if (!it.running) return;
    // Some daemons receive snapshots of all others, some of none.
    it.share.RecordDaemonCount(now_, Random(1) == 0 ? 1
                                     : it.has_entry ? delivered_count_
                                                    : 1);
    const bool count_arrives = !it.store_unreachable && Random(4) == 0;
    if (count_arrives) DeliverCount(it);
    const double fraction = it.share.FractionAt(now_);
    while (it.budget.ReserveRetry(now_, fraction) &&
           it.budget.CommitRetry(now_, fraction)) {
      sent_.push_back(now_);
    }
  }

  void CallStore(std::size_t i) {
    Daemon& it = daemons_[i];
    it.running = true;
    it.due = now_ + seconds(6);
    const bool still_listed = entries_.contains(i);
    entries_[i] = now_ + kEntryTtl;
    it.share.OnEntryConfirmed(now_, now_ + kEntryTtl,
                              !it.has_entry || !still_listed);
    it.has_entry = true;
  }

  // Delivers the number of daemons as it was up to 6.8 s ago.
  void DeliverCount(Daemon& daemon) {
    const std::size_t steps_back = std::min(Random(34), counts_.size());
    if (steps_back == 0) return;
    delivered_count_ = counts_[counts_.size() - steps_back];
    daemon.share.OnDaemonsCounted(now_ - kStep * steps_back);
    daemon.share.RecordDaemonCount(now_, delivered_count_);
  }

  void InjectFault() {
    constexpr std::size_t kStepsPerFault = 60;
    if (Random(kStepsPerFault) != 0) return;
    const std::size_t kind = Random(3);
    for (Daemon& it : daemons_) {
      if (Random(1) == 0) continue;
      if (kind <= 1) Start(it);  // killed
      if (kind == 2) it.store_unreachable = true;
      if (kind == 3) it.store_unreachable = false;
    }
  }

  std::mt19937_64 random_;
  Time now_ = kStart;
  std::vector<Daemon> daemons_;
  std::map<std::size_t, Time> entries_;  // lease expiry
  std::vector<std::size_t> counts_;      // number of entries after each step
  std::size_t delivered_count_ = 1;
  std::deque<Time> sent_;
};

TEST_CASE("All shares together never exceed the slack, whatever fails") {
  std::size_t most = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RandomFleet fleet(seed, 3 + seed % 60);
    for (int step = 0; step < 900; ++step) {
      fleet.Step();
      const std::size_t n = fleet.InWindow();
      INFO("seed " << seed << ", step " << step);
      REQUIRE(static_cast<double>(n) <= RandomFleet::kSlack);
      most = std::max(most, n);
    }
  }
  // Most of the slack can be used.
  CHECK(static_cast<double>(most) > 0.7 * RandomFleet::kSlack);
}

}  // namespace
}  // namespace scaleshed::serving

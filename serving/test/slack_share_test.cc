// That the parts of the slack which daemons use in one window are one whole at
// most, whatever they believe of each other. Before, each took one part of as
// many as it believed to be there: in this test's fleet up to 4.5 times the
// slack.

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

// With its part from `since` on, if the store goes on holding its entry.
SlackShare MakeHeldShare(Time since, std::size_t daemons) {
  SlackShare share(kWindow);
  share.OnEntryConfirmed(since, since + kEntryTtl, true);
  share.OnDaemonsCounted(since);
  share.RecordDaemonCount(since, daemons);
  return share;
}

// The store renewed the entry and was counted.
void Renew(SlackShare& share, Time now, std::size_t daemons) {
  share.OnEntryConfirmed(now, now + kEntryTtl, false);
  share.OnDaemonsCounted(now);
  share.RecordDaemonCount(now, daemons);
}

TEST_CASE(
    "A new entry has no part for a window and as long as counts are old") {
  SlackShare share = MakeHeldShare(kStart, 8);
  Renew(share, kStart + seconds(16), 8);
  CHECK(share.StateAt(kStart + seconds(16)) == ShareState::kTooRecent);
  CHECK(share.FractionAt(kStart + seconds(16)) == 0);
  CHECK(share.StateAt(kStart + seconds(17)) == ShareState::kHeld);
  CHECK(share.FractionAt(kStart + seconds(17)) == Approx(1.0 / 8));
}

TEST_CASE("A part ends with the entry, or with its count") {
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

TEST_CASE("The parts of others are taken once they are out of the window") {
  SlackShare share = MakeHeldShare(kStart, 8);
  Renew(share, kStart + seconds(20), 8);
  Renew(share, kStart + seconds(21), 4);
  CHECK(share.daemons() == 8);
  Renew(share, kStart + seconds(37), 4);
  CHECK(share.daemons() == 8);
  Renew(share, kStart + seconds(38), 4);
  CHECK(share.daemons() == 4);
}

// Daemons that start, are killed, come back under their address, lose the
// store for a while, and spend all that they may, all the time. The store's
// count comes to each late, and what each hears of others may be nothing.
class RandomFleet {
 public:
  RandomFleet(std::uint64_t seed, std::size_t daemons)
      : random_(seed), daemons_(daemons) {
    for (Daemon& it : daemons_) Start(it);
  }

  void Step() {
    now_ += kStep;
    for (std::size_t i = 0; i < daemons_.size(); ++i) StepDaemon(i);
    // Entries whose lease is over go.
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
    Time due{};  // of its next call to the store, or of its start
    bool store_unreachable = false;  // from the store
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
    // Some hear all others, some nobody.
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

  // As it was up to 6.8 s ago.
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
  std::map<std::size_t, Time> entries_;  // until when
  std::vector<std::size_t> counts_;      // of entries, by step
  std::size_t delivered_count_ = 1;
  std::deque<Time> sent_;
};

TEST_CASE("All parts together are one whole at most, whatever happens") {
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
  // It is used, too.
  CHECK(static_cast<double>(most) > 0.7 * RandomFleet::kSlack);
}

}  // namespace
}  // namespace scaleshed::serving

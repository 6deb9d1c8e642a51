// Services got more repeats than allowed from all daemons together. Three ways
// in which the sum went over the bound, each here without a network; the first
// two were seen on processes (soak_test), the third was found by reading.

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::kStart;
using test::MakeConfiguration;

constexpr Duration kWindow = seconds(3);
constexpr double kSlack = 30;

// One daemon before one plain backend server that declines everything.
class DaemonOfDecliningServer {
 public:
  DaemonOfDecliningServer()
      : state_({.instance = "1.1.1.1:1",
                .peer_address = "1.1.1.1:2",
                .retry_budget = {
                    .ratio = 0, .slack = kSlack, .window = kWindow}}) {
    test::HoldSlack(state_.slack_share);
    Feed(ConfigurationReceived{.configuration = MakeConfiguration(1),
                               .queried_at = now_});
    Feed(BackendsListed{.backends = {{.id = "app0",
                                      .service = "app",
                                      .address = "app0:1",
                                      .slots = 1000,
                                      .revision = {.number = 2}}},
                        .queried_at = now_});
  }

  // Everything it knows of the store is the newest, or may be old.
  void ConfirmStore() {
    Feed(ConfigurationConfirmed{.revision = {.number = 1}, .queried_at = now_});
    Feed(BackendsConfirmed{.queried_at = now_});
  }
  void AdvanceTime(Duration time, bool confirmed) {
    const Time until = now_ + time;
    while (now_ < until) {
      now_ += milliseconds(10);
      if (confirmed) ConfirmStore();
      // The store speaks, so that what is old isn't gone by.
      Feed(StoreResponded{});
      Feed(Tick{});
    }
  }
  void SendRequest() {
    const RequestKey key = ++last_key_;
    Feed(RequestArrived{.key = key,
                        .metadata = {.id = "r" + std::to_string(key),
                                     .host = "h",
                                     .path = "/safe/x",
                                     .keys = {"k"},
                                     .deadline = seconds(15)}});
  }
  // The first of those underway.
  void Decline(std::size_t n) {
    n = std::min(n, active_attempts_.size());
    const std::vector<AttemptId> declined(
        active_attempts_.begin(),
        active_attempts_.begin() + static_cast<std::ptrdiff_t>(n));
    active_attempts_.erase(
        active_attempts_.begin(),
        active_attempts_.begin() + static_cast<std::ptrdiff_t>(n));
    for (const AttemptId it : declined) {
      Feed(AttemptAnswered{
          .attempt = it, .kind = AnswerKind::kNotRun, .status = 503});
    }
  }
  // Sends so far, of which those after each request's first.
  const std::vector<Time>& retries() const { return retries_; }

 private:
  void Feed(EventBody body) {
    for (const Effect& it :
         Reduce(state_, {.now = now_, .body = std::move(body)})) {
      const auto* sent = std::get_if<StartAttempt>(&it);
      if (sent == nullptr) continue;
      active_attempts_.push_back(sent->attempt);
      if (sent_[sent->key]++ > 0) retries_.push_back(now_);
    }
  }

  State state_;
  Time now_ = kStart;
  RequestKey last_key_ = 0;
  std::vector<AttemptId> active_attempts_;
  std::map<RequestKey, int> sent_;
  std::vector<Time> retries_;
};

// A repeat was counted when it was decided. While what is known of the store is
// too old nothing is sent, so that the repeats of several windows wait, and
// they went out in one moment.
TEST_CASE("Repeats that waited together keep to the window when they leave") {
  DaemonOfDecliningServer daemon;
  daemon.ConfirmStore();
  for (int i = 0; i < 180; ++i) daemon.SendRequest();
  // Declined one after another, while proofs are lacking.
  daemon.AdvanceTime(milliseconds(2500), false);
  for (int i = 0; i < 9; ++i) {
    daemon.Decline(20);
    daemon.AdvanceTime(seconds(1), false);
  }
  REQUIRE(daemon.retries().empty());
  daemon.AdvanceTime(milliseconds(20), true);
  CHECK_FALSE(daemon.retries().empty());
  CHECK(daemon.retries().size() <= kSlack);
}

}  // namespace
}  // namespace scaleshed::serving

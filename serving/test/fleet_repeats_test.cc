// Guards against more retries to a service, from all daemons together, than the
// retry budget allows within a window. Checks one daemon without a network;
// testing/test/soak_test.cc checks the sum over real processes.

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

// One daemon in front of one plain backend server that declines each request.
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

  // Confirms that all the daemon knows of the store is the newest.
  void ConfirmStore() {
    Feed(ConfigurationConfirmed{.revision = {.number = 1}, .queried_at = now_});
    Feed(BackendsConfirmed{.queried_at = now_});
  }
  void AdvanceTime(Duration time, bool confirmed) {
    const Time until = now_ + time;
    while (now_ < until) {
      now_ += milliseconds(10);
      if (confirmed) ConfirmStore();
      // The store responds, so the daemon doesn't go on with unconfirmed state.
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
  // Declines the oldest `n` active attempts.
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
  // Times of all sends but the first of each request.
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

// While the state of the store isn't confirmed, nothing is sent, and the
// retries of several windows wait. If a retry counts when it is decided on and
// not when it is sent, all of them leave together and exceed the budget of one
// window.
TEST_CASE(
    "Retries that waited together keep to the window's budget when sent") {
  DaemonOfDecliningServer daemon;
  daemon.ConfirmStore();
  for (int i = 0; i < 180; ++i) daemon.SendRequest();
  // The requests are declined in groups while confirmations are missing.
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

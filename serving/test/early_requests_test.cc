// Guards against refusals by daemons that have just started. After half of the
// daemons are killed and restarted together, clients retry at daemons that need
// 80 to 230 ms until they have a configuration of 1,500 routes. For one request
// in forty, a refusal during that time was the response to the last retry.

#include <catch2/catch.hpp>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::kStart;
using test::MakeConfiguration;

// A daemon that has just started and knows nothing of the store yet.
class StartingDaemon {
 public:
  StartingDaemon()
      : state_({.instance = "1.1.1.1:1", .peer_address = "1.1.1.1:2"}) {
    Feed(milliseconds(0), Tick{});
  }

  Effects Feed(Duration since, EventBody body) {
    return Reduce(state_, {.now = kStart + since, .body = std::move(body)});
  }
  Effects SendRequest(Duration since, RequestKey key) {
    return Feed(since,
                RequestArrived{.key = key,
                               .metadata = {.id = "r" + std::to_string(key),
                                            .host = "h",
                                            .path = "/safe/x",
                                            .keys = {"k"},
                                            .deadline = seconds(4)}});
  }
  // Feeds the store's configuration and backend list, queried `since` after the
  // start.
  Effects ReceiveStoreState(Duration since) {
    Feed(since, ConfigurationReceived{.configuration = MakeConfiguration(1),
                                      .queried_at = kStart + since});
    return Feed(since, BackendsListed{.backends = {{.id = "app0",
                                                    .service = "app",
                                                    .address = "app0:1",
                                                    .slots = 8,
                                                    .revision = {.number = 2}}},
                                      .queried_at = kStart + since});
  }
  const State& state() const { return state_; }

 private:
  State state_;
};

template <typename T>
int CountOf(const Effects& effects) {
  int n = 0;
  for (const Effect& it : effects) n += std::holds_alternative<T>(it) ? 1 : 0;
  return n;
}

TEST_CASE("Early requests wait for the first configuration") {
  StartingDaemon daemon;
  for (RequestKey key = 1; key <= 3; ++key) {
    CHECK(CountOf<Refuse>(daemon.SendRequest(milliseconds(20), key)) == 0);
  }
  CHECK(CountOf<StartAttempt>(daemon.ReceiveStoreState(milliseconds(200))) ==
        3);
  // Its deadline and objective count from its arrival.
  const Request& request = daemon.state().requests.at(1);
  CHECK(request.arrived == kStart + milliseconds(20));
  CHECK(request.due == request.arrived + request.route.objective);
  CHECK(request.deadline == request.arrived + seconds(4));
}

TEST_CASE("An early request is refused after its timeout") {
  StartingDaemon daemon;
  daemon.SendRequest(milliseconds(20), 1);
  CHECK(CountOf<Refuse>(daemon.Feed(milliseconds(400), Tick{})) == 0);
  CHECK(CountOf<Refuse>(daemon.Feed(milliseconds(425), Tick{})) == 1);
}

TEST_CASE(
    "A daemon without a configuration refuses at once more than a second after "
    "its start") {
  StartingDaemon daemon;
  CHECK(CountOf<Refuse>(daemon.SendRequest(milliseconds(1001), 1)) == 1);
}

TEST_CASE("The number of waiting early requests is limited") {
  StartingDaemon daemon;
  int refused = 0;
  for (RequestKey key = 1; key <= 300; ++key) {
    refused += CountOf<Refuse>(daemon.SendRequest(milliseconds(20), key));
  }
  CHECK(refused == 300 - 256);
}

TEST_CASE("An early request whose client disconnects is dropped") {
  StartingDaemon daemon;
  daemon.SendRequest(milliseconds(20), 1);
  daemon.Feed(milliseconds(30), ClientDisconnected{.key = 1});
  CHECK(CountOf<StartAttempt>(daemon.ReceiveStoreState(milliseconds(200))) ==
        0);
  CHECK(daemon.state().requests.empty());
}

}  // namespace
}  // namespace scaleshed::serving

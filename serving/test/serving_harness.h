#ifndef SCALESHED_SERVING_TEST_SERVING_HARNESS_H_
#define SCALESHED_SERVING_TEST_SERVING_HARNESS_H_

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::test {

inline const Time kStart{seconds(1000)};

inline Route MakeRoute(const std::string& name, RequestKind kind,
                       const std::string& service, int max_sends) {
  return {.name = name,
          .host = "h",
          .path_prefix = "/" + name + "/",
          .kind = kind,
          .timeout = seconds(15),
          .objective = seconds(3),
          .max_event_gap = milliseconds(800),
          .shares = {{.service = service}},
          .max_sends = max_sends};
}

inline Configuration MakeConfiguration(std::uint64_t revision) {
  Configuration configuration;
  configuration.revision.number = revision;
  configuration.routes = {
      MakeRoute("stream", RequestKind::kResumableStream, "llm", 2),
      MakeRoute("once-stream", RequestKind::kOnceStream, "llm", 1),
      MakeRoute("safe", RequestKind::kRepeatable, "app", 2),
      MakeRoute("once", RequestKind::kOnce, "app", 1)};
  configuration.services["app"] = {.name = "app"};
  configuration.services["llm"] = {
      .name = "llm",
      .engine = EngineTiming{.slots = 16,
                             .memory_tokens = 450'000,
                             .step_ms = 0.925,
                             .prefill_tokens_per_ms = 256,
                             .attention_ms_per_million_pairs = 0.0917,
                             .tokens_per_event = 46}};
  configuration.accounts =
      std::vector<ClientAccount>{{.name = "acme", .keys = {"k"}}};
  return configuration;
}

// Returns a full snapshot of another daemon that serves and has no active
// requests.
inline LoadSnapshot PeerSnapshot(std::uint64_t sequence) {
  return {.instance = "2.2.2.2:1",
          .peer_address = "2.2.2.2:2",
          .incarnation = 1,
          .sequence = sequence,
          .serving = true};
}

// Puts a slack share into the state of a long-running daemon: it holds its part
// of the retry slack, and does so for another hour.
inline void HoldSlack(SlackShare& slack) {
  slack.OnEntryConfirmed(kStart - seconds(60), kStart + seconds(3600), true);
  slack.OnDaemonsCounted(kStart + seconds(3600));
}

// One daemon's reducer under a scripted clock, with six engines and three plain
// backend servers. A test feeds it events and checks the effects. The harness
// carries out no effect: the test feeds the events that would follow from one.
class Daemon {
 public:
  Daemon()
      : state_({.instance = "1.1.1.1:1",
                .peer_address = "1.1.1.1:2",
                .retry_budget = {.slack = 1000}}) {
    HoldSlack(state_.slack_share);
    Feed(ConfigurationReceived{.configuration = MakeConfiguration(1),
                               .queried_at = kStart});
    for (int i = 0; i < 6; ++i) ListBackend("llm", i);
    for (int i = 0; i < 3; ++i) ListBackend("app", i);
    Feed(BackendsConfirmed{.queried_at = kStart});
  }

  void ListBackend(const std::string& service, int i, bool leaving = false) {
    const std::string id = service + std::to_string(i);
    Feed(BackendListed{{.id = id,
                        .service = service,
                        .address = id + ":1",
                        .slots = 16,
                        .leaving = leaving,
                        .revision = {.number = ++revision_}}});
  }

  const Effects& Feed(EventBody body) {
    effects_ = Reduce(state_, {.now = now_, .body = std::move(body)});
    if (observer_) observer_(effects_);
    return effects_;
  }
  // Calls `observer` with the effects of each event from now on.
  void Observe(std::function<void(const Effects&)> observer) {
    observer_ = std::move(observer);
  }
  // Advances the clock, with a tick whenever NextWake() asks for one. effects()
  // then returns those of all these ticks.
  void AdvanceTime(Duration time) {
    const Time until = now_ + time;
    Effects all;
    while (now_ < until) {
      now_ =
          std::min(until, std::max(NextWake(state_), now_ + milliseconds(1)));
      Feed(Tick{});
      all.insert(all.end(), effects_.begin(), effects_.end());
    }
    effects_ = std::move(all);
  }
  // Confirms that all the daemon knows of the store is the newest.
  void ConfirmStore() {
    Feed(ConfigurationConfirmed{.revision = {.number = 1}, .queried_at = now_});
    Feed(BackendsConfirmed{.queried_at = now_});
  }

  RequestKey SendRequest(const std::string& route, std::int64_t prompt = 2000,
                         Duration deadline = seconds(15)) {
    const RequestKey key = ++last_key_;
    Feed(RequestArrived{.key = key,
                        .metadata = {.id = "r" + std::to_string(key),
                                     .host = "h",
                                     .path = "/" + route + "/x",
                                     .keys = {"k"},
                                     .deadline = deadline,
                                     .prompt_tokens = prompt,
                                     .answer_tokens = 500}});
    return key;
  }

  template <typename T>
  const T* FirstEffect() const {
    for (const Effect& it : effects_) {
      if (const T* found = std::get_if<T>(&it)) return found;
    }
    return nullptr;
  }

  RequestKey next_key() const { return last_key_ + 1; }
  State& state() { return state_; }
  const State& state() const { return state_; }
  Time now() const { return now_; }
  void SetNow(Time now) { now_ = now; }
  const Effects& effects() const { return effects_; }

 private:
  State state_;
  Time now_ = kStart;
  Effects effects_;
  std::function<void(const Effects&)> observer_;
  std::uint64_t revision_ = 10;
  RequestKey last_key_ = 0;
};

}  // namespace scaleshed::serving::test

#endif  // SCALESHED_SERVING_TEST_SERVING_HARNESS_H_

#include "scaleshed/core/reducer.h"

#include <catch2/catch.hpp>
#include <optional>

namespace scaleshed {
namespace {

const Time kNow{seconds(100)};

template <typename T>
std::optional<T> First(const Effects& effects) {
  for (const Effect& it : effects) {
    if (const T* found = std::get_if<T>(&it)) return *found;
  }
  return std::nullopt;
}

State MakeState() {
  State state(ReducerOptions{.self = {.incarnation = {"self", 1},
                                      .address = "self",
                                      .peer_address = "self",
                                      .version = 1},
                             .membership = {}});
  Configuration configuration{.revision = 1};
  configuration.fleet.models["llm"] = {.name = "llm"};
  configuration.accounts["acme"] = {.name = "acme",
                                    .models = {"llm"},
                                    .limits = {.requests_per_second = 100,
                                               .tokens_per_second = 1e9,
                                               .tokens_in_flight = 1'000'000}};
  Reduce(state, {kNow, ConfigurationLoaded{configuration}});
  Reduce(state, {kNow, InstancesListed{{{.name = "e1",
                                         .kind = InstanceKind::kEngine,
                                         .service = "llm",
                                         .memory_tokens = 400'000}}}});
  return state;
}

Submit Prompt(RequestKey key) {
  return {
      .key = key,
      .spec = {.account = "acme",
               .time_limit = seconds(30),
               .call = ModelCall{
                   .model = "llm", .prompt_tokens = 1000, .max_tokens = 2}}};
}

TEST_CASE("A frame of another answer is not passed on, its own is") {
  State state = MakeState();
  const auto first = First<StartStream>(Reduce(state, {kNow, Prompt(1)}));
  const auto second = First<StartStream>(Reduce(state, {kNow, Prompt(2)}));
  REQUIRE(first);
  REQUIRE(second);
  StreamFrame crossed{.attempt = first->attempt,
                      .offset = 0,
                      .text = "secret",
                      .checksum = ChainChecksum(second->checksum, "secret")};
  CHECK_FALSE(First<ReplyChunk>(Reduce(state, {kNow, crossed})));
  StreamFrame own{.attempt = first->attempt,
                  .offset = 0,
                  .text = "mine",
                  .checksum = ChainChecksum(first->checksum, "mine")};
  const auto chunk = First<ReplyChunk>(Reduce(state, {kNow, own}));
  REQUIRE(chunk);
  CHECK(chunk->key == 1);
  CHECK(chunk->text == "mine");
}

TEST_CASE("Waiting for room is no failure") {
  State state = MakeState();
  Time now = kNow;
  Effects effects = Reduce(state, {now, Prompt(1)});
  constexpr int kRefusals = 8;
  for (int it = 0; it < kRefusals; ++it) {
    const auto start = First<StartStream>(effects);
    REQUIRE(start);
    Reduce(state, {now, AttemptFailed{.attempt = start->attempt,
                                      .error = AttemptError::kRefused}});
    now += seconds(1);
    effects = Reduce(state, {now, Tick()});
  }
  const auto start = First<StartStream>(effects);
  REQUIRE(start);
  effects =
      Reduce(state, {now, AttemptFailed{.attempt = start->attempt,
                                        .error = AttemptError::kNotSent}});
  CHECK_FALSE(First<ReplyFinal>(effects));
}

TEST_CASE("Refusals say why, and whether to come back") {
  State state = MakeState();
  Submit unknown = Prompt(1);
  unknown.spec.account = "nobody";
  auto final = First<ReplyFinal>(Reduce(state, {kNow, unknown}));
  REQUIRE(final);
  CHECK(final->final.outcome == Outcome::kNotRun);
  CHECK(final->final.reason == Reason::kUnknownAccount);
  Submit model = Prompt(2);
  std::get<ModelCall>(model.spec.call).model = "other";
  final = First<ReplyFinal>(Reduce(state, {kNow, model}));
  REQUIRE(final);
  CHECK(final->final.reason == Reason::kInvalidRequest);
  Submit too_long = Prompt(3);
  std::get<ModelCall>(too_long.spec.call).prompt_tokens = 2'000'000;
  final = First<ReplyFinal>(Reduce(state, {kNow, too_long}));
  REQUIRE(final);
  CHECK(final->final.reason == Reason::kTooLong);
}

TEST_CASE("An empty list of instances does not make a daemon ready") {
  State state(ReducerOptions{.membership = {}});
  Reduce(state, {kNow, ConfigurationLoaded{{.revision = 1}}});
  Reduce(state, {kNow, InstancesListed{}});
  CHECK_FALSE(state.ready);
}

}  // namespace
}  // namespace scaleshed

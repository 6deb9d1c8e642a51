#include "scaleshed/core/policy.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace scaleshed {
namespace {

const Time kNow{seconds(100)};

// A pool of engines with a report each.
class Engines {
 public:
  explicit Engines(int n, std::int64_t memory = 400'000) {
    for (int it = 0; it < n; ++it) {
      engines_.push_back(
          std::make_unique<Backend>(Instance{.name = "e" + std::to_string(it),
                                             .kind = InstanceKind::kEngine,
                                             .memory_tokens = memory}));
      reports_.push_back({.incarnation = 1, .memory_tokens = memory});
    }
  }
  Report& report(std::size_t it) { return reports_[it]; }
  PlacementQuery Query(const ModelCall& call, int priority) {
    PlacementQuery query{.call = &call,
                         .model = &model_,
                         .engines = {},
                         .priority = priority,
                         .now = kNow};
    for (std::size_t it = 0; it < engines_.size(); ++it) {
      engines_[it]->SetReport(reports_[it], kNow);
      query.engines.push_back(engines_[it].get());
    }
    return query;
  }

 private:
  ModelTemplate model_;
  std::vector<std::unique_ptr<Backend>> engines_;
  std::vector<Report> reports_;
};

std::string PlaceOne(LengthAwarePolicy& policy, const PlacementQuery& query) {
  std::mt19937_64 random(1);
  const auto placement = policy.Place(query, random);
  return placement ? placement->engines.front() : "none";
}

TEST_CASE("Only what is read first is in front of a short prompt") {
  Engines engines(2);
  LengthAwarePolicy policy;
  const ModelCall call{.prompt_tokens = 2000, .max_tokens = 10};
  // A dossier is read on e0; e1 has less work, but all of it short.
  engines.report(0).backlog[9] = seconds(30);
  engines.report(1).backlog[0] = seconds(1);
  CHECK(PlaceOne(policy, engines.Query(call, 0)) == "e0");
}

TEST_CASE("A cached prefix outweighs a little backlog") {
  Engines engines(2);
  LengthAwarePolicy policy;
  const ModelCall call{
      .prompt_tokens = 20'000, .max_tokens = 10, .prefixes = {1, 2, 3, 4, 5}};
  engines.report(1).cache_added = {1, 2, 3, 4, 5};
  engines.report(1).backlog[0] = milliseconds(100);
  CHECK(PlaceOne(policy, engines.Query(call, 3)) == "e1");
}

TEST_CASE(
    "After a gap in its cache events an engine's cache is not relied on") {
  Backend engine(Instance{.name = "e"});
  engine.SetReport({.incarnation = 1,
                    .cache_first = 1,
                    .cache_sequence = 2,
                    .cache_added = {11, 12}},
                   kNow);
  CHECK(engine.CachedTokens({11, 12}) == 2048);
  engine.SetReport({.incarnation = 1, .cache_first = 9, .cache_sequence = 9},
                   kNow);
  CHECK(engine.CachedTokens({11, 12}) == 0);
}

TEST_CASE(
    "A prompt over one engine's memory gets the smallest group that fits") {
  const ModelCall call{.prompt_tokens = 950'000, .max_tokens = 100};
  CHECK(SmallestGroup(call, 400'000) == 3);
  CHECK(SmallestGroup(call, 950'100) == 1);
  CHECK(SmallestGroup({.prompt_tokens = 400'001, .max_tokens = 1}, 400'000) ==
        2);
}

TEST_CASE("A group waits for room before it reserves memory in use") {
  Engines engines(3);
  LengthAwarePolicy policy;
  const ModelCall call{.prompt_tokens = 950'000, .max_tokens = 100};
  engines.report(2).used_tokens = 300'000;
  PlacementQuery query = engines.Query(call, 9);
  CHECK(PlaceOne(policy, query) == "none");
  query.waited = seconds(61);
  CHECK(PlaceOne(policy, query) != "none");
}

TEST_CASE("Lengths go before classes, for the product's own policy only") {
  const Policy own = LengthAwarePolicy();
  const Policy baseline = LeastLoadedPolicy();
  const auto level = [](const Policy& policy, Priority priority,
                        std::int64_t tokens) {
    return EnginePriority(policy, 0.8, priority, tokens);
  };
  CHECK(level(own, Priority::kBatch, 1000) <
        level(own, Priority::kInteractive, 100'000));
  CHECK(level(own, Priority::kInteractive, 1000) <
        level(own, Priority::kBatch, 1000));
  CHECK(level(own, Priority::kBatch, 1'000'000) < kEnginePriorities);
  CHECK(level(baseline, Priority::kBatch, 1000) >
        level(baseline, Priority::kInteractive, 100'000));
}

TEST_CASE("The weight of short prompts decides whether the longest go last") {
  const Policy own = LengthAwarePolicy();
  const auto level = [&](double weight, std::int64_t tokens) {
    return EnginePriority(own, weight, Priority::kStandard, tokens);
  };
  CHECK(level(0.8, 900'000) > level(0.8, 100'000));
  CHECK(level(0.3, 900'000) == level(0.3, 100'000));
}

}  // namespace
}  // namespace scaleshed

// What decisions cost, and how that grows: the slopes of docs/CAPACITY.md.

// Google Benchmark's names and its loop are not this project's.
// NOLINTBEGIN(readability-identifier-naming,clang-analyzer-deadcode.DeadStores)

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>

#include "scaleshed/core/reducer.h"
#include "scaleshed/wire/peer_codec.h"

namespace scaleshed {
namespace {

constexpr std::int64_t kEngineMemory = 400'000;

AccountTemplate BenchAccount(int number) {
  return {.name = "account-" + std::to_string(number),
          .models = {"llm"},
          .limits = {.requests_per_second = 1e9,
                     .tokens_per_second = 1e12,
                     .tokens_in_flight = 1'000'000'000'000}};
}

// A daemon that knows `engines` engines and `accounts` client accounts.
State MakeState(int engines, int accounts) {
  State state(ReducerOptions{.self = {.incarnation = {"self", 1},
                                      .address = "self",
                                      .peer_address = "self",
                                      .version = 1},
                             .membership = {}});
  Configuration configuration{.revision = 1};
  configuration.fleet.models["llm"] = {.name = "llm"};
  for (int it = 0; it < accounts; ++it) {
    const AccountTemplate account = BenchAccount(it);
    configuration.accounts[account.name] = account;
  }
  const Time now{seconds(1)};
  Reduce(state, {.now = now,
                 .body = ConfigurationLoaded{.configuration = configuration}});
  InstancesListed listed;
  for (int it = 0; it < engines; ++it) {
    listed.instances.push_back({.name = "engine-" + std::to_string(it),
                                .kind = InstanceKind::kEngine,
                                .address = "a",
                                .service = "llm",
                                .memory_tokens = kEngineMemory});
  }
  Reduce(state, {.now = now, .body = listed});
  return state;
}

Submit MakeSubmit(RequestKey key) {
  return {.key = key,
          .spec = {.account = "account-0",
                   .time_limit = seconds(60),
                   .call = ModelCall{.model = "llm",
                                     .prompt_tokens = 2000,
                                     .max_tokens = 64,
                                     .prefixes = {key}}}};
}

// One request from its arrival to its last token of three.
void BM_Request(benchmark::State& bench) {
  State state = MakeState(static_cast<int>(bench.range(0)), 1);
  Time now{seconds(2)};
  RequestKey key = 0;
  for (auto _ : bench) {
    now += milliseconds(1);
    const Effects effects =
        Reduce(state, {.now = now, .body = MakeSubmit(++key)});
    for (const Effect& it : effects) {
      const auto* start = std::get_if<StartStream>(&it);
      if (start == nullptr) continue;
      std::uint64_t checksum = start->checksum;
      for (std::int64_t n = 0; n < 3; ++n) {
        checksum = ChainChecksum(checksum, "token");
        Reduce(state, {.now = now,
                       .body = StreamFrame{.attempt = start->attempt,
                                           .offset = n,
                                           .text = "token",
                                           .checksum = checksum}});
      }
      Reduce(state, {.now = now,
                     .body = StreamEnd{.attempt = start->attempt,
                                       .tokens = 3,
                                       .checksum = checksum}});
    }
  }
}
BENCHMARK(BM_Request)->Arg(20)->Arg(64)->Arg(256)->Arg(12'000);

// One decision of the policy alone.
void BM_Place(benchmark::State& bench) {
  State state = MakeState(static_cast<int>(bench.range(0)), 1);
  const ModelCall call{.model = "llm",
                       .prompt_tokens = bench.range(1),
                       .max_tokens = 64,
                       .prefixes = {1, 2, 3}};
  PlacementQuery query{.call = &call,
                       .model = &state.configuration.fleet.models.at("llm"),
                       .engines = {},
                       .now = Time{seconds(2)}};
  for (const auto& [name, it] : state.pools["llm"]) {
    query.engines.push_back(&it);
  }
  for (auto _ : bench) {
    benchmark::DoNotOptimize(Place(state.policy, query, state.random));
  }
}
BENCHMARK(BM_Place)->ArgsProduct({{20, 64, 256, 12'000}, {2000, 900'000}});

// One token passed on, with `range` requests in flight.
void BM_Frame(benchmark::State& bench) {
  State state = MakeState(64, 1);
  const Time now{seconds(2)};
  StartStream last;
  for (RequestKey key = 1; key <= static_cast<RequestKey>(bench.range(0));
       ++key) {
    for (const Effect& it :
         Reduce(state, {.now = now, .body = MakeSubmit(key)})) {
      const auto* start = std::get_if<StartStream>(&it);
      if (start != nullptr) last = *start;
    }
  }
  std::int64_t offset = 0;
  std::uint64_t checksum = last.checksum;
  for (auto _ : bench) {
    checksum = ChainChecksum(checksum, "token");
    benchmark::DoNotOptimize(
        Reduce(state, {.now = now,
                       .body = StreamFrame{.attempt = last.attempt,
                                           .offset = offset++,
                                           .text = "token",
                                           .checksum = checksum}}));
  }
}
BENCHMARK(BM_Frame)->Arg(50)->Arg(500);

// A tick with `range` requests in flight.
void BM_Tick(benchmark::State& bench) {
  State state = MakeState(64, 220);
  Time now{seconds(2)};
  for (RequestKey key = 1; key <= static_cast<RequestKey>(bench.range(0));
       ++key) {
    Reduce(state, {.now = now, .body = MakeSubmit(key)});
  }
  for (auto _ : bench) {
    benchmark::DoNotOptimize(Reduce(state, {.now = now, .body = Tick()}));
  }
}
BENCHMARK(BM_Tick)->Arg(0)->Arg(50)->Arg(500);

Member MakeMember(int number) {
  return {.incarnation = {"entry-" + std::to_string(number), 1'700'000'000},
          .address = "10.10.10.10:8080",
          .peer_address = std::to_string(number),
          .data_centre = "centre-" + std::to_string(number % 11),
          .version = 1};
}

// A round of probes and their answers among `range` members, and the bytes of
// a probe when there is no news.
void BM_Membership(benchmark::State& bench) {
  const int n = static_cast<int>(bench.range(0));
  Membership membership(MakeMember(0), {});
  Time now{seconds(1)};
  for (int it = 1; it < n; ++it) {
    membership.Receive({.members = {MakeMember(it)}}, now);
  }
  std::mt19937_64 random(1);
  const auto round = [&] {
    now += milliseconds(500);
    auto outgoing = membership.Tick(now, random);
    for (const auto& it : outgoing) {
      Member peer = MakeMember(std::stoi(it.peer_address));
      membership.Receive({.is_ack = true, .members = {peer}}, now);
    }
    return outgoing;
  };
  // Until the news of the start has been passed on.
  for (int it = 0; it < 5000; ++it) round();
  std::size_t bytes = 0;
  std::size_t messages = 0;
  for (auto _ : bench) {
    for (const auto& it : round()) {
      bench.PauseTiming();
      bytes +=
          EncodePeer({.from = {"entry-0", 1}, .message = it.probe}, 0).size();
      ++messages;
      bench.ResumeTiming();
    }
  }
  const auto rounds = static_cast<double>(bench.iterations());
  bench.counters["probe_bytes"] =
      static_cast<double>(bytes) / static_cast<double>(messages);
  bench.counters["probes"] = static_cast<double>(messages) / rounds;
}
BENCHMARK(BM_Membership)->Arg(9)->Arg(100)->Arg(800);

// Which instance owns an account, among `range` members.
void BM_AccountOwner(benchmark::State& bench) {
  std::vector<std::string> members;
  members.reserve(static_cast<std::size_t>(bench.range(0)));
  for (int it = 0; it < bench.range(0); ++it) {
    members.push_back("entry-" + std::to_string(it));
  }
  for (auto _ : bench) {
    benchmark::DoNotOptimize(RendezvousOwner(members, "account-17"));
  }
}
BENCHMARK(BM_AccountOwner)->Arg(9)->Arg(800);

// A report with `range` streams taken in.
void BM_Report(benchmark::State& bench) {
  State state = MakeState(64, 1);
  Report report{.incarnation = 1, .memory_tokens = kEngineMemory};
  for (AttemptId it = 0; it < static_cast<AttemptId>(bench.range(0)); ++it) {
    report.entries.push_back({.attempt = it, .holder = {"entry-1", 1}});
  }
  const Time now{seconds(2)};
  for (auto _ : bench) {
    Reduce(state,
           {.now = now,
            .body = ReportArrived{.backend = "engine-1", .report = report}});
  }
}
BENCHMARK(BM_Report)->Arg(4)->Arg(32);

// Bytes of state for each thing that a daemon knows.
void BM_StateBytes(benchmark::State& bench) {
  State state = MakeState(64, 1);
  for (RequestKey key = 1; key <= 64; ++key) {
    Reduce(state, {.now = Time{seconds(2)}, .body = MakeSubmit(key)});
  }
  std::size_t engines = 0;
  std::size_t requests = 0;
  for (auto _ : bench) {
    engines = 0;
    requests = 0;
    for (const auto& [name, it] : state.pools["llm"]) {
      engines += it.StateBytes() + name.size() * 3;
    }
    for (const auto& [key, it] : state.requests) {
      requests += RequestStateBytes(it);
    }
  }
  bench.counters["bytes_per_engine"] = static_cast<double>(engines) / 64;
  bench.counters["bytes_per_request"] =
      static_cast<double>(requests) /
      static_cast<double>(state.requests.size());
  bench.counters["bytes_per_account"] = static_cast<double>(
      sizeof(AccountTemplate) + sizeof(AccountLimiter) + 4 * 64);
  bench.counters["bytes_per_member"] =
      static_cast<double>(sizeof(Member) + 48 + 2 * 32);
}
BENCHMARK(BM_StateBytes);

}  // namespace
}  // namespace scaleshed

BENCHMARK_MAIN();

// NOLINTEND(readability-identifier-naming,clang-analyzer-deadcode.DeadStores)

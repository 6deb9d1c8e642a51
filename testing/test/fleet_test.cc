// Whole daemons of the users' platform on one loop, against a stand-in of its
// store and of its backend servers. Waits are on conditions, never on times.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fleet_harness.h"

namespace scaleshed::testing {
namespace {

std::string Pieces(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) +
            "\n\n";
  }
  return text;
}

TEST_CASE("A request passes unchanged but for what the system sets") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("llm");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  const auto asked = fleet.Ask("/chat/a?b=c%20d", {{"X-Own", "kept"},
                                                   {"X-Tenant", "forged"},
                                                   {"Helpers", "1.2.3.4:5"},
                                                   {"TE", "trailers"}});
  CHECK(asked->status() == 200);
  CHECK(asked->body() == Pieces(1, 5));
  CHECK(asked->header("X-Response-Seal") == "seal-of-" + worker.id());
  CHECK(fleet.daemon(0).open_attempts() == 0);
  const HttpRequest& got = worker.last_request();
  CHECK(got.method == "POST");
  CHECK(got.target == "/chat/a?b=c%20d");
  CHECK(got.body == "question");
  CHECK(got.headers.Get("X-Own") == "kept");
  CHECK(got.headers.Get("X-Tenant") == "acme");
  CHECK(got.headers.Get("X-Expect-Instance") == worker.id());
  CHECK(got.headers.Count("Api-Key") == 0);
  CHECK(got.headers.Count("Helpers") == 0);
  CHECK(got.headers.Count("TE") == 0);
  CHECK(std::stoi(got.headers.Get("X-Deadline-Ms")) <= 4000);
}

TEST_CASE("A cut stream goes on at another worker, no piece twice or missing") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& first = fleet.AddWorker("llm");
  FakeWorker& second = fleet.AddWorker("llm");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  first.SetMode(WorkerMode::kCutting);
  second.SetMode(WorkerMode::kCutting);
  const auto asked = fleet.Send("/chat/a");
  REQUIRE(fleet.Until([&] { return asked->streamed == Pieces(1, 2); }));
  FakeWorker& cut = first.runs() > 0 ? first : second;
  first.SetMode(WorkerMode::kServing);
  second.SetMode(WorkerMode::kServing);
  cut.BreakHeld();
  REQUIRE(fleet.Until([&] { return asked->done; }));
  CHECK(asked->status() == 200);
  CHECK(asked->body() == Pieces(1, 5));
  CHECK(first.runs() == 1);
  CHECK(second.runs() == 1);
}

TEST_CASE("A cut stream that may not be resumed doesn't look whole") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("llm");
  fleet.AddWorker("llm");
  FakeWorker& other = fleet.worker(1);
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  worker.SetMode(WorkerMode::kCutting);
  other.SetMode(WorkerMode::kCutting);
  const auto asked = fleet.Send("/once/a");
  REQUIRE(fleet.Until([&] { return asked->streamed == Pieces(1, 2); }));
  worker.BreakHeld();
  other.BreakHeld();
  REQUIRE(fleet.Until([&] { return asked->done; }));
  CHECK(ValueOf(asked->result) == nullptr);
  CHECK(worker.runs() + other.runs() == 1);
}

TEST_CASE("A request that may not be repeated runs at most once") {
  struct Case {
    WorkerMode mode;
    int status;
    int runs;
  };
  for (const Case& it : std::vector<Case>{{WorkerMode::kResetting, 502, 1},
                                          {WorkerMode::kPlainRefusal, 502, 1},
                                          {WorkerMode::kFailing, 500, 1},
                                          {WorkerMode::kForeignAnswer, 502, 1},
                                          {WorkerMode::kUnsealed, 502, 1},
                                          {WorkerMode::kEncoded, 502, 1},
                                          {WorkerMode::kFull, 503, 0}}) {
    Fleet fleet;
    fleet.Configure();
    FakeWorker& first = fleet.AddWorker("app");
    FakeWorker& second = fleet.AddWorker("app");
    first.SetMode(it.mode);
    second.SetMode(it.mode);
    fleet.AddDaemon();
    REQUIRE(fleet.WaitReady());
    const auto asked =
        fleet.Ask("/plain/unsafe/a", {{"X-Request-Id", "sign-off"}});
    INFO("mode " << static_cast<int>(it.mode));
    CHECK(asked->status() == it.status);
    CHECK(first.RunsOf("sign-off") + second.RunsOf("sign-off") == it.runs);
    // 503 says that it did not run, and when to come back.
    CHECK(asked->header("Retry-After").empty() == (it.status != 503));
  }
}

TEST_CASE("What did not run is sent elsewhere") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& first = fleet.AddWorker("app");
  FakeWorker& second = fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  first.SetMode(WorkerMode::kFull);
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.Ask("/plain/unsafe/a")->status() == 200);
  }
  CHECK(second.runs() == 4);
  first.SetMode(WorkerMode::kServing);
  second.Restart("i-other");
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.Ask("/plain/unsafe/a")->status() == 200);
  }
  CHECK(first.runs() == 4);
}

TEST_CASE("A repeatable request gets another worker's answer") {
  for (const WorkerMode mode :
       {WorkerMode::kFailing, WorkerMode::kResetting, WorkerMode::kUnsealed,
        WorkerMode::kForeignAnswer, WorkerMode::kHanging}) {
    Fleet fleet;
    fleet.Configure();
    FakeWorker& first = fleet.AddWorker("app");
    FakeWorker& second = fleet.AddWorker("app");
    fleet.AddDaemon();
    REQUIRE(fleet.WaitReady());
    first.SetMode(mode);
    const auto asked = fleet.Ask("/plain/safe/a");
    INFO("mode " << static_cast<int>(mode));
    CHECK(asked->status() == 200);
    CHECK(asked->body() == "body of " + second.id());
  }
}

TEST_CASE("Keys and routes are those of the newest configuration") {
  Fleet fleet;
  nlohmann::json configuration = FleetConfiguration();
  fleet.Configure(configuration);
  fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  CHECK(fleet.Ask("/plain/safe/a")->status() == 200);
  CHECK(fleet.Ask("/nothing/a")->status() == 404);
  CHECK(fleet.Ask("/plain/safe/a", {{"Api-Key", "no"}})->status() == 401);
  // A silent watch hides the change; the question whether what is known is the
  // newest brings it.
  fleet.store().MuteWatches(true);
  configuration["tenants"][0]["api_keys"] = {"k2"};
  fleet.Configure(configuration);
  REQUIRE(fleet.Eventually([&] {
    return fleet.Ask("/plain/safe/a", {{"Api-Key", "k2"}})->status() == 200;
  }));
  CHECK(fleet.Ask("/plain/safe/a")->status() == 401);
}

// Guards against routes that open to everybody once no key is left.
TEST_CASE("Without its last key a deployment serves public routes only") {
  Fleet fleet;
  nlohmann::json configuration = FleetConfiguration();
  configuration["routes"][3]["public"] = true;
  fleet.Configure(configuration);
  fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  CHECK(fleet.Ask("/plain/safe/a")->status() == 200);
  const nlohmann::json accounts = configuration["tenants"];
  for (const auto& none : {nlohmann::json::array(), nlohmann::json()}) {
    configuration["version"] = configuration["version"].get<int>() + 1;
    configuration["tenants"] = none;
    fleet.Configure(configuration);
    REQUIRE(fleet.Eventually(
        [&] { return fleet.Ask("/plain/safe/a")->status() == 401; }));
    CHECK(fleet.Ask("/plain/safe/a", {{"Api-Key", "no"}})->status() == 401);
    CHECK(fleet.Ask("/plain/unsafe/a")->status() == 200);
    configuration["version"] = configuration["version"].get<int>() + 1;
    configuration["tenants"] = accounts;
    fleet.Configure(configuration);
    REQUIRE(fleet.Eventually(
        [&] { return fleet.Ask("/plain/safe/a")->status() == 200; }));
  }
}

TEST_CASE("An unreadable configuration leaves the last one in force") {
  Fleet fleet;
  fleet.Configure();
  fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  fleet.store().Put("op/config", "{\"routes\": 7}");
  fleet.store().Put("servers/i-bad", "[]");
  for (int i = 0; i < 5; ++i) {
    CHECK(fleet.Ask("/plain/safe/a")->status() == 200);
  }
}

TEST_CASE("A worker's connection that fell silent is given up, and resumed") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& first = fleet.AddWorker("llm");
  FakeWorker& second = fleet.AddWorker("llm");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  first.HoldStreams(true);
  second.HoldStreams(true);
  const auto asked = fleet.Send("/chat/a");
  REQUIRE(fleet.Until([&] { return asked->streamed == Pieces(1, 1); }));
  first.HoldStreams(false);
  second.HoldStreams(false);
  REQUIRE(fleet.Until([&] { return asked->done; }));
  CHECK(asked->status() == 200);
  CHECK(asked->body() == Pieces(1, 5));
  CHECK(first.runs() == 1);
  CHECK(second.runs() == 1);
}

TEST_CASE("A leaving worker gets nothing new, whoever tells it first") {
  SECTION("its entry says so") {
    Fleet fleet;
    fleet.Configure();
    FakeWorker& leaving = fleet.AddWorker("app");
    fleet.AddWorker("app");
    fleet.AddDaemon();
    REQUIRE(fleet.WaitReady());
    fleet.store().Put("servers/" + leaving.id(),
                      leaving.Entry("app", "draining"));
    CHECK(fleet.StopsGetting(leaving, "/plain/safe/a"));
  }
  SECTION("its entry is gone") {
    Fleet fleet;
    fleet.Configure();
    FakeWorker& leaving = fleet.AddWorker("app");
    fleet.AddWorker("app");
    fleet.AddDaemon();
    REQUIRE(fleet.WaitReady());
    fleet.store().Remove("servers/" + leaving.id());
    CHECK(fleet.StopsGetting(leaving, "/plain/safe/a"));
  }
  SECTION("while watches are silent") {
    Fleet fleet;
    fleet.Configure();
    FakeWorker& leaving = fleet.AddWorker("app");
    fleet.AddWorker("app");
    fleet.AddDaemon();
    REQUIRE(fleet.WaitReady());
    fleet.store().MuteWatches(true);
    fleet.store().Put("servers/" + leaving.id(),
                      leaving.Entry("app", "draining"));
    CHECK(fleet.StopsGetting(leaving, "/plain/safe/a"));
  }
  SECTION("while the store forgets its history") {
    Fleet fleet;
    fleet.Configure();
    FakeWorker& leaving = fleet.AddWorker("app");
    fleet.AddWorker("app");
    fleet.AddDaemon();
    REQUIRE(fleet.WaitReady());
    fleet.store().MuteWatches(true);
    fleet.store().Remove("servers/" + leaving.id());
    fleet.store().MuteWatches(false);
    fleet.store().ForgetHistory();
    CHECK(fleet.StopsGetting(leaving, "/plain/safe/a"));
  }
}

TEST_CASE("A worker whose entry somebody else wrote is used again afterwards") {
  // Each of these stands in the store in place of a right entry.
  for (const std::string forged :
       {"[]", "{", "{\"service\":\"app\"}", "\xff\xfe"}) {
    INFO(forged);
    Fleet fleet;
    fleet.Configure();
    FakeWorker& worker = fleet.AddWorker("app");
    FakeWorker& other = fleet.AddWorker("app");
    fleet.AddDaemon();
    REQUIRE(fleet.WaitReady());
    fleet.store().Put("servers/" + worker.id(), forged);
    CHECK(fleet.StopsGetting(worker, "/plain/safe/a"));
    // The others hold.
    const int before = other.runs();
    CHECK(fleet.Eventually([&] {
      CHECK(fleet.Ask("/plain/safe/a")->status() == 200);
      return other.runs() > before;
    }));
    fleet.store().Put("servers/" + worker.id(), worker.Entry("app"));
    CHECK(fleet.Eventually([&] {
      const int runs = worker.runs();
      fleet.Ask("/plain/safe/a");
      return worker.runs() > runs;
    }));
  }
}

TEST_CASE("A worker that drained and started again under its id is used") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("app");
  fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  fleet.store().Put("servers/" + worker.id(), worker.Entry("app", "draining"));
  REQUIRE(fleet.StopsGetting(worker, "/plain/safe/a"));
  worker.StartAgain();
  fleet.store().Put("servers/" + worker.id(), worker.Entry("app"));
  CHECK(fleet.Eventually([&] {
    const int runs = worker.runs();
    fleet.Ask("/plain/safe/a");
    return worker.runs() > runs;
  }));
}

TEST_CASE("A client that leaves ends the work for it") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("llm");
  worker.HoldStreams(true);
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  const auto asked = fleet.Send("/chat/a");
  REQUIRE(fleet.Until([&] { return !asked->streamed.empty(); }));
  fleet.Leave(*asked);
  CHECK(fleet.Until([&] { return worker.client_left(); }));
}

TEST_CASE("A prompt larger than an engine's memory gets memory at several") {
  Fleet fleet;
  fleet.Configure();
  std::vector<FakeWorker*> workers;
  workers.reserve(12);
  for (int i = 0; i < 12; ++i) workers.push_back(&fleet.AddWorker("llm"));
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  for (FakeWorker* it : workers) it->HoldStreams(true);
  const auto asked = fleet.Send("/chat/a", {{"X-Token-Usage", "700000,100"}});
  REQUIRE(fleet.Until([&] { return !asked->streamed.empty(); }));
  std::int64_t tokens = 0;
  std::string helpers;
  for (FakeWorker* it : workers) {
    for (const auto& [ticket, n] : it->tickets()) tokens += n;
    if (it->runs() > 0) helpers = it->last_request().headers.Get("Helpers");
  }
  CHECK(tokens >= 700'100 - 450'000);
  CHECK(helpers.find('/') != std::string::npos);
  fleet.Leave(*asked);
  CHECK(fleet.Until([&] {
    for (FakeWorker* it : workers) {
      if (!it->tickets().empty()) return false;
    }
    return true;
  }));
}

TEST_CASE("Memory that is refused leaves none behind") {
  Fleet fleet;
  fleet.Configure();
  std::vector<FakeWorker*> workers;
  workers.reserve(12);
  for (int i = 0; i < 12; ++i) workers.push_back(&fleet.AddWorker("llm"));
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  for (FakeWorker* it : workers) it->RefuseMemory(true);
  const auto asked = fleet.Ask("/chat/a", {{"X-Token-Usage", "700000,100"}});
  CHECK(asked->status() == 503);
  for (FakeWorker* it : workers) {
    CHECK(it->tickets().empty());
    CHECK(it->runs() == 0);
  }
}

TEST_CASE("Look-ups name the daemons that serve, and not one that stops") {
  Fleet fleet;
  fleet.Configure();
  fleet.AddWorker("app");
  fleet.AddDaemon();
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady(0));
  REQUIRE(fleet.WaitReady(1));
  const auto names = [&](std::size_t i, std::size_t whom) {
    const auto asked = fleet.Get(fleet.settings(i).fleet->look_up_listen,
                                 "/v1/resolve?name=h&region=r&zone=z1");
    return asked->body().find(fleet.settings(whom).listen) != std::string::npos;
  };
  REQUIRE(fleet.Eventually([&] { return names(0, 1) && names(1, 0); }));
  fleet.daemon(1).Stop();
  CHECK_FALSE(fleet.IsReady(1));
  CHECK(fleet.Eventually([&] { return !names(0, 1); }));
  // It still serves what comes.
  const auto asked = fleet.Send("/plain/safe/a", {}, 1);
  REQUIRE(fleet.Until([&] { return asked->done; }));
  CHECK(asked->status() == 200);
  CHECK(asked->header("Connection") == "close");
}

TEST_CASE("A daemon is listed in the store until it stops") {
  Fleet fleet;
  fleet.Configure();
  fleet.store().SetMode(StoreMode::kLosingWrites);
  fleet.AddDaemon();
  const std::string key = "scaleshed/members/" + fleet.settings(0).peer_listen;
  REQUIRE(fleet.Until([&] { return fleet.store().Has(key); }));
  fleet.store().SetMode(StoreMode::kUp);
  REQUIRE(fleet.WaitReady());
  fleet.daemon(0).Stop();
  CHECK(fleet.Until([&] { return !fleet.store().Has(key); }));
}

TEST_CASE("An engine that turned slow is found by its report") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& first = fleet.AddWorker("llm");
  FakeWorker& second = fleet.AddWorker("llm");
  FakeWorker& third = fleet.AddWorker("llm");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  fleet.Ask("/chat/a");
  FakeWorker& used = first.runs() > 0    ? first
                     : second.runs() > 0 ? second
                                         : third;
  used.SetPace(4);
  CHECK(fleet.StopsGetting(used, "/chat/a"));
}

TEST_CASE("The metrics tell what was served and what is believed") {
  Fleet fleet;
  fleet.Configure();
  fleet.AddWorker("llm");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  fleet.Ask("/chat/a");
  const std::string& address = fleet.settings(0).fleet->metrics_listen;
  const auto shown = fleet.Get(address, "/metrics");
  CHECK(shown->status() == 200);
  const std::string text = shown->body();
  const std::string latency =
      R"(scaleshed_latency_seconds_count{account="acme",route="r/chat/"} 1)";
  for (const std::string& it : std::vector<std::string>{
           "scaleshed_requests_total 1", "scaleshed_delivered_total 1",
           "scaleshed_serving 1", "scaleshed_backends_open 1",
           "scaleshed_all_daemons_place 1",
           "scaleshed_datagrams_question_total 0",
           R"(scaleshed_requests_in_work{phase="running"} 0)", latency}) {
    INFO(text);
    CHECK(text.find(it + "\n") != std::string::npos);
  }
  CHECK(fleet.Get(address, "/other")->status() == 404);
  // What is measured by route goes with the route: configurations change many
  // thousand times a day.
  fleet.Configure(ConfigurationWithoutRoutes(2));
  CHECK(
      fleet.Eventually([&] { return fleet.Ask("/chat/a")->status() == 404; }));
  // What was in work at the change is measured after it, and goes with the
  // next.
  fleet.Configure(ConfigurationWithoutRoutes(3));
  CHECK(fleet.Eventually([&] {
    const std::string now = fleet.Get(address, "/metrics")->body();
    return now.find("r/chat/") == std::string::npos;
  }));
}

}  // namespace
}  // namespace scaleshed::testing

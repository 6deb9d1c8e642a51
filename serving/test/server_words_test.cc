// What backend servers say of themselves in their answers, as one daemon hears
// it.

#include <catch2/catch.hpp>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

// The fields of the first line of that name among the last effects; empty:
// none.
std::map<std::string, std::string> LineOf(const Daemon& daemon,
                                          const std::string& what) {
  for (const Effect& it : daemon.effects()) {
    const auto* line = std::get_if<LogDecision>(&it);
    if (line == nullptr || line->what != what) continue;
    return {line->fields.begin(), line->fields.end()};
  }
  return {};
}

// The attempt of a request that is sent.
AttemptId SendOne(Daemon& daemon) {
  daemon.Ask("stream");
  REQUIRE(daemon.First<StartAttempt>() != nullptr);
  return daemon.First<StartAttempt>()->attempt;
}

AnswerBegun Limited(AttemptId attempt, std::optional<double> limit) {
  return {.attempt = attempt, .word = {.limit = limit}};
}

TEST_CASE("A limit is logged when it is named, changes and ends") {
  Daemon daemon;
  const AttemptId first = SendOne(daemon);
  daemon.Feed(Limited(first, 2.7));
  auto line = LineOf(daemon, "server_limit");
  CHECK(line["what"] == "named");
  CHECK(line["per_second"] == "2.7");
  CHECK(line["request"] == "r1");
  daemon.Feed(Limited(first, 2.7));
  CHECK(LineOf(daemon, "server_limit").empty());
  daemon.Feed(Limited(first, 0.5));
  CHECK(LineOf(daemon, "server_limit")["what"] == "changed");
  CHECK(daemon.state().limits.size() == 1);
  // Sent before the limit was heard: its answer may be older than that.
  daemon.Feed(Limited(first, std::nullopt));
  CHECK(daemon.state().limits.size() == 1);
}

TEST_CASE("A limit ends by an answer without it, of a request sent since") {
  Daemon daemon;
  for (int i = 1; i < 6; ++i) daemon.List("llm", i, /*leaving=*/true);
  daemon.Feed(Limited(SendOne(daemon), 50));
  daemon.Pass(milliseconds(200));
  const AttemptId second = SendOne(daemon);
  daemon.Feed(Limited(second, std::nullopt));
  CHECK(LineOf(daemon, "server_limit")["what"] == "ended");
}

// Reports are among the requests that a server counts.
TEST_CASE("An engine that has named a limit isn't asked for reports") {
  Daemon daemon;
  daemon.Ask("stream");
  const BackendId engine = daemon.state().requests.begin()->second.backend;
  daemon.Feed(Limited(daemon.First<StartAttempt>()->attempt, 1));
  std::size_t others = 0;
  daemon.Observe([&](const Effects& effects) {
    for (const Effect& it : effects) {
      const auto* report = std::get_if<AskReport>(&it);
      if (report == nullptr) continue;
      CHECK(report->backend != engine);
      ++others;
    }
  });
  for (int i = 0; i < 10; ++i) {
    daemon.Confirm();
    daemon.Pass(milliseconds(400));
  }
  CHECK(others > 0);
}

}  // namespace
}  // namespace scaleshed::serving::test

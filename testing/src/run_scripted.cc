#include <set>

#include "scaleshed/testing/world.h"

namespace scaleshed::testing {
namespace {

constexpr Duration kLongestWait = seconds(600);

std::string YesNo(bool value) { return value ? "yes" : "no"; }

// Collects what was expected and not seen.
class Checker {
 public:
  Checker(std::string place, Failures& failures)
      : place_(std::move(place)), failures_(failures) {}

  template <typename T>
  void Equal(const std::string& what, const T& expected, const T& got) {
    if (expected != got) Fail(what, Text(expected), Text(got));
  }

  void Fail(const std::string& what, const std::string& expected,
            const std::string& got) {
    failures_.push_back(place_ + ": " + what + ": expected " + expected +
                        ", got " + got);
  }

 private:
  static std::string Text(bool value) { return YesNo(value); }
  static std::string Text(std::int64_t value) { return std::to_string(value); }
  static std::string Text(std::uint64_t value) { return std::to_string(value); }
  static std::string Text(Outcome value) {
    return std::string(NameIn(kOutcomeNames, value));
  }
  static std::string Text(Reason value) {
    return std::string(NameIn(kReasonNames, value));
  }

  std::string place_;
  Failures& failures_;
};

void CheckRequest(const World& world, const ExpectStep& step, Checker& check) {
  const auto it = world.callers().find(step.request);
  if (it == world.callers().end()) {
    check.Fail("request " + step.request, "to have been sent", "no such name");
    return;
  }
  const CallerView& caller = it->second;
  const std::string what = "request " + step.request;
  if (step.answered) {
    check.Equal(what + " answered", *step.answered, caller.final.has_value());
  }
  const bool needs_final =
      step.outcome || step.reason || step.retry_after || step.answered_within;
  if (!needs_final) return;
  if (!caller.final) {
    check.Fail(what, "a final answer", "none");
    return;
  }
  if (step.outcome) {
    check.Equal(what + " outcome", *step.outcome, caller.final->outcome);
  }
  if (step.reason) {
    check.Equal(what + " reason", *step.reason, caller.final->reason);
  }
  if (step.retry_after) {
    check.Equal(what + " retry_after", *step.retry_after,
                caller.final->retry_after > Duration::zero());
  }
  const Duration took = caller.answered_at - caller.sent_at;
  if (step.answered_within && took > *step.answered_within) {
    check.Fail(what + " answered within",
               std::to_string(step.answered_within->count() / 1000) + " ms",
               std::to_string(took.count() / 1000) + " ms");
  }
}

void CheckDaemon(const World& world, const ExpectStep& step, Checker& check) {
  if (step.stopped) check.Equal("stopped", *step.stopped, world.exited());
  const State* state = world.state();
  if (state == nullptr) return;
  if (step.revision) {
    check.Equal("revision", *step.revision, state->configuration.revision);
  }
  if (step.ready) check.Equal("ready", *step.ready, state->ready);
  if (!step.lookup_names.empty()) {
    std::set<std::string> named;
    constexpr std::uint64_t kDraws = 50;
    for (std::uint64_t it = 0; it < kDraws; ++it) {
      named.insert(LookUp(*state, "", it).address);
    }
    if (named != std::set<std::string>{step.lookup_names}) {
      std::string got;
      for (const std::string& it : named) got += it + " ";
      check.Fail("look-up", "only " + step.lookup_names, got);
    }
  }
}

void Check(World& world, const ExpectStep& step, Checker& check) {
  if (!step.request.empty()) CheckRequest(world, step, check);
  const auto runs = static_cast<std::int64_t>(world.RunsOf(step.runs_of));
  if (step.runs_at_most && runs > *step.runs_at_most) {
    check.Fail("runs of " + step.runs_of,
               "at most " + std::to_string(*step.runs_at_most),
               std::to_string(runs));
  }
  if (step.runs_at_least && runs < *step.runs_at_least) {
    check.Fail("runs of " + step.runs_of,
               "at least " + std::to_string(*step.runs_at_least),
               std::to_string(runs));
  }
  if (step.used_tokens) {
    check.Equal("used tokens of " + step.backend, *step.used_tokens,
                world.UsedTokens(step.backend));
  }
  if (step.new_work) {
    check.Equal("new work at " + step.backend, *step.new_work,
                world.HadNewWork(step.backend));
  }
  CheckDaemon(world, step, check);
  if (step.counter_at_least) {
    const auto counter = FindIn(kCounterNames, step.counter);
    const std::uint64_t got = counter ? world.Counted(*counter) : 0;
    if (got < *step.counter_at_least) {
      check.Fail("counter " + step.counter,
                 "at least " + std::to_string(*step.counter_at_least),
                 std::to_string(got));
    }
  }
}

void Wait(World& world, const WaitStep& step, Checker& check) {
  const auto done = [&] {
    const auto it = world.callers().find(step.request);
    if (it == world.callers().end()) return false;
    const CallerView& caller = it->second;
    return caller.final.has_value() ||
           (step.first_token && caller.first_token_at.has_value());
  };
  if (!world.RunUntil(done, kLongestWait)) {
    check.Fail("wait for " + step.request, "an answer", "none");
  }
}

}  // namespace

Failures RunScripted(const Scenario& scenario) {
  Failures failures;
  World world({.engines = scenario.engines,
               .services = scenario.services,
               .peers = scenario.peers,
               .list_lag = scenario.list_lag,
               .accounts = {}});
  for (const NumberedStep& it : scenario.steps) {
    Checker check(scenario.file + ":" + std::to_string(it.line), failures);
    std::visit(Overloaded{
                   [&](const SendStep& step) { world.Send(step); },
                   [&](const RunStep& step) { world.Run(step.duration); },
                   [&](const WaitStep& step) { Wait(world, step, check); },
                   [&](const ExpectStep& step) { Check(world, step, check); },
                   [&](const auto& step) { world.Apply(step); },
               },
               it.step);
  }
  world.Settle();
  for (const std::string& it : world.violations()) {
    failures.push_back(scenario.file + ": " + it);
  }
  return failures;
}

}  // namespace scaleshed::testing

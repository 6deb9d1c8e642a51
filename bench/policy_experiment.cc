// Measures the policies against each other: the same arrivals, the same engines
// in virtual time, one daemon's reducer. Prints a table and writes JSON. The
// same figures on every machine.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <fstream>
#include <future>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "scaleshed/testing/world.h"
#include "scaleshed/workload/profile.h"
#include "scaleshed/workload/results.h"

ABSL_FLAG(std::vector<std::string>, profiles, {}, "profile files");
ABSL_FLAG(std::string, out, "", "where the JSON goes");
ABSL_FLAG(int, duration_ms, 0, "overrides the profiles' duration");
ABSL_FLAG(std::vector<std::string>, cases, {}, "only these cases");

namespace scaleshed::testing {
namespace {

using Json = nlohmann::json;

// What is done to the fleet, beside the load.
enum class Case {
  kUsual,
  kWithoutLong,
  kFull,
  kOverload,
  kEnginesKilled,
  kReportsStopped,
  kGreedyAccount,
};
constexpr NameTable<Case, 7> kCaseNames{{
    {Case::kUsual, "usual"},
    {Case::kWithoutLong, "without_long"},
    {Case::kFull, "load_100"},
    {Case::kOverload, "load_150"},
    {Case::kEnginesKilled, "fifth_killed"},
    {Case::kReportsStopped, "reports_stopped"},
    {Case::kGreedyAccount, "greedy_account"},
}};

// Prompts from here on are the long ones that are left out of a comparison.
constexpr std::int64_t kLongFrom = 65'537;

struct RunOutcome {
  RunResults results;
  std::vector<std::string> violations;
};

LoadProfile ProfileFor(LoadProfile profile, Case which) {
  if (which == Case::kFull) profile.load = 1.0;
  if (which == Case::kOverload) profile.load = 1.5;
  return profile;
}

// One account sends ten times what it may; the others are within their limits.
void MakeGreedy(LoadProfile& profile, double rate) {
  const AccountLoad& greedy = profile.accounts.front();
  double shares = 0;
  for (const AccountLoad& it : profile.accounts) shares += it.share;
  const double own = rate * greedy.share / shares;
  profile.templates[greedy.account].limits.requests_per_second = own;
  profile.load *= (shares + 9 * greedy.share) / shares;
  profile.accounts.front().share *= 10;
}

WorldOptions OptionsFor(const LoadProfile& profile, PolicyKind policy) {
  WorldOptions options{.policy = policy,
                       .short_weight = profile.short_weight,
                       .seed = profile.seed,
                       .accounts = profile.templates};
  for (auto& [name, it] : options.accounts) it.models = {"llm"};
  for (int it = 0; it < profile.engines; ++it) {
    options.engines.push_back({.name = "engine-" + std::to_string(100 + it),
                               .memory_tokens = profile.engine_memory_tokens});
  }
  return options;
}

RunResults Collect(const World& world, const LoadProfile& profile) {
  RunResults results;
  for (const auto& [name, it] : world.callers()) {
    const Duration total = it.answered_at - it.sent_at;
    constexpr Duration kSlack = milliseconds(100);
    results.Add({.account = it.sent.account,
                 .priority = profile.templates.at(it.sent.account).priority,
                 .prompt_tokens = it.sent.prompt_tokens,
                 .outcome = it.final ? it.final->outcome : Outcome::kFailed,
                 .first_token = it.first_token_at
                                    ? *it.first_token_at - it.sent_at
                                    : Duration::zero(),
                 .total = total,
                 .tokens = it.tokens,
                 .late = !it.final || total > it.sent.time_limit + kSlack});
  }
  return results;
}

RunOutcome RunOne(LoadProfile profile, PolicyKind policy, Case which) {
  profile = ProfileFor(std::move(profile), which);
  const ModelTemplate model;
  if (which == Case::kGreedyAccount) {
    MakeGreedy(profile, ArrivalRate(profile, model));
  }
  World world(OptionsFor(profile, policy));
  const Time start = world.now();
  bool disturbed = false;
  int n = 0;
  for (const Arrival& it : DrawArrivals(profile, model)) {
    ++n;
    if (which == Case::kWithoutLong && it.prompt_tokens >= kLongFrom) continue;
    const Duration ahead = start + it.at - world.now();
    if (ahead > Duration::zero()) world.Run(ahead);
    if (!disturbed && it.at >= profile.duration / 2) {
      disturbed = true;
      for (int e = 0; which == Case::kEnginesKilled && e < profile.engines / 5;
           ++e) {
        world.Apply(
            FaultStep{.kind = FaultKind::kKill,
                      .target = "engine-" + std::to_string(100 + 5 * e)});
      }
      if (which == Case::kReportsStopped) world.StopReports(seconds(30));
    }
    world.Send({.name = std::to_string(n),
                .account = it.account,
                .prompt_tokens = it.prompt_tokens,
                .max_tokens = it.answer_tokens,
                .time_limit = it.time_limit,
                .prefix = it.prefix});
  }
  // Everything that was admitted has to end.
  world.Run(seconds(400));
  return {.results = Collect(world, profile), .violations = world.violations()};
}

struct Job {
  std::string profile;
  PolicyKind policy = PolicyKind::kLengthAware;
  Case which = Case::kUsual;
  std::future<RunOutcome> future;
};

void PrintRow(const Job& job, const RunResults& results) {
  std::cout << std::left << std::setw(13) << job.profile << std::setw(14)
            << NameIn(kPolicyKindNames, job.policy) << std::setw(16)
            << NameIn(kCaseNames, job.which) << std::right << std::fixed
            << std::setprecision(0);
  for (const auto& [bucket, name] : kLengthBucketNames) {
    std::cout << std::setw(8) << results.FirstToken(bucket).Millis(0.95);
  }
  std::cout << std::setw(8) << results.Count(Outcome::kDone) << std::setw(7)
            << results.Count(Outcome::kFailed) << std::setw(8)
            << results.Count(Outcome::kNotRun) << std::setw(6) << results.late()
            << "  " << results.tokens() << "\n";
}

bool IsWanted(Case which) {
  const auto cases = absl::GetFlag(FLAGS_cases);
  const std::string name(NameIn(kCaseNames, which));
  return cases.empty() ||
         std::find(cases.begin(), cases.end(), name) != cases.end();
}

int Main() {
  std::vector<Job> jobs;
  for (const std::string& file : absl::GetFlag(FLAGS_profiles)) {
    auto loaded = LoadProfileFile(file);
    if (ValueOf(loaded) == nullptr) {
      std::cerr << ToString(ErrorOf(loaded));
      return 2;
    }
    LoadProfile profile = *ValueOf(loaded);
    const int millis = absl::GetFlag(FLAGS_duration_ms);
    if (millis > 0) profile.duration = milliseconds(millis);
    for (const auto& [policy, policy_name] : kPolicyKindNames) {
      for (const auto& [which, name] : kCaseNames) {
        if (!IsWanted(which)) continue;
        jobs.push_back({.profile = profile.name,
                        .policy = policy,
                        .which = which,
                        .future = std::async(std::launch::deferred, RunOne,
                                             profile, policy, which)});
      }
    }
  }
  // A few at a time; each is independent of the others.
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  const unsigned n = std::max(1U, std::thread::hardware_concurrency());
  for (unsigned it = 0; it < n; ++it) {
    threads.emplace_back([&] {
      for (std::size_t job = next++; job < jobs.size(); job = next++) {
        jobs[job].future.wait();
      }
    });
  }
  for (std::thread& it : threads) it.join();

  Json json;
  int violations = 0;
  std::map<std::pair<std::string, PolicyKind>, std::array<double, 2>> shorts;
  std::cout
      << "first token p95 in ms by prompt length\n"
      << "profile      policy        case              1k-4k  4k-16k "
         "16k-64k64k-256kover-256k    done failed not_run  late  tokens\n";
  for (Job& job : jobs) {
    const RunOutcome outcome = job.future.get();
    PrintRow(job, outcome.results);
    for (const std::string& it : outcome.violations) {
      std::cout << "  violation: " << it << "\n";
      ++violations;
    }
    const std::string policy(NameIn(kPolicyKindNames, job.policy));
    const std::string which(NameIn(kCaseNames, job.which));
    json[job.profile][policy][which] =
        Json::parse(ResultsJson(outcome.results));
    const double p95 =
        outcome.results.FirstToken(LengthBucket::kTo4k).Millis(0.95);
    if (job.which == Case::kUsual) shorts[{job.profile, job.policy}][0] = p95;
    if (job.which == Case::kWithoutLong) {
      shorts[{job.profile, job.policy}][1] = p95;
    }
  }
  std::cout << std::setprecision(3);
  for (const auto& [key, times] : shorts) {
    if (times[1] <= 0) continue;
    const std::string policy(NameIn(kPolicyKindNames, key.second));
    json[key.first][policy]["short_slowdown_p95"] = times[0] / times[1];
    std::cout << "short_slowdown_p95 " << key.first << " " << policy << " "
              << times[0] / times[1] << "\n";
  }
  const std::string out = absl::GetFlag(FLAGS_out);
  if (!out.empty()) std::ofstream(out) << json.dump(1) << "\n";
  return violations == 0 ? 0 : 1;
}

}  // namespace
}  // namespace scaleshed::testing

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return scaleshed::testing::Main();
}

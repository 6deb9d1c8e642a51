// load: puts a profile's load on real daemons and measures what callers see.

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "internal/commands.h"
#include "scaleshed/cli/sync.h"
#include "scaleshed/wire/caller_json.h"
#include "scaleshed/wire/completion_reader.h"
#include "scaleshed/workload/profile.h"
#include "scaleshed/workload/results.h"

ABSL_FLAG(std::string, profile, "", "load: the profile file");
ABSL_FLAG(double, time_scale, 1,
          "load: how many times faster than the profile; for engines that are "
          "as much faster");
ABSL_FLAG(int, duration_ms, 0, "load: overrides the profile's duration");
ABSL_FLAG(double, load, 0, "load: overrides the profile's load");
ABSL_FLAG(std::string, out, "", "load: where the JSON goes");
ABSL_DECLARE_FLAG(std::string, daemon);

namespace scaleshed::internal {
namespace {

Duration Scaled(Duration duration) {
  const double scale = absl::GetFlag(FLAGS_time_scale);
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(duration.count()) / scale));
}

// Sends all arrivals at their times and collects what comes of them. Callers
// look up an address, keep it as long as they may, and connect there.
class LoadRunner {
 public:
  LoadRunner(EventLoop& loop, LoadProfile profile)
      : loop_(loop),
        http_(loop),
        profile_(std::move(profile)),
        arrivals_(DrawArrivals(profile_, ModelTemplate())),
        next_(loop, [this] { SendDue(); }) {}

  const RunResults& Run() {
    started_ = loop_.Now();
    LookUpAddress();
    if (!arrivals_.empty()) loop_.Run();
    return results_;
  }

  std::uint64_t broken() const { return broken_; }

 private:
  struct Call {
    Arrival arrival;
    Time sent{};
    Time first_token{};
    CompletionReader reader;
  };

  void LookUpAddress() {
    HttpCall call{.address = absl::GetFlag(FLAGS_daemon),
                  .path = "/v1/lookup",
                  .timeout = seconds(2),
                  .on_chunk = {},
                  .on_done = {}};
    call.on_done = [this](const HttpResult& result) {
      const HttpResponse* response = ValueOf(result);
      if (response != nullptr) {
        auto answer = ParseLookUp(response->body);
        if (auto* it = ValueOf(answer)) address_ = std::move(*it);
      }
      kept_until_ = loop_.Now() + address_.keep;
      looking_up_ = false;
      SendDue();
    };
    looking_up_ = true;
    http_.Start(std::move(call));
  }

  void SendDue() {
    while (sent_ < arrivals_.size()) {
      const Time at = started_ + Scaled(arrivals_[sent_].at);
      if (at > loop_.Now()) {
        next_.Once(at - loop_.Now());
        return;
      }
      if (loop_.Now() >= kept_until_ && !looking_up_) LookUpAddress();
      if (address_.address.empty()) return;
      Send(arrivals_[sent_++]);
    }
  }

  HttpCall MakePrompt(const Arrival& arrival) const {
    const auto n =
        static_cast<std::size_t>(arrival.prompt_tokens * kBytesPerToken);
    std::string prompt;
    if (arrival.prefix != 0) {
      const std::string shared =
          "shared" + std::to_string(arrival.prefix) + " ";
      while (prompt.size() < n / 2) prompt += shared;
    }
    const std::string own = "prompt" + std::to_string(sent_) + " ";
    while (prompt.size() < n) prompt += own;
    prompt.resize(n);
    const nlohmann::json body = {{"model", profile_.model},
                                 {"prompt", prompt},
                                 {"max_tokens", arrival.answer_tokens},
                                 {"stream", true}};
    return {.method = "POST", .path = "/v1/completions", .body = body.dump()};
  }

  HttpCall MakePlain() const {
    return {.method = "POST",
            .path = "/services/" + profile_.service + "/load",
            .headers = {{"Idempotency-Key",
                         address_.id_prefix + std::to_string(sent_)}},
            .body = "{}"};
  }

  void Send(const Arrival& arrival) {
    const auto call = std::make_shared<Call>();
    call->arrival = arrival;
    call->sent = loop_.Now();
    HttpCall http = arrival.is_plain ? MakePlain() : MakePrompt(arrival);
    const Duration limit = Scaled(arrival.time_limit);
    http.address = address_.address;
    http.headers["X-Client-Account"] = arrival.account;
    http.headers["X-Time-Limit-Ms"] =
        std::to_string(std::max<std::int64_t>(limit.count() / 1000, 1));
    http.timeout = limit + seconds(5);
    if (!arrival.is_plain) {
      http.on_chunk = [this, call](const std::string& bytes) {
        call->reader.Feed(bytes);
        const bool first =
            call->first_token == Time{} && call->reader.tokens() > 0;
        if (first) call->first_token = loop_.Now();
      };
    }
    http.on_done = [this, call](const HttpResult& result) {
      Finish(*call, result);
    };
    ++open_;
    http_.Start(std::move(http));
  }

  Outcome OutcomeOf(const Call& call, const HttpResult& result) const {
    if (call.reader.final()) return call.reader.final()->outcome;
    const HttpResponse* response = ValueOf(result);
    if (response == nullptr) {
      return IsUnsent(ErrorOf(result)) ? Outcome::kNotRun : Outcome::kUnknown;
    }
    const auto header = response->headers.find("x-outcome");
    if (header == response->headers.end()) return Outcome::kUnknown;
    return FindIn(kOutcomeNames, header->second).value_or(Outcome::kUnknown);
  }

  void Finish(const Call& call, const HttpResult& result) {
    const Outcome outcome = OutcomeOf(call, result);
    const bool is_prompt = !call.arrival.is_plain;
    if (is_prompt && outcome == Outcome::kDone && !call.reader.IsWhole()) {
      ++broken_;
    }
    const Duration total = loop_.Now() - call.sent;
    // Callers and daemons start their clocks at different ends of a connection.
    constexpr Duration kSlack = milliseconds(200);
    const bool streamed = call.first_token != Time{};
    results_.Add(
        {.account = call.arrival.account,
         .priority = profile_.templates.at(call.arrival.account).priority,
         .prompt_tokens = call.arrival.prompt_tokens,
         .outcome = outcome,
         .first_token = streamed ? call.first_token - call.sent : Duration(),
         .total = total,
         .tokens = call.reader.tokens(),
         .late = total > Scaled(call.arrival.time_limit) + kSlack});
    --open_;
    if (open_ == 0 && sent_ == arrivals_.size()) loop_.Stop();
  }

  EventLoop& loop_;
  HttpClient http_;
  LoadProfile profile_;
  std::vector<Arrival> arrivals_;
  Timer next_;
  Time started_{};
  LookUpAnswer address_;
  Time kept_until_{};
  bool looking_up_ = false;
  std::size_t sent_ = 0;
  std::size_t open_ = 0;
  std::uint64_t broken_ = 0;
  RunResults results_;
};

}  // namespace

ExitCode RunLoad(const Arguments& /*arguments*/) {
  auto loaded = LoadProfileFile(absl::GetFlag(FLAGS_profile));
  LoadProfile* profile = ValueOf(loaded);
  if (profile == nullptr) {
    std::cerr << ToString(ErrorOf(loaded));
    return ExitCode::kInvalid;
  }
  const bool usable = !absl::GetFlag(FLAGS_daemon).empty() &&
                      absl::GetFlag(FLAGS_time_scale) > 0;
  if (!usable) {
    std::cerr << "scaleshed: load needs --daemon=IP:PORT, and --time_scale "
                 "over 0\n";
    return ExitCode::kInvalid;
  }
  const int millis = absl::GetFlag(FLAGS_duration_ms);
  if (millis > 0) profile->duration = milliseconds(millis);
  const double load = absl::GetFlag(FLAGS_load);
  if (load > 0) profile->load = load;
  EventLoop loop;
  LoadRunner runner(loop, *profile);
  const RunResults& results = runner.Run();
  const std::string json = ResultsJson(results);
  const std::string out = absl::GetFlag(FLAGS_out);
  if (!out.empty()) std::ofstream(out) << json << "\n";
  std::cout << (WantsJson() ? json + "\n" : ResultsTable(results));
  if (runner.broken() > 0) {
    std::cerr << "scaleshed: " << runner.broken() << " answers are not whole\n";
  }
  const bool right = runner.broken() == 0 && results.late() == 0;
  return right ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace scaleshed::internal

#include "scaleshed/testing/world.h"

#include <algorithm>

#include "scaleshed/wire/caller_json.h"

namespace scaleshed::testing {
namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kListInterval = milliseconds(500);
// Callers are answered within this of their time limit: ticks and latency.
constexpr Duration kAnswerSlack = milliseconds(100);
// Every hold, lingering stream and cancel is over by then.
constexpr Duration kQuiet = seconds(20);
constexpr std::int64_t kStartMinute = 1'000'000;
constexpr std::string_view kSelf = "self";
constexpr std::string_view kModel = "llm";

AccountTemplate GenerousAccount(const std::string& name,
                                const std::vector<std::string>& services) {
  return {.name = name,
          .priority = Priority::kStandard,
          .models = {std::string(kModel)},
          .services = {services.begin(), services.end()},
          .limits = {.requests_per_second = 1e6,
                     .tokens_per_second = 1e9,
                     .tokens_in_flight = 1'000'000'000'000}};
}

// The first half of a prompt with a shared prefix is the shared part. The last
// hash is always the prompt's own.
std::vector<std::uint64_t> PrefixesFor(const SendStep& step) {
  const std::string shared = "shared " + std::to_string(step.prefix);
  std::vector<std::uint64_t> prefixes{HashBytes(step.name)};
  for (std::size_t it = 1; PrefixTokens(it) <= step.prompt_tokens; ++it) {
    prefixes.push_back(HashBytes(step.name, it));
  }
  if (step.prefix == 0) return prefixes;
  for (std::size_t it = 0; it + 1 < prefixes.size(); ++it) {
    const bool is_shared = PrefixTokens(it) <= step.prompt_tokens / 2;
    if (is_shared) prefixes[it] = HashBytes(shared, it);
  }
  return prefixes;
}

}  // namespace

World::World(WorldOptions options) : options_(std::move(options)) {
  for (const EngineSpec& it : options_.engines) {
    Engine engine{.spec = it};
    engine.model = std::make_unique<EngineModel>(
        EngineModelOptions{.name = it.name, .memory_tokens = it.memory_tokens});
    engines_.emplace(it.name, std::move(engine));
  }
  for (const std::string& it : options_.services) services_[it];
  for (const std::string& it : options_.peers) {
    peers_[it].incarnation = {.instance = it, .number = 1};
  }
  accepted_.revision = 1;
  accepted_.fleet.models[std::string(kModel)] = {.name = std::string(kModel)};
  for (const std::string& it : options_.services) {
    accepted_.fleet.services[it] = {.name = it};
  }
  accepted_.fleet.policy = options_.policy;
  accepted_.fleet.short_weight = options_.short_weight;
  accepted_.accounts = options_.accounts;
  if (accepted_.accounts.empty()) {
    accepted_.accounts["acme"] = GenerousAccount("acme", options_.services);
  }
  StartDaemon();
  Run(milliseconds(50));
}

void World::StartDaemon() {
  ReducerOptions reducer{
      .self = {.incarnation = {.instance = std::string(kSelf),
                               .number = ++incarnation_},
               .address = std::string(kSelf),
               .peer_address = std::string(kSelf),
               .data_centre = "here",
               .version = 1},
      .seed = options_.seed,
      .started = now_,
      .started_minute =
          kStartMinute + std::chrono::duration_cast<std::chrono::minutes>(
                             now_.time_since_epoch())
                             .count(),
      .look_up_keep = seconds(2),
      .membership = {}};
  daemon_ = std::make_unique<State>(reducer);
  exited_ = false;
  paused_ = false;
  highest_revision_ = 0;
  next_list_ = now_;
  next_report_ = now_;
  if (platform_ == PlatformMode::kUp) {
    After(options_.latency,
          [this] { Feed(ConfigurationLoaded{.configuration = accepted_}); });
  }
}

void World::After(Duration delay, std::function<void()> work) {
  queue_.push(Scheduled{
      .at = now_ + delay, .order = ++last_order_, .work = std::move(work)});
}

void World::Feed(EventBody body) {
  if (daemon_ == nullptr || exited_) return;
  if (paused_) {
    held_events_.push_back(std::move(body));
    return;
  }
  const Effects effects =
      Reduce(*daemon_, Event{.now = now_, .body = std::move(body)});
  for (const Effect& it : effects) Carry(it);
  CheckInvariants();
}

void World::Carry(const Effect& effect) {
  std::visit(
      Overloaded{
          [&](const ReplyChunk& it) { OnReply(it); },
          [&](const ReplyFinal& it) { OnFinal(it); },
          [](const ReleaseCall&) {},
          [&](const StartStream& it) { OnStartStream(it); },
          [&](const ResumeStream& it) { OnResume(it); },
          [&](const PlaceHold& it) { OnHold(it); },
          [&](const CancelAttempt& it) { OnCancel(it); },
          [&](const SendService& it) { OnService(it); },
          [&](const SendPeer& it) { OnPeerMessage(it); },
          [&](const FetchConfiguration&) {
            After(options_.latency, [this] {
              Feed(ConfigurationLoaded{.configuration = accepted_});
            });
          },
          [&](const WriteFinishedIds& it) {
            const bool ok = platform_ != PlatformMode::kDown;
            if (ok) left_ids_[it.home] = it.ids;
            const bool heard = platform_ == PlatformMode::kUp;
            After(options_.latency,
                  [this, heard] { Feed(FinishedIdsWritten{.ok = heard}); });
          },
          [&](const ReadFinishedIds& it) {
            FinishedIdsRead read{.home = it.home,
                                 .readable = platform_ == PlatformMode::kUp};
            const auto left = left_ids_.find(it.home);
            if (read.readable && left != left_ids_.end())
              read.ids = left->second;
            After(options_.latency, [this, read] { Feed(read); });
          },
          [](const LogChange&) {},
          [&](const Count& it) { ++counters_[it.counter]; },
          [](const ObserveFirstToken&) {},
          [](const CloseListener&) {},
          [&](const Exit&) { exited_ = true; },
      },
      effect);
}

// ---- Time.

Time World::NextTime() const {
  Time next = std::min({next_tick_, next_report_, next_list_});
  if (!queue_.empty()) next = std::min(next, queue_.top().at);
  for (const auto& [name, it] : engines_) {
    if (!it.alive || it.frozen) continue;
    if (const auto event = it.model->NextEvent()) next = std::min(next, *event);
  }
  return std::max(next, now_);
}

void World::StepTo(Time until) {
  const Time next = std::min(NextTime(), until);
  now_ = next;
  for (auto& [name, it] : engines_) {
    if (it.alive && !it.frozen) Deliver(name, it.model->Advance(now_));
  }
  while (!queue_.empty() && queue_.top().at <= now_) {
    const auto work = queue_.top().work;
    queue_.pop();
    work();
  }
  if (now_ >= next_tick_) Tick();
  if (now_ >= next_report_) PollReports();
  if (now_ >= next_list_) ListInstances();
}

void World::Run(Duration duration) {
  const Time until = now_ + duration;
  while (now_ < until) StepTo(until);
}

bool World::RunUntil(const std::function<bool()>& done, Duration most) {
  const Time until = now_ + most;
  while (now_ < until && !done()) StepTo(until);
  return done();
}

void World::Tick() {
  next_tick_ = now_ + kTickInterval;
  Feed(scaleshed::Tick());
  if (daemon_ == nullptr || paused_ || exited_) return;
  // The reducer's own account of deadlines: nothing may outlive its limit.
  if (!daemon_->deadlines.empty() &&
      daemon_->deadlines.begin()->first + kAnswerSlack < now_) {
    Violate("request " + std::to_string(daemon_->deadlines.begin()->second) +
            " outlived its time limit");
  }
}

void World::PollReports() {
  next_report_ = now_ + options_.report_interval;
  if (now_ < reports_stopped_until_) return;
  for (auto& [name, it] : engines_) {
    if (!it.alive || it.frozen) continue;
    const Report report = it.model->MakeReport(now_);
    After(options_.latency, [this, name = name, report] {
      Feed(ReportArrived{.backend = name, .report = report});
    });
  }
  for (auto& [name, it] : services_) {
    if (!it.alive || it.frozen) continue;
    const Report report{.incarnation = it.incarnation, .leaving = it.leaving};
    After(options_.latency, [this, name = name, report] {
      Feed(ReportArrived{.backend = name, .report = report});
    });
  }
}

std::vector<Instance> World::Listed() const {
  std::vector<Instance> list{{.name = std::string(kSelf),
                              .address = std::string(kSelf),
                              .peer_address = std::string(kSelf)}};
  for (const auto& [name, it] : peers_) {
    list.push_back({.name = name, .address = name, .peer_address = name});
  }
  for (const auto& [name, it] : engines_) {
    list.push_back({.name = name,
                    .kind = InstanceKind::kEngine,
                    .data_centre = "here",
                    .address = name,
                    .service = std::string(kModel),
                    .memory_tokens = it.spec.memory_tokens});
  }
  for (const auto& [name, it] : services_) {
    list.push_back({.name = name,
                    .kind = InstanceKind::kService,
                    .data_centre = "here",
                    .address = name,
                    .service = options_.services.front()});
  }
  std::erase_if(
      list, [&](const Instance& it) { return unlisted_.contains(it.name); });
  return list;
}

void World::ListInstances() {
  next_list_ = now_ + kListInterval;
  if (platform_ != PlatformMode::kUp) return;
  // The list as it is now arrives later; the first one at once.
  const bool first = daemon_ == nullptr || !daemon_->listed;
  After(first ? options_.latency : options_.list_lag,
        [this, list = Listed()] { Feed(InstancesListed{.instances = list}); });
}

// ---- Callers.

std::string World::ResolveId(const std::string& id) const {
  const std::size_t slash = id.find('/');
  if (slash == std::string::npos) return id;
  const std::string home = id.substr(0, slash);
  Incarnation incarnation{.instance = std::string(kSelf),
                          .number = incarnation_};
  if (home == "old") incarnation.number = incarnation_ - 1;
  const auto peer = peers_.find(home);
  if (peer != peers_.end()) incarnation = {.instance = home, .number = 1};
  return IdPrefix(incarnation, kStartMinute) + id.substr(slash + 1);
}

void World::Send(const SendStep& step) {
  CallerView view{.sent = step,
                  .key = ++last_key_,
                  .id = step.id.empty() ? "" : ResolveId(step.id),
                  .sent_at = now_,
                  .prefixes = PrefixesFor(step)};
  CallSpec spec{.account = step.account,
                .id = view.id,
                .time_limit = step.time_limit,
                .call = {}};
  if (step.service.empty()) {
    spec.call = ModelCall{.model = std::string(kModel),
                          .prompt_tokens = step.prompt_tokens,
                          .max_tokens = step.max_tokens,
                          .prefixes = view.prefixes};
  } else {
    spec.call = ServiceCall{.service = step.service};
  }
  const RequestKey key = view.key;
  caller_of_[key] = step.name;
  callers_[step.name] = std::move(view);
  // A dead daemon refuses the connection, and the caller knows that.
  if (daemon_ == nullptr || exited_) {
    callers_[step.name].final =
        Final{.outcome = Outcome::kNotRun, .reason = Reason::kStopping};
    callers_[step.name].answered_at = now_;
    return;
  }
  Feed(Submit{.key = key, .spec = std::move(spec)});
}

void World::Apply(const HangUpStep& step) {
  CallerView& caller = callers_.at(step.request);
  caller.hung_up = true;
  Feed(CallerGone{.key = caller.key});
}

CallerView* World::FindCaller(RequestKey key) {
  const auto name = caller_of_.find(key);
  return name == caller_of_.end() ? nullptr : &callers_.at(name->second);
}

std::string World::ExpectedToken(const CallerView& caller,
                                 std::int64_t index) const {
  return EngineModel::AnswerToken("", caller.prefixes, index);
}

void World::OnReply(const ReplyChunk& chunk) {
  CallerView* caller = FindCaller(chunk.key);
  if (caller == nullptr) return;
  if (caller->final) Violate(caller->sent.name + " got a token after its end");
  if (chunk.offset != caller->tokens) {
    Violate(caller->sent.name + " expected token " +
            std::to_string(caller->tokens) + ", got " +
            std::to_string(chunk.offset));
  }
  const std::string expected = ExpectedToken(*caller, chunk.offset);
  if (chunk.text != expected) {
    Violate(caller->sent.name + " expected the token '" + expected +
            "', got '" + chunk.text + "'");
  }
  if (caller->tokens == 0) caller->first_token_at = now_;
  ++caller->tokens;
}

void World::OnFinal(const ReplyFinal& reply) {
  CallerView* caller = FindCaller(reply.key);
  if (caller == nullptr) return;
  const std::string& name = caller->sent.name;
  if (caller->final) Violate(name + " got two final answers");
  caller->final = reply.final;
  caller->answered_at = now_;
  const bool is_prompt =
      caller->sent.service.empty() && caller->sent.id.empty();
  const bool done = reply.final.outcome == Outcome::kDone;
  if (is_prompt && done && caller->tokens != caller->sent.max_tokens) {
    Violate(name + " is done with " + std::to_string(caller->tokens) + " of " +
            std::to_string(caller->sent.max_tokens) + " tokens");
  }
  if (reply.final.outcome != Outcome::kNotRun) return;
  refused_.insert(reply.key);
  if (!caller->id.empty()) refused_ids_.insert(caller->id);
  if (runs_[reply.key] > 0) Violate(name + " was told 'not run', but it ran");
}

// ---- Invariants.

void World::Violate(const std::string& what) {
  violations_.push_back("at " +
                        std::to_string(now_.time_since_epoch().count() / 1000) +
                        " ms: " + what);
}

void World::CheckInvariants() {
  if (daemon_ == nullptr) return;
  const std::uint64_t revision = daemon_->configuration.revision;
  if (revision < highest_revision_) {
    Violate("the revision fell from " + std::to_string(highest_revision_) +
            " to " + std::to_string(revision));
  }
  highest_revision_ = std::max(highest_revision_, revision);
}

void World::Settle() {
  platform_ = PlatformMode::kUp;
  if (paused_) Apply(FaultStep{.kind = FaultKind::kThaw, .target = "daemon"});
  for (auto& [name, it] : engines_) {
    it.frozen = false;
    it.link = {};
  }
  for (auto& [name, it] : services_) {
    it.link = {};
    if (it.frozen) Apply(FaultStep{.kind = FaultKind::kThaw, .target = name});
  }
  Duration longest{};
  for (const auto& [name, it] : callers_) {
    longest = std::max(longest, it.sent.time_limit - (now_ - it.sent_at));
  }
  Run(std::max(longest, Duration::zero()) + kQuiet);
  for (const auto& [name, it] : callers_) {
    // A caller of a daemon that was killed has no answer; it knows that.
    if (!it.final && !it.hung_up && daemon_ != nullptr &&
        daemon_->requests.contains(it.key)) {
      Violate(name + " has no final answer");
    }
  }
  for (const auto& [name, it] : engines_) {
    if (!it.alive) continue;
    const std::int64_t used = it.model->UsedTokens();
    if (used != 0) {
      Violate(name + " still uses " + std::to_string(used) + " tokens");
    }
  }
}

std::uint64_t World::Counted(Counter counter) const {
  const auto it = counters_.find(counter);
  return it == counters_.end() ? 0 : it->second;
}

int World::RunsOf(const std::string& id_or_request) const {
  const auto caller = callers_.find(id_or_request);
  if (caller != callers_.end()) {
    const auto runs = runs_.find(caller->second.key);
    return runs == runs_.end() ? 0 : runs->second;
  }
  const auto runs = id_runs_.find(ResolveId(id_or_request));
  return runs == id_runs_.end() ? 0 : runs->second;
}

std::int64_t World::UsedTokens(const std::string& target) {
  const std::string engine = Resolve(target);
  std::int64_t used = 0;
  for (const auto& [name, it] : engines_) {
    const bool wanted = engine == "all" || engine == name;
    if (wanted && it.alive) used += it.model->UsedTokens();
  }
  return used;
}

bool World::HadNewWork(const std::string& backend) {
  return new_work_.contains(Resolve(backend));
}

}  // namespace scaleshed::testing

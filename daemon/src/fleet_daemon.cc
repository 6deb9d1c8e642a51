#include "scaleshed/daemon/fleet_daemon.h"

#include <algorithm>
#include <utility>

#include "internal/backend_calls.h"
#include "internal/client_limits.h"
#include "internal/fleet_metrics.h"
#include "internal/store_follower.h"
#include "scaleshed/platform/messages.h"
#include "scaleshed/runtime/log.h"
#include "scaleshed/wire/datagram_codec.h"

namespace scaleshed {
namespace {

// From the last request's end to the process's end, at least: other requests
// may be on their way on open connections, and are refused.
constexpr Duration kExitDelay = milliseconds(150);
// Longer, up to this share of the grace, while clients still take their
// answers.
constexpr double kExitShareOfGrace = 0.98;
constexpr Duration kExitPoll = milliseconds(20);
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Bodies of requests that have no use for one.
constexpr std::int64_t kMaxUnusedBodyBytes = 1024;
// Retry-After of a relayed request that this daemon's listener refuses.
constexpr Duration kRelayRetryAfter = seconds(1);

// What a daemon that relays a request is told by a refusal of the listener: the
// request didn't run.
HttpHeaders RelayRefusalHeaders() {
  const RelayOutcome outcome{.refusal = serving::Refusal::kOverload,
                             .retry_after = kRelayRetryAfter};
  return {{kRelayOutcomeHeader, RelayOutcomeText(outcome)},
          {kRelayRetryHeader, RelayRetryText(outcome)}};
}

ClientLimits LimitsOf(const Settings& settings) {
  return ClientLimitsOf(settings, HttpServerOptions{}.max_body_bytes);
}

serving::ServingOptions OptionsOf(const Settings& settings) {
  const FleetSettings& fleet = *settings.fleet;
  const auto life = static_cast<std::uint64_t>(UnixMicros());
  return {.instance = settings.listen,
          .peer_address = settings.peer_listen,
          .data_centre = settings.data_centre,
          .region = fleet.region,
          .regions = fleet.regions,
          .incarnation = life,
          .seed = HashBytes(settings.instance, life),
          .capacity = fleet.capacity,
          .key_freshness = fleet.keys_fail_closed ? fleet.key_freshness
                                                  : Duration::max() / 4,
          .propagation_limit = fleet.news_within,
          .bounds_evacuations = fleet.bounds_evacuations,
          .warm_up_overage = fleet.warm_up_overage,
          .warm_up_slack = fleet.warm_up_slack,
          .shutdown_grace = fleet.grace,
          .retry_budget = {.ratio = fleet.repeat_ratio,
                           .slack = fleet.repeat_slack,
                           .window = fleet.repeat_window}};
}

}  // namespace

FleetDaemon::FleetDaemon(EventLoop& loop, const Settings& settings)
    : loop_(loop),
      settings_(settings),
      state_(OptionsOf(settings)),
      backends_(std::make_unique<BackendCalls>(
          loop, settings.peer_listen,
          [this](auto body) { Feed(std::move(body)); })),
      store_(std::make_unique<StoreFollower>(
          loop,
          StoreFollowerOptions{.store = settings.platform,
                               .peer_address = settings.peer_listen,
                               .data_centre = settings.data_centre,
                               .seed = state_.options.seed},
          [this](auto body) { Feed(std::move(body)); })),
      peers_(loop, settings.peer_listen,
             [this](const std::string& bytes) {
               auto body = DecodeDatagram(bytes, loop_.Now());
               if (body) Feed(std::move(*body));
             }),
      metrics_(std::make_unique<FleetMetrics>()),
      budget_(std::make_shared<ConnectionBudget>(
          ConnectionBudgetOptions{.max_bytes = LimitsOf(settings).max_bytes})),
      peer_calls_(loop,
                  {.address = settings.peer_listen,
                   .max_connections = LimitsOf(settings).max_peers,
                   .budget = budget_,
                   .refusal_headers = RelayRefusalHeaders()},
                  [this](const auto& exchange) { OnPeerCall(exchange); }),
      front_(loop,
             {.address = settings.listen,
              .max_connections = LimitsOf(settings).max_callers,
              .budget = budget_},
             [this](const auto& exchange) { OnRequest(exchange); }),
      ready_(loop,
             {.address = settings.fleet->ready_listen,
              .max_body_bytes = kMaxUnusedBodyBytes,
              .max_connections = LimitsOf(settings).max_checks,
              .budget = budget_},
             [this](const auto& exchange) { OnReadyCheck(*exchange); }),
      look_ups_(loop,
                {.address = settings.fleet->look_up_listen,
                 .max_body_bytes = kMaxUnusedBodyBytes,
                 .max_connections = LimitsOf(settings).max_look_ups,
                 .budget = budget_},
                [this](const auto& exchange) { OnLookUp(*exchange); }),
      tick_(loop, [this] { OnTick(); }),
      exit_(loop, [this] { ExitIfSent(); }) {
  for (HttpServer* it : {&front_, &peer_calls_})
    it->OnCut([this](const CutConnection& cut) { OnCut(cut); });
  front_.OnLargeRequest([this](const HttpRequest& head) {
    return serving::MayBeServed(state_, platform::ReadRequest(head));
  });
  if (!settings.fleet->metrics_listen.empty()) {
    metrics_server_ = std::make_unique<HttpServer>(
        loop,
        HttpServerOptions{.address = settings.fleet->metrics_listen,
                          .max_body_bytes = kMaxUnusedBodyBytes,
                          .max_connections = LimitsOf(settings).max_checks,
                          .budget = budget_},
        [this](const auto& exchange) { OnMetrics(*exchange); });
  }
  LogInfo("started", {{"listen", settings.listen},
                      {"ready_listen", settings.fleet->ready_listen},
                      {"look_up_listen", settings.fleet->look_up_listen},
                      {"metrics_listen", settings.fleet->metrics_listen},
                      {"peer_listen", settings.peer_listen},
                      {"platform", settings.platform},
                      {"life", std::to_string(state_.options.incarnation)}});
  store_->Start();
  Feed(serving::Tick{});
}

FleetDaemon::~FleetDaemon() = default;

void FleetDaemon::Stop() {
  if (state_.stop_at) return;
  store_->Leave();
  Feed(serving::StopRequested{});
}

std::size_t FleetDaemon::open_attempts() const { return backends_->open(); }

void FleetDaemon::Feed(serving::EventBody body) {
  pending_.push_back(std::move(body));
  if (!draining_) Drain();
}

void FleetDaemon::Drain() {
  draining_ = true;
  while (!pending_.empty()) {
    const serving::Event event{.now = loop_.Now(),
                               .body = std::move(pending_.front())};
    pending_.pop_front();
    for (const auto& it : serving::Reduce(state_, event)) Carry(it);
  }
  draining_ = false;
  tick_due_ = NextWake(state_);
  tick_.Once(tick_due_ - loop_.Now());
}

void FleetDaemon::OnTick() {
  metrics_->ObserveLate(std::max(loop_.Now() - tick_due_, Duration::zero()));
  Feed(serving::Tick{});
}

void FleetDaemon::Carry(const serving::Effect& effect) {
  std::visit(
      Overloaded{
          [&](const serving::StartAttempt& it) {
            const auto found = exchanges_.find(it.key);
            if (found == exchanges_.end()) return;
            backends_->Start(it, found->second.request());
          },
          [&](const serving::StartRelay& it) {
            const auto found = exchanges_.find(it.key);
            if (found == exchanges_.end()) return;
            backends_->Relay(it, found->second.request());
          },
          [&](const serving::CancelAttempt& it) {
            backends_->Cancel(it.attempt);
          },
          [&](const serving::DeliverAnswer& it) { Deliver(it); },
          [&](const serving::BeginStream& it) { Begin(it); },
          [&](const serving::ForwardEvent& it) {
            const auto found = exchanges_.find(it.key);
            if (found != exchanges_.end())
              found->second.exchange->SendChunk(it.bytes);
          },
          [&](const serving::EndStream& it) {
            if (const auto served = Take(it.key)) served->exchange->EndStream();
          },
          [&](const serving::AbortResponse& it) {
            if (const auto served = Take(it.key)) served->exchange->Abort();
          },
          [&](const serving::Refuse& it) { Answer(it); },
          [&](const serving::ReserveMemory& it) { backends_->Reserve(it); },
          [&](const serving::ReleaseMemory& it) { backends_->Release(it); },
          [&](const serving::FetchEngineReport& it) {
            backends_->AskReport(it);
          },
          [&](const serving::ProbeLiveness& it) { backends_->AskLife(it); },
          [&](const serving::PublishSnapshot& it) {
            const std::string bytes = EncodeDatagram(it.snapshot, state_.now);
            for (const std::string& to : it.to) {
              Tell(DatagramKind::kSnapshot, to, bytes);
            }
          },
          [&](const serving::RequestPlacement& it) {
            Tell(DatagramKind::kQuestion, it.to,
                 EncodeDatagram(it.request, state_.now));
          },
          [&](const serving::RespondToPlacement& it) {
            Tell(DatagramKind::kPlacement, it.to, EncodeDatagram(it.response));
          },
          [&](const serving::PollStore& it) { store_->Ask(it); },
          [&](const serving::ReadConfiguration& it) {
            store_->ReadConfiguration(it);
          },
          [&](const serving::ListStore&) { store_->List(); },
          [&](const serving::RewriteOwnEntry&) { store_->WriteEntryAgain(); },
          [&](const serving::WriteReconciledEpoch& it) {
            store_->WriteSettledEra(it.epoch);
          },
          [&](const serving::WatchStore& it) { store_->SetWatch(it.enabled); },
          [&](const serving::SaveCrashes& it) { store_->Save(it); },
          [&](const serving::AcquireWarmUpLease&) {
            store_->warm_up_lease().Acquire();
          },
          [&](const serving::RenewWarmUpLease&) {
            store_->warm_up_lease().Renew();
          },
          [&](const serving::ReleaseWarmUpLease&) {
            store_->warm_up_lease().Release();
          },
          [&](const serving::CheckHealth& it) { backends_->AskHealth(it); },
          [&](const serving::RelayStoreState& it) {
            for (const auto& [to, relay] : it.messages) {
              Tell(DatagramKind::kRelay, to, EncodeDatagram(relay));
            }
          },
          [&](const serving::LogDecision& it) {
            it.routine ? LogRoutine(it.event, it.fields)
                       : LogInfo(it.event, it.fields);
          },
          [&](const serving::IncrementCounter& it) {
            metrics_->Add(it.counter);
          },
          [&](const serving::ObserveLatency& it) { metrics_->Observe(it); },
          [&](const serving::ApplyLimits& it) {
            ApplyLimits(it.limits);
            metrics_->KeepOnly(state_.configuration->configuration());
          },
          [&](const serving::Exit&) { Exit(); }},
      effect);
}

void FleetDaemon::Tell(DatagramKind kind, const std::string& to,
                       const std::string& bytes) {
  metrics_->CountDatagram(kind, bytes.size());
  peers_.Send(to, bytes);
}

void FleetDaemon::ServedExchange::AddOutcome(
    HttpHeaders& headers, const RelayOutcome& outcome) const {
  if (!relayed) return;
  headers.Add(kRelayOutcomeHeader, RelayOutcomeText(outcome));
  headers.Add(kRelayRetryHeader, RelayRetryText(outcome));
}

bool FleetDaemon::ShedsClients() const {
  return state_.stop_at || !serving::TakesClients(state_);
}

std::optional<FleetDaemon::ServedExchange> FleetDaemon::Take(RequestKey key) {
  const auto found = exchanges_.find(key);
  if (found == exchanges_.end()) return std::nullopt;
  ServedExchange served = std::move(found->second);
  exchanges_.erase(found);
  if (ShedsClients()) served.exchange->CloseAfter();
  return served;
}

const HttpResponse* FleetDaemon::AnswerOf(AttemptId attempt) const {
  const HttpResponse* answer = backends_->AnswerOf(attempt);
  if (answer == nullptr)
    LogInfo("answer_missing", {{"attempt", std::to_string(attempt)}});
  return answer;
}

void FleetDaemon::Deliver(const serving::DeliverAnswer& effect) {
  const HttpResponse* answer = AnswerOf(effect.attempt);
  const auto served = Take(effect.key);
  if (!served || answer == nullptr) return;
  HttpHeaders headers = platform::ClientHeaders(*answer);
  served->AddOutcome(headers, {});
  served->exchange->Reply(answer->status, headers, answer->body,
                          answer->reason);
}

void FleetDaemon::Begin(const serving::BeginStream& effect) {
  const HttpResponse* answer = AnswerOf(effect.attempt);
  const auto found = exchanges_.find(effect.key);
  if (found == exchanges_.end()) return;
  if (answer == nullptr) {
    Take(effect.key)->exchange->Abort();
    return;
  }
  const ServedExchange& served = found->second;
  if (ShedsClients()) served.exchange->CloseAfter();
  HttpHeaders headers = platform::ClientHeaders(*answer);
  served.AddOutcome(headers, {});
  served.exchange->StartStream(answer->status, headers, std::nullopt,
                               answer->reason);
}

void FleetDaemon::Answer(const serving::Refuse& effect) {
  const auto served = Take(effect.key);
  if (!served) return;
  platform::OwnAnswer answer = platform::RefusalAnswer(effect);
  served->AddOutcome(answer.headers, {.refusal = effect.reason,
                                      .retry_after = effect.retry_after});
  served->exchange->Reply(answer.status, answer.headers, answer.body);
}

void FleetDaemon::OnRequest(const std::shared_ptr<HttpExchange>& exchange) {
  Admit({.exchange = exchange, .relayed = {}}, /*relayed_by=*/"");
}

void FleetDaemon::Admit(ServedExchange served, const std::string& relayed_by) {
  const RequestKey key = ++last_key_;
  served.exchange->OnClosed([this, key] {
    exchanges_.erase(key);
    Feed(serving::ClientDisconnected{.key = key});
  });
  const bool body_omitted = served.request().body_omitted;
  serving::RequestMetadata facts = platform::ReadRequest(served.request());
  facts.fingerprint = platform::ContentOf(served.request());
  facts.relayed_by = relayed_by;
  served.exchange->SetName(facts.id);
  exchanges_[key] = std::move(served);
  Feed(serving::RequestArrived{
      .key = key, .metadata = std::move(facts), .body_omitted = body_omitted});
}

void FleetDaemon::OnPeerCall(const std::shared_ptr<HttpExchange>& exchange) {
  exchange->path() == kRelayPath ? OnRelay(exchange) : OnDocument(*exchange);
}

void FleetDaemon::OnRelay(const std::shared_ptr<HttpExchange>& exchange) {
  constexpr int kBadRequest = 400;
  auto envelope = DecodeRelay(exchange->TakeBody());
  if (!envelope || exchange->method() != "POST") {
    LogInfo("relay_unreadable", {{"method", exchange->method()}});
    exchange->Reply(kBadRequest, {}, "");
    return;
  }
  HttpRequest request{.method = std::move(envelope->method),
                      .target = std::move(envelope->target),
                      .headers = {},
                      .body = std::move(envelope->body)};
  for (auto& [name, value] : envelope->headers) {
    request.headers.Add(std::move(name), std::move(value));
  }
  Admit({.exchange = exchange, .relayed = std::move(request)},
        envelope->origin);
}

void FleetDaemon::OnDocument(HttpExchange& exchange) {
  const auto* document =
      state_.configuration
          ? state_.configuration->configuration().document.get()
          : nullptr;
  if (exchange.path() != kConfigurationPath || document == nullptr) {
    exchange.Reply(kNotFound, {}, "");
    return;
  }
  const auto revision = state_.configuration->configuration().revision;
  exchange.Reply(kOk,
                 {{kRevisionHeader, std::to_string(revision.number)},
                  {kEraHeader, std::to_string(revision.epoch)}},
                 *document);
}

void FleetDaemon::OnLookUp(HttpExchange& exchange) {
  if (!platform::IsLookUp(exchange)) {
    exchange.Reply(kNotFound, {}, "");
    return;
  }
  const serving::ClientAddresses answer =
      serving::LookUpClientAddresses(state_, platform::ReadLookUp(exchange));
  exchange.Reply(kOk, {{"Content-Type", "application/json"}},
                 platform::LookUpJson(answer.addresses, answer.time_to_live));
}

void FleetDaemon::OnReadyCheck(HttpExchange& exchange) {
  if (!platform::IsReadyCheck(exchange)) {
    exchange.Reply(kNotFound, {}, "");
    return;
  }
  exchange.Reply(serving::TakesClients(state_) ? kOk : kUnavailable, {}, "");
}

void FleetDaemon::OnMetrics(HttpExchange& exchange) {
  if (exchange.path() != "/metrics") {
    exchange.Reply(kNotFound, {}, "");
    return;
  }
  exchange.Reply(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                 metrics_->Render(state_, *budget_, OpenConnections()));
}

std::size_t FleetDaemon::OpenConnections() const {
  std::size_t n = 0;
  for (const HttpServer* it : {&front_, &peer_calls_, &ready_, &look_ups_})
    n += it->connections();
  return metrics_server_ == nullptr ? n : n + metrics_server_->connections();
}

void FleetDaemon::OnCut(const CutConnection& cut) {
  metrics_->CountCut(cut.stage);
  // The reducer logs `client_gone` and `broken`, the server `connection_shed`.
  const bool is_logged =
      cut.stage == ConnectionStage::kAnswering &&
      (cut.end == ConnectionEnd::kClient || cut.end == ConnectionEnd::kAborted);
  if (is_logged || cut.end == ConnectionEnd::kShed) return;
  LogInfo("connection_cut",
          {{"request", cut.request},
           {"stage", std::string(NameIn(kConnectionStageNames, cut.stage))},
           {"by", std::string(NameIn(kConnectionEndNames, cut.end))},
           {"unsent_bytes", std::to_string(cut.unsent_bytes)},
           {"after_ms",
            std::to_string(
                std::chrono::duration_cast<milliseconds>(cut.age).count())}});
}

void FleetDaemon::ApplyLimits(const serving::RequestLimits& limits) {
  HttpServerOptions options;
  const auto set = [](auto value, auto& to) {
    if (value > decltype(value){}) to = value;
  };
  set(limits.max_body_bytes, options.max_body_bytes);
  set(limits.max_header_bytes, options.max_header_bytes);
  set(limits.header_timeout, options.header_timeout);
  set(limits.idle_timeout, options.idle_timeout);
  front_.SetLimits(options);
  // An envelope holds the head of a request beside its body.
  constexpr std::int64_t kEnvelopeBytes = 64 * 1024;
  options.max_body_bytes += options.max_header_bytes + kEnvelopeBytes;
  options.max_header_bytes = HttpServerOptions{}.max_header_bytes;
  peer_calls_.SetLimits(options);
  const std::uint64_t max_bytes =
      ClientLimitsOf(settings_, options.max_body_bytes).max_bytes;
  if (max_bytes == budget_->max_bytes()) return;
  budget_->SetMaxBytes(max_bytes);
  LogInfo("client_memory", {{"max_bytes", std::to_string(max_bytes)}});
}

void FleetDaemon::Exit() {
  front_.StopAccepting();
  front_.CloseIdle();
  exit_.Once(kExitDelay);
}

void FleetDaemon::ExitIfSent() {
  const Time latest =
      *state_.stop_at + std::chrono::duration_cast<Duration>(
                            state_.options.shutdown_grace * kExitShareOfGrace);
  const bool is_sending = front_.IsSending() || peer_calls_.IsSending();
  if (is_sending && loop_.Now() < latest) {
    exit_.Once(kExitPoll);
  } else {
    loop_.Stop();
  }
}

}  // namespace scaleshed

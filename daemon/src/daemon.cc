#include "scaleshed/daemon/daemon.h"

#include <random>
#include <utility>

#include "internal/backend_client.h"
#include "internal/caller_api.h"
#include "internal/client_limits.h"
#include "internal/configuration_watcher.h"
#include "scaleshed/runtime/address.h"
#include "scaleshed/runtime/log.h"
#include "scaleshed/wire/peer_codec.h"

namespace scaleshed {
namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kHousekeepingInterval = seconds(1);
// Long enough for every id that the incarnation handed out to have expired.
constexpr Duration kFinishedIdsLifetime = std::chrono::hours(1);
constexpr Duration kPlatformTimeout = milliseconds(800);

std::string WithPort(const std::string& address, std::uint16_t port) {
  return ParseAddress(address).host + ":" + std::to_string(port);
}

// The number of this life of the daemon: the time at which it began, so that a
// later one is higher without anything being kept.
std::uint64_t NewIncarnationNumber() {
  return static_cast<std::uint64_t>(UnixMicros());
}

ReducerOptions MakeOptions(const Settings& settings, const EventLoop& loop,
                           std::uint16_t http_port,
                           const std::string& peer_address) {
  constexpr std::int64_t kMicrosPerMinute = 60'000'000;
  return ReducerOptions{
      .self = {.incarnation = {.instance = settings.instance,
                               .number = NewIncarnationNumber()},
               .address = WithPort(settings.listen, http_port),
               .peer_address = peer_address,
               .data_centre = settings.data_centre,
               .version = 1},
      .seed = std::random_device{}(),
      .started = loop.Now(),
      .started_minute = UnixMicros() / kMicrosPerMinute,
      .look_up_keep = settings.look_up_keep,
      .membership = {.seeds = settings.seed_peers}};
}

}  // namespace

Daemon::Daemon(EventLoop& loop, const Settings& settings)
    : loop_(loop),
      settings_(settings),
      peers_(loop, settings.peer_listen,
             [this](const std::string& bytes) { OnPeerBytes(bytes); }),
      peer_http_(loop),
      platform_(loop,
                {.address = settings.platform, .timeout = kPlatformTimeout}),
      budget_(std::make_shared<ConnectionBudget>(ConnectionBudgetOptions{
          .max_bytes =
              ClientLimitsOf(settings, settings.max_body_bytes).max_bytes})),
      http_(loop,
            {.address = settings.listen,
             .max_body_bytes = settings.max_body_bytes,
             .max_connections =
                 ClientLimitsOf(settings, settings.max_body_bytes).max_callers,
             .budget = budget_},
            [this](const std::shared_ptr<HttpExchange>& exchange) {
              callers_->Handle(exchange);
            }),
      state_(MakeOptions(settings, loop, http_.port(), peers_.address())),
      tick_(loop, [this] { Feed(Tick()); }),
      list_(loop, [this] { ListInstances(); }),
      report_(
          loop,
          [this] { backends_->PollReports(settings_.report_interval * 4); }),
      housekeeping_(loop, [this] {
        peers_.CloseIdle();
        UpdateGauges();
      }) {
  const auto feed = [this](EventBody body) { Feed(std::move(body)); };
  configuration_ = std::make_unique<ConfigurationWatcher>(
      loop, platform_,
      [this](Configuration configuration) {
        Feed(ConfigurationLoaded{.configuration = std::move(configuration)});
      },
      [this] { return PeerAddresses(); });
  callers_ = std::make_unique<CallerApi>(
      settings_, state_, metrics_, feed,
      PeerPages{.configuration = [this] { return configuration_->Bundle(); },
                .instances = [this] { return InstancesJson(instances_); }});
  backends_ = std::make_unique<BackendClient>(loop, state_, feed);
  LogInfo("listening",
          {{"address", state_.options.self.address},
           {"peer_address", state_.options.self.peer_address},
           {"incarnation", ToString(state_.options.self.incarnation)}});
  configuration_->Start();
  ListInstances();
  tick_.Every(kTickInterval);
  list_.Every(settings_.list_interval);
  report_.Every(settings_.report_interval);
  housekeeping_.Every(kHousekeepingInterval);
}

Daemon::~Daemon() = default;

void Daemon::Stop() { Feed(StopRequested()); }

void Daemon::Feed(EventBody body) {
  pending_.push_back(std::move(body));
  // Carrying out an effect can feed again; that waits until it is done.
  if (!draining_) Drain();
}

void Daemon::Drain() {
  draining_ = true;
  while (!pending_.empty()) {
    Event event{.now = loop_.Now(), .body = std::move(pending_.front())};
    pending_.pop_front();
    Effects effects = Reduce(state_, event);
    for (Effect& it : effects) Carry(it);
  }
  draining_ = false;
}

void Daemon::Carry(Effect& effect) {
  std::visit(
      Overloaded{
          [&](const ReplyChunk& it) { callers_->OnChunk(it); },
          [&](const ReplyFinal& it) { callers_->OnFinal(it); },
          [&](const ReleaseCall& it) { callers_->Release(it.key); },
          [&](const StartStream& it) {
            backends_->Start(it, callers_->PromptOf(it.key));
          },
          [&](const ResumeStream& it) { backends_->Resume(it); },
          [&](const PlaceHold& it) { backends_->Hold(it); },
          [&](const CancelAttempt& it) { backends_->Cancel(it); },
          [&](const SendService& it) {
            backends_->CallService(it, callers_->BodyOf(it.key),
                                   callers_->IdOf(it.key));
          },
          [&](SendPeer& it) { CarryToPeer(it); },
          [&](const FetchConfiguration& it) {
            configuration_->Fetch(it.revision);
          },
          [&](const WriteFinishedIds& it) { WriteIds(it); },
          [&](const ReadFinishedIds& it) { ReadIds(it); },
          [&](const LogChange& it) {
            LogInfo(it.what, {{"subject", it.subject}, {"detail", it.detail}});
          },
          [&](const Count& it) { metrics_.Add(it.counter); },
          [&](const ObserveFirstToken& it) { metrics_.ObserveFirstToken(it); },
          [&](const CloseListener&) { http_.StopAccepting(); },
          [&](const Exit&) { loop_.Stop(); },
      },
      effect);
}

void Daemon::CarryToPeer(SendPeer& effect) {
  if (auto* forward = std::get_if<ForwardCall>(&effect.message)) {
    forward->body = EncodeCallBody(callers_->BodyOf(effect.body_of));
  }
  const PeerEnvelope envelope{.from = state_.options.self.incarnation,
                              .message = std::move(effect.message)};
  peers_.Send(effect.peer_address, EncodePeer(envelope, UnixMicros()));
}

void Daemon::OnPeerBytes(const std::string& bytes) {
  auto decoded = DecodePeer(bytes, UnixMicros());
  auto* envelope = ValueOf(decoded);
  if (envelope == nullptr) {
    LogWarn("peer_message_invalid", {{"error", ToString(ErrorOf(decoded))}});
    return;
  }
  PeerReceived event{.from = std::move(envelope->from),
                     .message = std::move(envelope->message),
                     .key = callers_->NewKey()};
  if (const auto* forward = std::get_if<ForwardCall>(&event.message)) {
    auto body = DecodeCallBody(forward->body);
    if (auto* it = ValueOf(body)) {
      callers_->KeepForwarded(event.key, forward->spec, std::move(*it));
    }
  }
  Feed(std::move(event));
}

void Daemon::ListInstances() {
  platform_.List([this](PlatformResult<std::vector<Instance>> result) {
    if (auto* instances = ValueOf(result)) {
      OnList(std::move(*instances));
      return;
    }
    // While the platform is down, the last list goes on to hold; a daemon that
    // never had one asks a peer.
    if (!state_.listed) ListFromPeer();
  });
}

void Daemon::OnList(std::vector<Instance> instances) {
  instances_ = instances;
  Feed(InstancesListed{.instances = std::move(instances)});
}

void Daemon::ListFromPeer() {
  const std::vector<std::string> peers = PeerAddresses();
  if (peers.empty()) return;
  const std::size_t pick = std::random_device{}() % peers.size();
  HttpCall call{.address = peers[pick],
                .path = "/v1/instances",
                .timeout = kPlatformTimeout,
                .max_body_bytes = kMaxDocumentBytes,
                .on_chunk = {},
                .on_done = {}};
  call.on_done = [this](const HttpResult& result) {
    const HttpResponse* response = ValueOf(result);
    if (response == nullptr || state_.listed) return;
    auto instances = ParseInstances(response->body);
    if (auto* it = ValueOf(instances)) OnList(std::move(*it));
  };
  peer_http_.Start(std::move(call));
}

std::vector<std::string> Daemon::PeerAddresses() const {
  std::vector<std::string> addresses;
  for (const Member* it : state_.membership.Members()) {
    if (it != &state_.membership.self()) addresses.push_back(it->address);
  }
  return addresses;
}

void Daemon::WriteIds(const WriteFinishedIds& effect) {
  const KeyWrite write{.key = FinishedIdsKey(effect.home),
                       .value = FinishedIdsJson(effect.ids),
                       .expected = 0,
                       .lifetime = kFinishedIdsLifetime};
  platform_.Put(write, [this](const PlatformResult<std::uint64_t>& result) {
    // A conflict says that an earlier write, whose answer was lost, is there;
    // the key is this incarnation's own and nothing has changed since.
    const bool ok = ValueOf(result) != nullptr ||
                    ErrorOf(result) == PlatformError::kConflict;
    Feed(FinishedIdsWritten{.ok = ok});
  });
}

void Daemon::ReadIds(const ReadFinishedIds& effect) {
  platform_.Get(
      FinishedIdsKey(effect.home),
      [this, home = effect.home](const PlatformResult<KeyValue>& result) {
        FinishedIdsRead event{.home = home};
        if (const KeyValue* entry = ValueOf(result)) {
          auto ids = ParseFinishedIds(entry->value);
          event.readable = ValueOf(ids) != nullptr;
          if (auto* it = ValueOf(ids)) event.ids = std::move(*it);
        } else {
          event.readable = ErrorOf(result) == PlatformError::kAbsent;
        }
        Feed(std::move(event));
      });
}

void Daemon::UpdateGauges() {
  metrics_.Set("connections_open", static_cast<double>(http_.connections()));
  metrics_.Set("connections_held_bytes",
               static_cast<double>(budget_->held_bytes()));
  metrics_.Set("platform_calls", static_cast<double>(platform_.calls()));
  metrics_.Set("peer_sent_bytes", static_cast<double>(peers_.sent_bytes()));
  metrics_.Set("peer_received_bytes",
               static_cast<double>(peers_.received_bytes()));
  metrics_.Set("requests_in_flight",
               static_cast<double>(state_.requests.size()));
  metrics_.Set("requests_queued", static_cast<double>(state_.queue.size()));
  metrics_.Set("revision", static_cast<double>(state_.configuration.revision));
}

}  // namespace scaleshed

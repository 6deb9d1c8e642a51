#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"

// Relaying: a daemon that doubts its network path to the servers of a service
// passes requests to another daemon, the relay, which serves them under all of
// its own checks. A relayed request isn't relayed again, so that it can't loop.
namespace scaleshed::serving::internal {
namespace {

// A daemon that a relayed request didn't reach is passed over for this time.
constexpr Duration kRelayAvoidance = seconds(1);
// Relayed requests that a daemon serves at the same time. Above it, its own
// clients would wait for them.
constexpr std::size_t kMaxRelayedRequests = 256;
// Retry-After of a request to a service that no daemon is known to reach.
constexpr Duration kRetryAfterUnreachable = milliseconds(300);
// Servers of a service that have to miss calls before requests are refused
// without a send, if no daemon is known to reach the service.
constexpr std::size_t kMissedServersToRefuse = 6;

bool MayRelayTo(const State& state, const Request& request,
                const std::string& address, const Member& member) {
  const bool usable = IsLive(state, member) && member.snapshot.serving &&
                      member.snapshot.relays &&
                      !request.tried_relays.contains(address);
  if (!usable || !MayGetBody(state, member, request.allowed_regions))
    return false;
  const auto avoided = state.relays_avoided_until.find(address);
  if (avoided != state.relays_avoided_until.end() &&
      avoided->second > state.now)
    return false;
  const PublishedPath* path = PathOf(member, request.service);
  return path == nullptr || !path->doubtful;
}

// Returns a daemon that probably reaches the request's service, preferably one
// that has done so since this daemon didn't; empty if there is none.
std::string ChooseRelay(State& state, const Request& request) {
  const Time since = state.paths.at(request.service)
                         .evidence.missing_since()
                         .value_or(state.now);
  std::vector<std::string> proven;
  std::vector<std::string> others;
  for (const auto& [address, member] : state.members) {
    if (!MayRelayTo(state, request, address, member)) continue;
    const PublishedPath* path = PathOf(member, request.service);
    const bool has_reached = path != nullptr && path->answered >= since;
    (has_reached ? proven : others).push_back(address);
  }
  const auto& candidates = proven.empty() ? others : proven;
  if (candidates.empty()) return "";
  return candidates[state.random() % candidates.size()];
}

void StartRelayed(State& state, Request& request, const std::string& relay) {
  BeginAttempt(state, request);
  request.current.relay = relay;
  request.current.backend = 0;
  request.current.backend_name = "relay " + relay;
  request.current.active_request = {.id = request.key};
  request.current.memory_reservations.clear();
  request.current.expected_time_to_first_token = Duration::zero();
  // The relay may have to wait for a server too.
  request.current.progress_deadline =
      state.now + 2 * ProgressTimeout(request, request.prefill_time);
  if (!CommitRetryOrRefuse(state, request)) return;
  request.phase = Phase::kRelayed;
  RecordSend(state, request);
  StartRelay effect{.attempt = request.current.id,
                    .key = request.key,
                    .to = relay,
                    .time_left = request.deadline - state.now,
                    .stream = IsStream(request.route.kind)};
  if (request.response_started) effect.resume_after = request.last_event_id;
  state.effects.emplace_back(IncrementCounter{Counter::kRelayed});
  Log(state, "relayed",
      {{"request", request.metadata.id},
       {"attempt", std::to_string(request.current.id)},
       {"to", relay},
       {"service", request.service},
       {"waited_ms", Millis(state.now - request.arrived)},
       {"time_left_ms", Millis(effect.time_left)},
       {"resume_after", effect.resume_after}});
  state.effects.emplace_back(std::move(effect));
}

// Whether the refusal is due to the relay's own state, so that another daemon
// may serve the request.
bool MayServeElsewhere(Refusal reason) {
  switch (reason) {
    case Refusal::kNoConfiguration:
    case Refusal::kConfigurationStale:
    case Refusal::kBackendListStale:
    case Refusal::kStopping:
    case Refusal::kUnreachable:
    case Refusal::kRelayLimit:
    case Refusal::kNoHome:  // the relay may know another configuration
      return true;
    default:
      return false;
  }
}

}  // namespace

bool RelayOrRefuse(State& state, Request& request) {
  if (!IsPathDoubtful(state, request.service)) return false;
  // Such a request is refused, and its body goes nowhere.
  if (request.allowed_regions && !HasOpenBackend(state, request)) return false;
  const bool is_relayed = !request.metadata.relayed_by.empty();
  const bool may_try = !is_relayed && MayRunAgain(request.route.kind) &&
                       request.possible_runs + request.declined_sends == 0;
  if (may_try && TakePathTrial(state, request.service)) return false;
  const std::string relay = is_relayed ? "" : ChooseRelay(state, request);
  if (!relay.empty()) {
    StartRelayed(state, request, relay);
    return true;
  }
  const std::size_t missed =
      state.paths.at(request.service).evidence.misses().size();
  const std::size_t servers =
      OpenBackends(state, request.service,
                   {.allowed_regions = &request.allowed_regions,
                    .has_warm_up_grant = true})
          .size();
  const bool is_hopeless = missed >= std::min(servers, kMissedServersToRefuse);
  if (!is_relayed && !is_hopeless) return false;
  RefuseRequest(
      state, request,
      request.may_have_run ? Refusal::kUnknown : Refusal::kUnreachable,
      kRetryAfterUnreachable);
  return true;
}

bool IsOverRelayLimit(const State& state) {
  const auto relayed = std::count_if(
      state.requests.begin(), state.requests.end(),
      [](const auto& it) { return !it.second.metadata.relayed_by.empty(); });
  return static_cast<std::size_t>(relayed) >= kMaxRelayedRequests;
}

bool IsRelayGone(const State& state, const Request& request) {
  if (request.phase != Phase::kRelayed) return false;
  const auto it = state.members.find(request.current.relay);
  return it == state.members.end() || !IsLive(state, it->second);
}

void RecordRelayFailure(State& state, Request& request,
                        const std::string& relay) {
  request.tried_relays.insert(relay);
  state.relays_avoided_until[relay] = state.now + kRelayAvoidance;
  state.effects.emplace_back(IncrementCounter{Counter::kRelaysFailed});
}

void OnRelayRefused(State& state, const RelayRefused& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  Attempt& attempt = AttemptOf(*request, event.attempt);
  if (attempt.relay.empty()) return;
  attempt.stands = false;
  Log(state, "relay_refused",
      {{"request", request->metadata.id},
       {"attempt", std::to_string(event.attempt)},
       {"by", attempt.relay},
       {"why", std::string(NameIn(kRefusalNames, event.reason))},
       {"may_have_run", event.may_have_run ? "true" : "false"}});
  if (event.attempt != request->current.id) {
    request->may_have_run = request->may_have_run || event.may_have_run;
    if (!event.may_have_run) --request->possible_runs;
    DropStalled(state, *request, event.attempt);
    return;
  }
  if (event.may_have_run) {
    ++request->delivered_sends;
    HandleLostAttempt(state, *request, "relay");
    return;
  }
  if (MayServeElsewhere(event.reason)) {
    RecordRelayFailure(state, *request, attempt.relay);
    HandleDeclinedAttempt(state, *request);
    return;
  }
  --request->possible_runs;
  RefuseRequest(state, *request, event.reason, event.retry_after);
}

}  // namespace scaleshed::serving::internal

#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::serving::internal {
namespace {

// Time for which requests avoid a backend server after its first failure; each
// further failure in a row doubles it.
constexpr Duration kFirstSuspicionDuration = milliseconds(500);
constexpr int kMaxSuspicionDoublings = 3;
// Exponential decay of the response counts: each new response reduces the
// weight of all earlier ones by this share.
constexpr double kOutcomeDecay = 0.08;
// A backend server is suspected if its share of failed responses exceeds that
// of the other servers of its service by kExcessFailureShare. Fewer weighted
// responses than kMinResponsesToJudge are too few to compare.
constexpr double kExcessFailureShare = 0.25;
constexpr double kMinResponsesToJudge = 4;
constexpr Duration kFailureShareSuspicionDuration = seconds(2);
// At most this share of a service's backend servers is avoided at a time.
constexpr double kMaxAvoidedShare = 0.34;
// Each further suspicion of an engine that has not decoded since the previous
// one doubles the time that the engine is kept out, whichever daemon raised the
// suspicion: of many daemons a different one meets a hanging engine each time,
// and each would take it for a first failure. A suspicion that comes later than
// kConsecutiveSuspicionWindow after the previous one ended counts as the first.
constexpr Duration kFirstEngineSuspicion = milliseconds(500);
constexpr int kMaxEngineSuspicionDoublings = 4;
constexpr Duration kConsecutiveSuspicionWindow = seconds(10);
// A suspected engine returns on probation: it gets one short prompt at a time
// until it decodes one of them. After two or more suspicions in a row it
// prefills no part of a long prompt, which fails with any of its engines.
// Probation is limited in time because there may be no short prompt that could
// end it.
constexpr Duration kProbationDuration = seconds(2);

// Counts the backend servers of `service` that are avoided now, and all of them
// in `all`.
std::size_t CountAvoided(const State& state, const std::string& service,
                         std::size_t& all) {
  std::size_t n = 0;
  all = 0;
  for (const auto& [name, backend] : state.backends) {
    if (backend.server.service != service) continue;
    ++all;
    if (backend.avoided_until() > state.now) ++n;
  }
  return n;
}

// Keeps requests away from `backend` for `length`, unless that would exceed
// kMaxAvoidedShare of its service.
void AvoidBackend(State& state, Backend& backend, Time Backend::*until,
                  Duration length, const std::string& reason) {
  std::size_t all = 0;
  const std::size_t n = CountAvoided(state, backend.server.service, all);
  const bool already_avoided = backend.avoided_until() > state.now;
  const auto max_avoided = static_cast<double>(all) * kMaxAvoidedShare;
  if (!already_avoided && static_cast<double>(n + 1) > max_avoided) return;
  backend.*until = std::max(backend.*until, state.now + length);
  state.has_unpublished_changes = true;
  state.effects.emplace_back(IncrementCounter{Counter::kSuspicions});
  Log(state, "suspect",
      {{"backend", backend.server.id},
       {"address", backend.server.address},
       {"why", reason},
       {"for_ms", Millis(length)}});
}

void LogBackend(State& state, const BackendServer& server,
                const std::string& new_state, const std::string& reason = "") {
  Log(state, "backend",
      {{"backend", server.id},
       {"service", server.service},
       {"address", server.address},
       {"born", std::to_string(server.start_unix_ms)},
       {"era", std::to_string(server.revision.epoch)},
       {"revision", std::to_string(server.revision.number)},
       {"state", new_state},
       {"why", reason}},
      // The first list after a start may have thousands of entries.
      /*routine=*/new_state == "listed");
}

// Hashes all fields of an entry and its revision number. The fields count too,
// since after a restore the store may reuse a revision number for another
// content.
std::uint64_t HashEntry(const BackendServer& it) {
  std::uint64_t hash = HashBytes(it.id, it.revision.number);
  for (const std::string* text :
       {&it.service, &it.address, &it.data_centre, &it.entry_error}) {
    hash = HashBytes(*text, hash);
  }
  const auto slots = static_cast<std::uint64_t>(it.slots);
  const std::uint64_t leaving = it.leaving ? 1 : 0;
  for (const std::uint64_t number : {slots, leaving, it.start_unix_ms}) {
    hash = HashBytes(std::to_string(number), hash);
  }
  if (it.warm_up_left > Duration::zero())
    hash = HashBytes(std::to_string(it.warm_up_left.count()), hash);
  return hash;
}

// Keeps a backend server out of use whose entry was deleted and may be there
// only because the store was restored from an older backup.
void KeepOutRestored(State& state, Backend& backend) {
  if (backend.tombstone_until) return;
  backend.tombstone_until = RestoredTombstoneEnd(state);
  LogBackend(state, backend.server, "kept_out", "listed by an older backup");
}

// Applies an entry that names no usable backend server. The state of the server
// that the entry named before is kept until a valid entry arrives.
void ApplyFaultyEntry(State& state, Backend& backend,
                      const BackendServer& entry, const std::string& error) {
  const bool is_new = backend.server.id.empty();
  if (is_new) {
    backend.server = entry;
    backend.id = IdOf(entry);
  }
  backend.server.revision = entry.revision;
  backend.server.entry_error = error;
  LogBackend(state, backend.server, "unusable", error);
}

// Replaces the state of a backend server by that of a new incarnation under the
// same id. The new incarnation has none of the earlier one's requests, and
// neither its leaving nor anything observed of it applies any more.
void BeginIncarnation(State& state, Backend& backend,
                      const BackendServer& entry) {
  const BackendId previous_id = backend.id;
  const std::uint64_t previous_start_ms = backend.server.start_unix_ms;
  backend = {.server = entry, .id = IdOf(entry)};
  backend.server.leaving = entry.leaving || state.leaving.contains(backend.id);
  state.has_unpublished_changes = true;
  LogBackend(state, entry, "started_again",
             "previous start_unix_ms: " + std::to_string(previous_start_ms));
  ApplyEntryWarmUp(state, backend, /*is_new=*/true);
  FailAttemptsAt(state, previous_id);
}

// Applies an entry that is newer than the known one of the same id.
void ApplyEntry(State& state, Backend& backend, const BackendServer& entry) {
  const bool is_new = backend.server.id.empty();
  if (!entry.entry_error.empty()) {
    ApplyFaultyEntry(state, backend, entry, entry.entry_error);
    return;
  }
  const std::uint64_t known_start_ms = backend.server.start_unix_ms;
  if (entry.start_unix_ms == 0 && known_start_ms != 0) {
    ApplyFaultyEntry(state, backend, entry, "born: missing");
    return;
  }
  if (!is_new && entry.start_unix_ms > known_start_ms) {
    BeginIncarnation(state, backend, entry);
    return;
  }
  const bool was_usable = !is_new && backend.server.entry_error.empty();
  const bool was_leaving = backend.server.leaving;
  // A late write of an earlier incarnation doesn't override the entry of the
  // current one.
  if (entry.start_unix_ms < known_start_ms) {
    backend.server.revision = entry.revision;
    backend.server.entry_error.clear();
    LogBackend(state, backend.server, "kept",
               "entry of an earlier incarnation");
    return;
  }
  backend.server = entry;
  backend.id = IdOf(entry);
  ApplyEntryWarmUp(state, backend, is_new);
  // An incarnation never withdraws that it is leaving; this also outlasts an
  // entry whose lease expired.
  backend.server.leaving =
      entry.leaving || was_leaving || state.leaving.contains(backend.id);
  if (!was_usable || was_leaving != backend.server.leaving) {
    LogBackend(state, backend.server,
               backend.server.leaving ? "leaving" : "listed");
  }
}

}  // namespace

void SuspectBackend(State& state, Backend& backend, Duration length,
                    const std::string& reason) {
  AvoidBackend(state, backend, &Backend::suspect_until, length, reason);
  ApplySuspicion(
      state,
      {.backend = backend.id, .until = backend.suspect_until, .failed = true});
}

void AvoidSlowBackend(State& state, Backend& backend, Duration length) {
  AvoidBackend(state, backend, &Backend::slow_until, length, "slow");
}

void ApplyBackoff(State& state, Backend& backend, Duration length) {
  AvoidBackend(state, backend, &Backend::slow_until, length, "rest");
}

BackendId IdOf(const BackendServer& server) {
  return HashBytes(server.id, server.start_unix_ms);
}

Backend* FindBackend(State& state, BackendId id) {
  for (auto& [name, backend] : state.backends) {
    if (backend.id == id) return &backend;
  }
  return nullptr;
}

void OnListed(State& state, const BackendServer& server) {
  if (HasTombstoneSince(state, server.id, server.revision)) return;
  const bool is_restored =
      !state.backends.contains(server.id) && IsRestoredTombstone(state, server);
  Backend& backend = state.backends[server.id];
  if (server.revision < backend.server.revision) return;
  const std::uint64_t hash = HashEntry(server);
  const bool changed = hash != backend.entry_hash;
  if (changed || backend.gone_at) {
    RecordChange(
        state,
        {.id = server.id, .revision = server.revision, .server = server});
  }
  const bool is_new = backend.server.id.empty();
  backend.gone_at.reset();
  backend.server.revision = server.revision;
  if (!changed) return;
  ApplyEntry(state, backend, server);
  backend.entry_hash = hash;
  // The entry was rewritten after the restore, so that the server is in use.
  backend.tombstone_until.reset();
  if (is_new) WarmUpIfReopened(state, backend);
  if (is_restored) KeepOutRestored(state, backend);
}

void OnUnlisted(State& state, const BackendUnlisted& event) {
  const auto it = state.backends.find(event.id);
  if (it == state.backends.end()) {
    RecordTombstone(state, event.id, event.revision);
    return;
  }
  // A late deletion is ignored if the entry has been written again since.
  const bool has_revision = event.revision.number != 0;
  if (has_revision && event.revision < it->second.server.revision) return;
  RecordTombstone(state, event.id, event.revision);
  if (!it->second.gone_at) {
    RecordChange(state, {.id = event.id,
                         .revision = event.revision,
                         .server = {},
                         .certain = event.certain});
  }
  if (!event.certain) {
    if (!it->second.gone_at) it->second.gone_at = LapseEnd(state);
    return;
  }
  LogBackend(state, it->second.server, "unlisted");
  state.backends.erase(it);
}

void OnAllListed(State& state, const BackendsListed& event) {
  std::set<std::string> listed;
  for (const BackendServer& it : event.backends) {
    listed.insert(it.id);
    OnListed(state, it);
  }
  std::vector<std::string> unlisted;
  for (const auto& [name, backend] : state.backends) {
    if (!listed.contains(name)) unlisted.push_back(name);
  }
  for (const std::string& it : unlisted) {
    // A backup may lack entries of living backend servers.
    const bool certain = event.certain && !IsJustRestored(state);
    OnUnlisted(state,
               {.id = it, .certain = certain, .revision = event.revision});
  }
  RecordCompleteUpTo(state, event.revision);
  if (event.queried_at == Time{}) return;
  OnBackendsConfirmed(
      state, {.epoch = event.revision.epoch, .queried_at = event.queried_at});
}

void DropLapsedBackends(State& state) {
  std::vector<std::string> lapsed;
  for (const auto& [name, backend] : state.backends) {
    if (backend.gone_at && *backend.gone_at <= state.now)
      lapsed.push_back(name);
  }
  for (const std::string& it : lapsed) OnUnlisted(state, {.id = it});
  for (auto& [name, backend] : state.backends) {
    const bool expired =
        backend.tombstone_until && *backend.tombstone_until <= state.now;
    if (!expired) continue;
    backend.tombstone_until.reset();
    LogBackend(state, backend.server, "listed", "still listed");
  }
}

void RecordSuccess(State& state, BackendId id) {
  Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  backend->consecutive_failures = 0;
  backend->recent_responses =
      backend->recent_responses * (1 - kOutcomeDecay) + 1;
  backend->recent_failed_responses *= 1 - kOutcomeDecay;
}

void RecordFailure(State& state, BackendId id, const std::string& reason) {
  Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  if (IsPathDoubtful(state, backend->server.service)) return;
  const int doublings =
      std::min(backend->consecutive_failures++, kMaxSuspicionDoublings);
  SuspectBackend(state, *backend, kFirstSuspicionDuration * (1 << doublings),
                 reason);
}

void RecordFailedResponse(State& state, BackendId id) {
  Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  backend->recent_responses =
      backend->recent_responses * (1 - kOutcomeDecay) + 1;
  backend->recent_failed_responses =
      backend->recent_failed_responses * (1 - kOutcomeDecay) + 1;
  double responses = 0;
  double failed_responses = 0;
  for (const auto& [name, it] : state.backends) {
    if (it.server.service != backend->server.service || it.id == id) continue;
    responses += it.recent_responses;
    failed_responses += it.recent_failed_responses;
  }
  const double others_failure_share =
      responses > 0 ? failed_responses / responses : 0;
  const double own_failure_share =
      backend->recent_failed_responses / backend->recent_responses;
  // A cold server may fail until it is warm.
  if (IsCold(state, *backend)) return;
  if (backend->recent_responses >= kMinResponsesToJudge &&
      own_failure_share > others_failure_share + kExcessFailureShare) {
    SuspectBackend(state, *backend, kFailureShareSuspicionDuration,
                   "bad_answers");
  }
}

void RecordBackendGone(State& state, BackendId id, const std::string& reason) {
  Backend* backend = FindBackend(state, id);
  if (backend == nullptr || backend->server.leaving) return;
  backend->server.leaving = true;
  LogBackend(state, backend->server, "leaving", reason);
}

void ApplySuspicion(State& state, const Suspicion& suspicion) {
  Backend* backend = FindBackend(state, suspicion.backend);
  const bool counts = backend != nullptr && suspicion.failed &&
                      suspicion.until > state.now &&
                      TimingOf(state, backend->server.service) != nullptr;
  if (!counts) return;
  if (backend->suspected_until > state.now) {
    backend->suspected_until =
        std::max(backend->suspected_until, suspicion.until);
    return;
  }
  const bool in_row =
      backend->suspected_until != Time{} &&
      state.now - backend->suspected_until < kConsecutiveSuspicionWindow;
  backend->consecutive_suspicions =
      in_row ? backend->consecutive_suspicions + 1 : 0;
  const int doublings =
      std::min(backend->consecutive_suspicions, kMaxEngineSuspicionDoublings);
  backend->suspected_until = std::max(
      suspicion.until, state.now + kFirstEngineSuspicion * (1 << doublings));
  Log(state, "doubted",
      {{"backend", backend->server.id},
       {"times", std::to_string(backend->consecutive_suspicions + 1)},
       {"for_ms", Millis(backend->suspected_until - state.now)}},
      /*routine=*/true);
}

bool IsOnProbation(const State& state, const Backend& backend) {
  return backend.suspected_until != Time{} &&
         backend.suspected_until <= state.now &&
         state.now < backend.suspected_until + kProbationDuration;
}

void EndProbations(State& state,
                   const std::vector<const ActiveRequest*>& requests) {
  for (auto& entry : state.backends) {
    Backend& backend = entry.second;
    if (!IsOnProbation(state, backend)) continue;
    const bool decodes_again = std::any_of(
        requests.begin(), requests.end(), [&](const ActiveRequest* it) {
          return it->backend == backend.id && it->decoding &&
                 it->started_at >= backend.suspected_until;
        });
    if (!decodes_again) continue;
    backend.suspected_until = Time{};
    backend.consecutive_suspicions = 0;
  }
}

std::set<BackendId> SuspectedBackends(const State& state) {
  std::set<BackendId> suspected;
  for (const auto& [name, it] : state.backends) {
    const Time until = std::max(it.avoided_until(), it.suspected_until);
    if (until > state.now) suspected.insert(it.id);
  }
  for (const auto& [address, member] : state.members) {
    const auto& snapshot = member.snapshot;
    if (snapshot.suspicions.empty() || !snapshot.serving ||
        !IsLive(state, member)) {
      continue;
    }
    for (const Suspicion& it : snapshot.suspicions) {
      if (it.until > state.now) suspected.insert(it.backend);
    }
  }
  return suspected;
}

std::vector<const Backend*> OpenBackends(const State& state,
                                         const std::string& service,
                                         const SendTerms& terms) {
  std::vector<const Backend*> open;
  for (const auto& [name, backend] : state.backends) {
    if (backend.server.service == service &&
        !FindSendBlock(state, backend, terms)) {
      open.push_back(&backend);
    }
  }
  std::sort(open.begin(), open.end(),
            [](const Backend* a, const Backend* b) { return a->id < b->id; });
  return open;
}

}  // namespace scaleshed::serving::internal

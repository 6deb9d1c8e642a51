#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::serving::internal {
namespace {

// A backend server's first failure keeps requests away for so long; each
// further one doubles it.
constexpr Duration kFirstSuspicion = milliseconds(500);
constexpr int kMostDoublings = 3;
// Answers that are remembered: each new one takes away this part of the old.
constexpr double kForgetting = 0.08;
// A backend server that fails this part of its requests more than the others
// of its service is suspect, from this many answers on.
constexpr double kMoreBadAnswers = 0.25;
constexpr double kLeastAnswers = 4;
constexpr Duration kBadAnswersSuspicion = seconds(2);
// At most this part of a service's backend servers is kept out at a time.
constexpr double kMostSuspects = 0.34;
// Each further suspicion of an engine that has not written since the last keeps
// it out twice as long, whichever daemon has it: one that hangs is met by
// another of many daemons each time, and each takes it for the first. After a
// while it counts as the first again.
constexpr Duration kFirstDoubt = milliseconds(500);
constexpr int kMostDoubtDoublings = 4;
constexpr Duration kRowWithin = seconds(10);
// It comes back by one short prompt at a time until one of these is written,
// and reads nothing for long ones, which fail with any of their engines; no
// longer than this, as there may be no short prompt to show it.
constexpr Duration kProbation = seconds(2);

std::size_t CountSuspects(const State& state, const std::string& service,
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

// Unless too many of its service are avoided already.
void Avoid(State& state, Backend& backend, Time Backend::*until,
           Duration length, const std::string& why) {
  std::size_t all = 0;
  const std::size_t n = CountSuspects(state, backend.server.service, all);
  const bool already = backend.avoided_until() > state.now;
  const auto most = static_cast<double>(all) * kMostSuspects;
  if (!already && static_cast<double>(n + 1) > most) return;
  backend.*until = std::max(backend.*until, state.now + length);
  state.changed = true;
  state.effects.emplace_back(Count{Counter::kSuspicions});
  Log(state, "suspect",
      {{"backend", backend.server.id},
       {"address", backend.server.address},
       {"why", why},
       {"for_ms", Millis(length)}});
}

void LogBackend(State& state, const BackendServer& server,
                const std::string& what, const std::string& why = "") {
  Log(state, "backend",
      {{"backend", server.id},
       {"service", server.service},
       {"address", server.address},
       {"born", std::to_string(server.born)},
       {"era", std::to_string(server.revision.era)},
       {"revision", std::to_string(server.revision.number)},
       {"state", what},
       {"why", why}},
      // A first list may have thousands.
      /*routine=*/what == "listed");
}

// Of all that an entry says, and of its revision within the era: a number may
// be given out again in the next one, for another content.
std::uint64_t HashOf(const BackendServer& it) {
  std::uint64_t hash = HashBytes(it.id, it.revision.number);
  for (const std::string* text :
       {&it.service, &it.address, &it.data_centre, &it.fault}) {
    hash = HashBytes(*text, hash);
  }
  const auto slots = static_cast<std::uint64_t>(it.slots);
  const std::uint64_t leaving = it.leaving ? 1 : 0;
  for (const std::uint64_t number : {slots, leaving, it.born}) {
    hash = HashBytes(std::to_string(number), hash);
  }
  return hash;
}

// It went, and a copy of the store may have brought its entry back.
void KeepOut(State& state, Backend& backend) {
  if (backend.gone_until) return;
  backend.gone_until = CopyLapse(state);
  LogBackend(state, backend.server, "kept_out", "listed by an older copy");
}

// The entry names no backend server to use. What is known of the one that it
// named before stays, for when a right entry comes again.
void TakeFaulty(State& state, Backend& backend, const BackendServer& entry,
                const std::string& fault) {
  const bool is_new = backend.server.id.empty();
  if (is_new) {
    backend.server = entry;
    backend.id = IdOf(entry);
  }
  backend.server.revision = entry.revision;
  backend.server.fault = fault;
  LogBackend(state, backend.server, "unusable", fault);
}

// Another life under a known id. It holds and knows nothing of the one before:
// neither a word of leaving, nor what was seen of it, nor what it had in work.
void BeginLife(State& state, Backend& backend, const BackendServer& entry) {
  const BackendId before = backend.id;
  const std::uint64_t born_before = backend.server.born;
  backend = {.server = entry, .id = IdOf(entry)};
  backend.server.leaving = entry.leaving || state.leaving.contains(backend.id);
  state.changed = true;
  LogBackend(state, entry, "started_again",
             "born before: " + std::to_string(born_before));
  LoseWorkAt(state, before);
}

// A newer entry of that id than the one that is known.
void TakeEntry(State& state, Backend& backend, const BackendServer& entry) {
  const bool is_new = backend.server.id.empty();
  if (!entry.fault.empty()) {
    TakeFaulty(state, backend, entry, entry.fault);
    return;
  }
  const std::uint64_t born = backend.server.born;
  if (entry.born == 0 && born != 0) {
    TakeFaulty(state, backend, entry, "born: missing");
    return;
  }
  if (!is_new && entry.born > born) {
    BeginLife(state, backend, entry);
    return;
  }
  const bool was_usable = !is_new && backend.server.fault.empty();
  const bool was_leaving = backend.server.leaving;
  // A write of the life before that came late: what the younger one said holds.
  if (entry.born < born) {
    backend.server.revision = entry.revision;
    backend.server.fault.clear();
    LogBackend(state, backend.server, "kept", "entry of an earlier life");
    return;
  }
  backend.server = entry;
  backend.id = IdOf(entry);
  // A word of leaving is never taken back within one life, nor lost with an
  // entry that lapsed.
  backend.server.leaving =
      entry.leaving || was_leaving || state.leaving.contains(backend.id);
  if (!was_usable || was_leaving != backend.server.leaving) {
    LogBackend(state, backend.server,
               backend.server.leaving ? "leaving" : "listed");
  }
}

}  // namespace

void Suspect(State& state, Backend& backend, Duration length,
             const std::string& why) {
  Avoid(state, backend, &Backend::suspect_until, length, why);
  Doubt(
      state,
      {.backend = backend.id, .until = backend.suspect_until, .failed = true});
}

void AvoidSlow(State& state, Backend& backend, Duration length) {
  Avoid(state, backend, &Backend::slow_until, length, "slow");
}

void AvoidResting(State& state, Backend& backend, Duration length) {
  Avoid(state, backend, &Backend::slow_until, length, "rest");
}

BackendId IdOf(const BackendServer& server) {
  return HashBytes(server.id, server.born);
}

Backend* FindBackend(State& state, BackendId id) {
  for (auto& [name, backend] : state.backends) {
    if (backend.id == id) return &backend;
  }
  return nullptr;
}

bool TakesWork(const Backend& backend) {
  return backend.server.fault.empty() && !backend.server.leaving &&
         !backend.gone_until;
}

void OnListed(State& state, const BackendServer& server) {
  if (IsGoneSince(state, server.id, server.revision)) return;
  const bool of_copy =
      !state.backends.contains(server.id) && IsOfCopy(state, server);
  Backend& backend = state.backends[server.id];
  if (server.revision < backend.server.revision) return;
  const std::uint64_t hash = HashOf(server);
  const bool changed = hash != backend.entry_hash;
  if (changed || backend.gone_at) {
    NoteChange(
        state,
        {.id = server.id, .revision = server.revision, .server = server});
  }
  backend.gone_at.reset();
  backend.server.revision = server.revision;
  if (!changed) return;
  TakeEntry(state, backend, server);
  backend.entry_hash = hash;
  // Written since it was kept out.
  backend.gone_until.reset();
  if (of_copy) KeepOut(state, backend);
}

void OnUnlisted(State& state, const BackendUnlisted& event) {
  const auto it = state.backends.find(event.id);
  if (it == state.backends.end()) {
    NoteGoneAt(state, event.id, event.revision);
    return;
  }
  // Told late: it has come back since.
  const bool told = event.revision.number != 0;
  if (told && event.revision < it->second.server.revision) return;
  NoteGoneAt(state, event.id, event.revision);
  if (!it->second.gone_at) {
    NoteChange(state, {.id = event.id,
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
  std::set<std::string> there;
  for (const BackendServer& it : event.backends) {
    there.insert(it.id);
    OnListed(state, it);
  }
  std::vector<std::string> gone;
  for (const auto& [name, backend] : state.backends) {
    if (!there.contains(name)) gone.push_back(name);
  }
  for (const std::string& it : gone) {
    // A copy may lack those that live.
    const bool certain = event.certain && !IsJustRestored(state);
    OnUnlisted(state,
               {.id = it, .certain = certain, .revision = event.revision});
  }
  NoteComplete(state, event.revision);
  if (event.asked == Time{}) return;
  OnBackendsConfirmed(state, {.era = event.revision.era, .asked = event.asked});
}

void DropLapsed(State& state) {
  std::vector<std::string> gone;
  for (const auto& [name, backend] : state.backends) {
    if (backend.gone_at && *backend.gone_at <= state.now) gone.push_back(name);
  }
  for (const std::string& it : gone) OnUnlisted(state, {.id = it});
  for (auto& [name, backend] : state.backends) {
    const bool over = backend.gone_until && *backend.gone_until <= state.now;
    if (!over) continue;
    backend.gone_until.reset();
    LogBackend(state, backend.server, "listed", "still listed");
  }
}

void NoteSuccess(State& state, BackendId id) {
  Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  backend->failures = 0;
  backend->answers = backend->answers * (1 - kForgetting) + 1;
  backend->bad_answers *= 1 - kForgetting;
}

void NoteFailure(State& state, BackendId id, const std::string& why) {
  Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  const int doublings = std::min(backend->failures++, kMostDoublings);
  Suspect(state, *backend, kFirstSuspicion * (1 << doublings), why);
}

void NoteBadAnswer(State& state, BackendId id) {
  Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  backend->answers = backend->answers * (1 - kForgetting) + 1;
  backend->bad_answers = backend->bad_answers * (1 - kForgetting) + 1;
  double answers = 0;
  double bad = 0;
  for (const auto& [name, it] : state.backends) {
    if (it.server.service != backend->server.service || it.id == id) continue;
    answers += it.answers;
    bad += it.bad_answers;
  }
  const double usual = answers > 0 ? bad / answers : 0;
  const double own = backend->bad_answers / backend->answers;
  if (backend->answers >= kLeastAnswers && own > usual + kMoreBadAnswers) {
    Suspect(state, *backend, kBadAnswersSuspicion, "bad_answers");
  }
}

void NoteGone(State& state, BackendId id, const std::string& why) {
  Backend* backend = FindBackend(state, id);
  if (backend == nullptr || backend->server.leaving) return;
  backend->server.leaving = true;
  LogBackend(state, backend->server, "leaving", why);
}

void Doubt(State& state, const Suspicion& suspicion) {
  Backend* backend = FindBackend(state, suspicion.backend);
  const bool counts = backend != nullptr && suspicion.failed &&
                      suspicion.until > state.now &&
                      TimingOf(state, backend->server.service) != nullptr;
  if (!counts) return;
  if (backend->doubted_until > state.now) {
    backend->doubted_until = std::max(backend->doubted_until, suspicion.until);
    return;
  }
  const bool in_row = backend->doubted_until != Time{} &&
                      state.now - backend->doubted_until < kRowWithin;
  backend->doubts = in_row ? backend->doubts + 1 : 0;
  const int doublings = std::min(backend->doubts, kMostDoubtDoublings);
  backend->doubted_until =
      std::max(suspicion.until, state.now + kFirstDoubt * (1 << doublings));
  Log(state, "doubted",
      {{"backend", backend->server.id},
       {"times", std::to_string(backend->doubts + 1)},
       {"for_ms", Millis(backend->doubted_until - state.now)}},
      /*routine=*/true);
}

bool IsOnProbation(const State& state, const Backend& backend) {
  return backend.doubted_until != Time{} &&
         backend.doubted_until <= state.now &&
         state.now < backend.doubted_until + kProbation;
}

void EndProbations(State& state, const std::vector<const Work*>& works) {
  for (auto& entry : state.backends) {
    Backend& backend = entry.second;
    if (!IsOnProbation(state, backend)) continue;
    const bool works_again =
        std::any_of(works.begin(), works.end(), [&](const Work* it) {
          return it->backend == backend.id && it->writing &&
                 it->started >= backend.doubted_until;
        });
    if (!works_again) continue;
    backend.doubted_until = Time{};
    backend.doubts = 0;
  }
}

std::set<BackendId> Suspects(const State& state) {
  std::set<BackendId> suspects;
  for (const auto& [name, it] : state.backends) {
    const Time until = std::max(it.avoided_until(), it.doubted_until);
    if (until > state.now) suspects.insert(it.id);
  }
  for (const auto& [address, member] : state.members) {
    const auto& told = member.snapshot;
    if (told.suspicions.empty() || !told.serving || !IsHeard(state, member)) {
      continue;
    }
    for (const Suspicion& it : told.suspicions) {
      if (it.until > state.now) suspects.insert(it.backend);
    }
  }
  return suspects;
}

std::vector<const Backend*> OpenBackends(const State& state,
                                         const std::string& service) {
  std::vector<const Backend*> open;
  for (const auto& [name, backend] : state.backends) {
    if (backend.server.service == service && TakesWork(backend)) {
      open.push_back(&backend);
    }
  }
  std::sort(open.begin(), open.end(),
            [](const Backend* a, const Backend* b) { return a->id < b->id; });
  return open;
}

}  // namespace scaleshed::serving::internal

#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// Daemons of a data centre that put the questions for all of it. Two, so that
// the others hear on when one dies, freezes or is cut off.
constexpr std::size_t kAskers = 2;
// Parts of the time within which news have to be in force. Askers ask so often,
constexpr double kRoundPart = 0.45;
// the second one when it has missed the first one's word: a round and the time
// between two whole snapshots to an asker, which is how old a relayed proof may
// have to be taken for,
constexpr double kStandInPart = 0.63;
// and a daemon asks for itself when what it heard is older: later than a round
// and the time between two whole snapshots to an asker, which is how old a
// relayed proof may have to be taken for; early enough for a question and its
// answer.
constexpr double kOwnPart = 0.74;
// Drawn once for each daemon, so that those who lost their askers don't ask at
// the same moment.
constexpr double kOwnJitterPart = 0.1;
// A new configuration is read by each daemon within this part of that time
// after it heard of it, at a moment that is drawn,
constexpr double kReadPart = 0.15;
// and not more often than this, whatever the number of changes.
constexpr double kReadEveryPart = 0.25;
// Entries that differ from an asker's for longer than relays are underway.
constexpr double kDiffersPart = 0.35;
// A daemon whose question failed does not ask for others for so long, unless
// one succeeds before.
constexpr Duration kUnreachableFor = seconds(5);
// After failed questions; doubled for each, half of it drawn.
constexpr Duration kFirstPause = milliseconds(100);
constexpr int kMostDoublings = 4;
// Many that lost the store together ask no more often together than a few do:
// the first one that is answered tells the others of its data centre. At 59 a
// data centre all asked 245 times a second.
constexpr std::size_t kFewDaemons = 8;
constexpr Duration kMostPause = seconds(4);
// Daemons that went while nobody told are forgotten by a list of all, so often.
constexpr Duration kListEvery = seconds(60);
// Changes that come together are told together.
constexpr Duration kRelayPause = milliseconds(10);
constexpr std::size_t kMostChanges = 64;  // in one message, of about 100 bytes
// Longer than any relay is on its way that still proves something.
constexpr Duration kRemember = seconds(6);
constexpr Duration kSnapshotGrain = milliseconds(20);

Duration RoundOf(const State& state) {
  return PartOf(state.options.news_within, kRoundPart);
}

// The daemons of this data centre that ask, as far as this one can tell: they
// agree on them without a word.
std::vector<std::string> AskersOf(const State& state) {
  const std::string& here = state.options.data_centre;
  auto askers =
      StrongestOf(state, here, ReachesStore(state), [&](const Member& it) {
        return it.snapshot.asks_store && it.snapshot.data_centre == here &&
               IsHeard(state, it);
      });
  askers.resize(std::min(kAskers, askers.size()));
  return askers;
}

StoreDigest DigestOf(const State& state) {
  StoreDigest digest{.configuration = StampOf(state),
                     .endings = state.quarantine.digest()};
  for (const auto& [id, backend] : state.backends) {
    if (!backend.gone_at) digest.backends ^= backend.entry_hash;
  }
  return digest;
}

Time OwnQuestionDue(const State& state) {
  const double jitter =
      static_cast<double>(HashBytes(state.options.peer_address) % 1000) / 1000;
  const Duration limit =
      PartOf(state.options.news_within, kOwnPart + kOwnJitterPart * jitter);
  // After its start a daemon waits as long for a first proof.
  const Time proved = ProvedAt(state);
  const Time since = proved == Time{} ? state.store.role_at : proved;
  return std::max(state.store.ask_due, since + limit);
}

Time QuestionDue(const State& state) {
  const StoreFollowing& store = state.store;
  if (!store.watching) return OwnQuestionDue(state);
  if (store.leads) return store.ask_due;
  const Duration missed = PartOf(state.options.news_within, kStandInPart);
  return std::max(store.ask_due, ProvedAt(state) + missed);
}

bool HasNews(const State& state) {
  const StoreFollowing& store = state.store;
  return StampOf(state) != store.told_configuration ||
         std::any_of(store.endings.begin(), store.endings.end(),
                     [](const SeenEndings& it) { return !it.told; }) ||
         std::any_of(store.changes.begin(), store.changes.end(),
                     [](const SeenChange& it) { return !it.told; });
}

bool HasProof(const State& state) {
  return ProvedAt(state) > state.store.relayed_proof;
}

void TakeRole(State& state) {
  const auto askers = AskersOf(state);
  const std::string& own = state.options.peer_address;
  state.store.askers = {askers.begin(), askers.end()};
  state.store.leads = !askers.empty() && askers.front() == own;
  const bool asker = state.store.askers.contains(own);
  if (asker == state.store.watching) return;
  state.store.watching = asker;
  state.effects.emplace_back(WatchStore{.on = asker});
  Log(state, "store_role",
      {{"asks", asker ? "true" : "false"},
       {"data_centre", state.options.data_centre},
       {"proved_ms_ago", Millis(state.now - ProvedAt(state))}});
}

void Ask(State& state) {
  StoreFollowing& store = state.store;
  if (!store.watching) {
    Log(state, "asks_for_itself",
        {{"proved_ms_ago", Millis(state.now - ProvedAt(state))},
         {"failures", std::to_string(store.failures)}});
  }
  store.ask_due = state.now + RoundOf(state);
  NoteQuestion(state);
  AskStore question{.configuration = StoredRevision(state), .backends = {}};
  for (const auto& [id, backend] : state.backends) {
    if (backend.gone_at) continue;
    question.backends.emplace_back(id, backend.server.revision);
  }
  state.effects.emplace_back(std::move(question));
}

// A daemon of this data centre that has told that it has that revision; drawn,
// so that each that has got it takes a share of those that lack it; else who
// told of it.
std::string HolderOf(State& state, const ConfigurationStamp& stamp) {
  std::vector<const std::string*> holders;
  for (const auto& [address, member] : state.members) {
    const LoadSnapshot& told = member.snapshot;
    const bool has = !IsNewer(stamp, told.configuration) && told.serving &&
                     told.data_centre == state.options.data_centre;
    if (has && IsHeard(state, member)) holders.push_back(&address);
  }
  if (holders.empty()) return state.store.read_from;
  return *holders[state.random() % holders.size()];
}

void ReadWhatIsNewer(State& state) {
  StoreFollowing& store = state.store;
  if (store.read_due && *store.read_due <= state.now) {
    store.read_due.reset();
    store.read_at = state.now;
    ReadConfiguration read{.wanted = store.read_wanted,
                           .from = HolderOf(state, store.read_wanted)};
    Log(state, "reads_configuration",
        {{"version", std::to_string(read.wanted.version)},
         {"era", std::to_string(read.wanted.revision.era)},
         {"revision", std::to_string(read.wanted.revision.number)},
         {"from", read.from}});
    state.effects.emplace_back(std::move(read));
  }
  const bool differs = store.list_due && *store.list_due <= state.now;
  if (!differs && state.now < store.listed_at + kListEvery) return;
  store.list_due.reset();
  store.listed_at = state.now + Drawn(state, kListEvery / 4);
  NoteQuestion(state);
  Log(state, "lists_store", {{"why", differs ? "differs" : "usual"}});
  state.effects.emplace_back(ListStore{});
}

std::vector<BackendChange> ChangesToTell(const State& state, bool all) {
  std::vector<BackendChange> changes;
  for (auto it = state.store.changes.rbegin(); it != state.store.changes.rend();
       ++it) {
    if (changes.size() == kMostChanges) break;
    if (all || !it->told) changes.push_back(it->change);
  }
  std::reverse(changes.begin(), changes.end());
  return changes;
}

std::vector<StoredEndings> EndingsToTell(const State& state, bool all) {
  std::vector<StoredEndings> endings;
  for (const SeenEndings& it : state.store.endings) {
    if (all || !it.told) endings.push_back(it.endings);
  }
  // The newest; a list brings the rest.
  const std::size_t n = std::min(endings.size(), kMostChanges);
  return {endings.end() - static_cast<std::ptrdiff_t>(n), endings.end()};
}

void Relay(State& state) {
  StoreFollowing& store = state.store;
  const bool proof = HasProof(state);
  if (!proof && state.now - store.relayed_at < kRelayPause) return;
  StoreRelay relay{.peer_address = state.options.peer_address,
                   .era = store.era.number,
                   .digest = DigestOf(state),
                   .changes = ChangesToTell(state, proof),
                   .endings = EndingsToTell(state, proof),
                   .complete_at = store.complete_at,
                   .age = {},
                   .configuration_age = {},
                   .daemons = 0,
                   .daemons_age = {}};
  if (proof && store.backends_confirmed_at != Time{}) {
    relay.age = state.now - store.backends_confirmed_at;
  }
  const bool settled = store.era.settled && !AwaitsOperators(state);
  if (proof && settled && state.confirmed_at != Time{}) {
    relay.configuration_age = state.now - state.confirmed_at;
  }
  if (proof && store.entries_at != Time{}) {
    relay.daemons = store.entries;
    relay.daemons_age = state.now - store.entries_at;
  }
  RelayStore effect;
  for (const auto& [address, member] : state.members) {
    const bool here = member.snapshot.data_centre == state.options.data_centre;
    if (!here || !IsHeard(state, member)) continue;
    relay.heard_life = member.snapshot.life;
    relay.heard_sequence = member.snapshot.sequence;
    effect.messages.emplace_back(address, relay);
  }
  store.relayed_at = state.now;
  store.relayed_proof = ProvedAt(state);
  store.told_configuration = StampOf(state);
  for (SeenChange& it : store.changes) it.told = true;
  for (SeenEndings& it : store.endings) it.told = true;
  if (!effect.messages.empty()) state.effects.emplace_back(std::move(effect));
}

void ForgetOld(State& state) {
  StoreFollowing& store = state.store;
  const Time tell_from = state.now - state.options.news_within;
  while (!store.changes.empty() && store.changes.front().seen < tell_from) {
    store.changes.pop_front();
  }
  while (!store.endings.empty() && store.endings.front().seen < tell_from) {
    store.endings.pop_front();
  }
  // News of an entry are not on their way for longer than a list is apart.
  std::erase_if(store.gone, [&](const auto& it) {
    return it.second.seen < state.now - kListEvery;
  });
}

// When this daemon's snapshot of that number left, or a little earlier; nothing
// where that is not remembered.
std::optional<Time> SentAt(const State& state, std::uint64_t life,
                           std::uint64_t sequence) {
  if (life != state.options.life) return std::nullopt;
  std::optional<Time> at;
  for (const auto& [number, time] : state.store.sent_snapshots) {
    if (number > sequence) break;
    at = time;
  }
  return at;
}

// The asker knows just as much of this era: so do the revisions here.
void AdoptEra(State& state) {
  const std::uint64_t era = state.store.era.number;
  if (std::exchange(state.store.era.adopted, era) == era) return;
  for (auto& [id, backend] : state.backends) {
    // One that the copy lacks has no revision there.
    if (!backend.gone_at) backend.server.revision.era = era;
  }
  state.quarantine.AdoptEra(era);
}

// What is proved by an asker that knows just as much.
void TakeProof(State& state, const StoreRelay& relay, Time sent) {
  StoreFollowing& store = state.store;
  const StoreDigest own = DigestOf(state);
  TakeProvedBy(state, relay, sent);
  if (!relay.age) return;
  const bool same_backends = relay.digest.backends == own.backends;
  if (same_backends) {
    ConfirmBackends(state, sent - *relay.age);
    NoteComplete(state, relay.complete_at);
  }
  if (same_backends && relay.digest.endings == own.endings) {
    store.list_due.reset();
    AdoptEra(state);
  } else if (!store.list_due) {
    store.list_due =
        state.now + PartOf(state.options.news_within, kDiffersPart);
  }
}

}  // namespace

void PlanReading(State& state, const ConfigurationStamp& stamp,
                 const std::string& told_by) {
  StoreFollowing& store = state.store;
  if (!IsNewer(stamp, StampOf(state))) return;
  if (IsNewer(stamp, store.read_wanted)) {
    store.read_from = told_by;
    store.read_wanted = stamp;
  }
  if (store.read_due) return;
  const Duration within = state.options.news_within;
  store.read_due = std::max(state.now + Drawn(state, PartOf(within, kReadPart)),
                            store.read_at + PartOf(within, kReadEveryPart));
}

bool ReachesStore(const State& state) {
  if (state.stop_at) return false;
  return state.store.failures == 0 ||
         state.now - state.store.unreachable_at > kUnreachableFor;
}

void TakeRoles(State& state) {
  if (state.store.has_role) TakeRole(state);
  TakeAudience(state);
}

void FollowStore(State& state) {
  StoreFollowing& store = state.store;
  if (!store.begun) {
    // Who else is there is heard before it is decided who asks.
    store.begun = true;
    store.ask_due = state.now + RoundOf(state);
    store.listed_at = state.now;
    return;
  }
  if (!store.has_role) {
    if (state.now < store.ask_due) return;
    store.has_role = true;
    store.role_at = state.now;
    TakeRoles(state);
  }
  if (QuestionDue(state) <= state.now) Ask(state);
  ReadWhatIsNewer(state);
  if (store.watching && (HasProof(state) || HasNews(state))) Relay(state);
  NoteSettledEraDue(state);
  ForgetOld(state);
}

Time StoreDue(const State& state) {
  const StoreFollowing& store = state.store;
  if (!store.begun) return state.now;
  if (!store.has_role) return store.ask_due;
  Time due = std::max(QuestionDue(state), state.ticked_at);
  if (store.read_due) due = std::min(due, *store.read_due);
  if (store.watching && HasProof(state)) due = state.now;
  if (store.watching && HasNews(state)) {
    due = std::min(due, store.relayed_at + kRelayPause);
  }
  return due;
}

void NoteStoreReached(State& state) {
  state.store.failures = 0;
  NoteStoreHeard(state);
}

void OnBackendsConfirmed(State& state, const BackendsConfirmed& event) {
  NoteStoreReached(state);
  if (event.era != state.store.era.number) return;
  ConfirmBackends(state, event.asked);
}

void OnStoreUnreachable(State& state) {
  StoreFollowing& store = state.store;
  store.unreachable_at = state.now;
  const int doublings = std::min(store.failures++, kMostDoublings);
  const auto heard = std::count_if(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        return it.second.snapshot.data_centre == state.options.data_centre &&
               IsHeard(state, it.second);
      });
  const double times = std::max(
      1.0, static_cast<double>(heard + 1) / static_cast<double>(kFewDaemons));
  const Duration most =
      std::min(PartOf(kFirstPause * (1 << doublings), times), kMostPause);
  store.ask_due = state.now + most / 2 + Drawn(state, most / 2);
}

void OnStoreRelay(State& state, const StoreRelay& relay) {
  NoteEra(state, relay.era, relay.peer_address);
  for (const BackendChange& it : relay.changes) {
    if (it.server) {
      OnListed(state, *it.server);
    } else {
      OnUnlisted(state,
                 {.id = it.id, .certain = it.certain, .revision = it.revision});
    }
  }
  for (const StoredEndings& it : relay.endings) OnEndingsStored(state, it);
  PlanReading(state, relay.digest.configuration, relay.peer_address);
  if (!relay.age && !relay.configuration_age) return;
  // What was proved of a history that is lost proves nothing.
  if (relay.era != state.store.era.number) return;
  if (relay.age) NoteHeardByOthers(state, *relay.age);
  // It was sent after that snapshot of ours had left, on our clock.
  const auto sent = SentAt(state, relay.heard_life, relay.heard_sequence);
  if (!sent) return;
  TakeProof(state, relay, *sent);
  if (relay.daemons_age) {
    OnDaemonsCounted(
        state, {.daemons = relay.daemons, .asked = *sent - *relay.daemons_age});
  }
}

void NoteChange(State& state, BackendChange change) {
  // Those who listen have nobody to tell.
  if (!state.store.watching) return;
  state.store.changes.push_back(
      {.change = std::move(change), .seen = state.now});
}

void NoteGoneAt(State& state, const std::string& id,
                const StoreRevision& revision) {
  if (revision.number == 0) return;
  GoneEntry& entry = state.store.gone[id];
  const auto known = state.backends.find(id);
  if (known != state.backends.end()) entry.born = known->second.server.born;
  entry.revision = std::max(entry.revision, revision);
  entry.seen = state.now;
}

void NoteComplete(State& state, const StoreRevision& revision) {
  state.store.complete_at = std::max(state.store.complete_at, revision);
  NoteFirstNumber(state, revision);
}

bool IsGoneSince(const State& state, const std::string& id,
                 const StoreRevision& revision) {
  const bool known = state.backends.contains(id);
  if (!known && revision < state.store.complete_at) return true;
  const auto it = state.store.gone.find(id);
  return it != state.store.gone.end() && revision < it->second.revision;
}

void NoteSnapshotSent(State& state) {
  auto& sent = state.store.sent_snapshots;
  if (!sent.empty() && state.now - sent.back().second < kSnapshotGrain) return;
  sent.emplace_back(state.sequence, state.now);
  while (sent.front().second < state.now - kRemember) sent.pop_front();
}

}  // namespace scaleshed::serving::internal

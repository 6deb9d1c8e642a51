#include <algorithm>
#include <utility>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// Each daemon gets a whole snapshot so often: two that are lost in a row don't
// make a living daemon silent. Those that are not heard, more
// rarely. Moments differ from daemon to daemon: 75 whole snapshots at once
// would keep a link of 20 Mbit/s from requests for 15 ms.
constexpr Duration kWholeEvery = milliseconds(800);
constexpr Duration kWholeToSilent = seconds(2);
// A daemon that has just started says so within this, at a moment that is
// drawn: who places and who asks the store is agreed by what is heard.
constexpr Duration kFirstWhole = milliseconds(150);
// What an asker proves counts from the last snapshot of ours that it has heard.
constexpr Duration kWholeToAsker = milliseconds(400);
// Changes are told at once; while something waits this often without one, as
// others order theirs by it.
constexpr Duration kBusyHeartbeat = milliseconds(100);

bool AnyWaits(const State& state) {
  return std::any_of(
      state.requests.begin(), state.requests.end(),
      [](const auto& it) { return it.second.phase == Phase::kWaiting; });
}

// All but the works.
LoadSnapshot OwnSnapshot(State& state, bool partial) {
  LoadSnapshot snapshot{.instance = state.options.instance,
                        .peer_address = state.options.peer_address,
                        .data_centre = state.options.data_centre,
                        .life = state.options.life,
                        .sequence = ++state.sequence,
                        .serving = IsServing(state),
                        .asks_store = ReachesStore(state),
                        .is_hub = state.dispatch.is_hub,
                        .places = PlacesForOthers(state),
                        .capacity = state.options.capacity,
                        .configuration = StampOf(state),
                        .era = state.store.era.number,
                        .unsettled_for = UnsettledFor(state)};
  snapshot.endings = state.quarantine.News(state.now, /*latest=*/partial);
  snapshot.asked = AskedContents(state);
  snapshot.limits = LimitsToTell(state, /*news=*/partial);
  snapshot.leaving = LeavingToTell(state, /*news=*/partial);
  // A placer's line is its own.
  if (state.dispatch.all_place) snapshot.waiting = WaitingOf(state);
  for (const auto& [name, backend] : state.backends) {
    if (backend.avoided_until() > state.now) {
      snapshot.suspicions.push_back(
          {.backend = backend.id,
           .until = backend.avoided_until(),
           .failed = backend.suspect_until > state.now});
    }
  }
  return snapshot;
}

ToldHeader HeaderOf(const LoadSnapshot& snapshot) {
  return {.serving = snapshot.serving,
          .asks_store = snapshot.asks_store,
          .is_hub = snapshot.is_hub,
          .places = snapshot.places,
          .configuration = snapshot.configuration,
          .era = snapshot.era,
          .settled = snapshot.unsettled_for == Duration::zero()};
}

// Notes what the others are told, and puts what is new of it into `snapshot`.
void TellWorks(State& state, LoadSnapshot& snapshot) {
  snapshot.partial = true;
  for (const auto& [key, request] : state.requests) {
    if (request.phase == Phase::kWaiting) continue;
    const auto told = state.told_works.find(request.work.id);
    if (told != state.told_works.end() && told->second == request.work) {
      continue;
    }
    snapshot.works.push_back(request.work);
    state.told_works[request.work.id] = request.work;
  }
  std::erase_if(state.told_works, [&](const auto& it) {
    const auto found = state.requests.find(it.first);
    const bool over =
        found == state.requests.end() || found->second.phase == Phase::kWaiting;
    if (over) snapshot.ended.push_back(it.first);
    return over;
  });
}

// Between two whole snapshots to that daemon.
Duration WholePause(const State& state, const std::string& peer_address) {
  // Those of other data centres don't tell a hub that they live.
  if (!TellsUs(state, peer_address)) return kWholeEvery;
  const auto member = state.members.find(peer_address);
  if (member == state.members.end() || !IsHeard(state, member->second)) {
    return kWholeToSilent;
  }
  return state.store.askers.contains(peer_address) ? kWholeToAsker
                                                   : kWholeEvery;
}

// Until the next whole snapshot to that daemon; `first`: to tell it the first.
Duration NextPause(State& state, const std::string& peer, bool first) {
  if (first) return Drawn(state, IsYoung(state) ? kFirstWhole : kWholeEvery);
  const Duration pause = WholePause(state, peer);
  // After first ones that were told close together the moments differ again.
  return IsYoung(state) ? Drawn(state, pause) : pause;
}

void Apply(const LoadSnapshot& partial, LoadSnapshot& known) {
  LoadSnapshot next = partial;
  next.partial = false;
  next.instance = known.instance;
  next.data_centre = known.data_centre;
  next.capacity = known.capacity;
  next.ended.clear();
  next.works = std::move(known.works);
  std::erase_if(next.works, [&](const Work& it) {
    const auto same = [&](const Work& other) { return other.id == it.id; };
    return std::find(partial.ended.begin(), partial.ended.end(), it.id) !=
               partial.ended.end() ||
           std::any_of(partial.works.begin(), partial.works.end(), same);
  });
  next.works.insert(next.works.end(), partial.works.begin(),
                    partial.works.end());
  known = std::move(next);
}

}  // namespace

void OnSnapshot(State& state, const SnapshotReceived& event) {
  const LoadSnapshot& snapshot = event.snapshot;
  if (snapshot.peer_address == state.options.peer_address) return;
  // These hold whatever else it says, and however late.
  TakeEndings(state, snapshot.endings);
  HearRestore(state, snapshot);
  const auto known = state.members.find(snapshot.peer_address);
  const bool same_life = known != state.members.end() &&
                         known->second.snapshot.life == snapshot.life;
  // A part of nothing says too little.
  if (snapshot.partial && !same_life) return;
  Member& member = state.members[snapshot.peer_address];
  const LoadSnapshot& last = member.snapshot;
  const bool newer = snapshot.life > last.life ||
                     (same_life && snapshot.sequence > last.sequence);
  if (!newer) return;
  if (!IsHeard(state, member) || last.serving != snapshot.serving) {
    Log(state, "member",
        {{"peer", snapshot.peer_address},
         {"serving", snapshot.serving ? "true" : "false"},
         {"life", std::to_string(snapshot.life)}});
  }
  // One that begins to place knows nothing of what was told to others.
  const bool begins = snapshot.places && !(same_life && last.places);
  // One that has just started asks nobody before it hears who places, and
  // proves nothing before it hears of restores.
  const bool starts =
      !same_life && (state.dispatch.is_hub || state.dispatch.all_place);
  if (begins || starts) state.whole_due[snapshot.peer_address] = state.now;
  for (const ServerLimit& it : snapshot.limits) {
    TakeLimit(state, it, /*own=*/false);
  }
  for (const BackendId it : snapshot.leaving) {
    TakeLeaving(state, it, /*request=*/"", /*own=*/false);
  }
  const std::vector<Work> none;
  NoteStartsOf(state, snapshot, same_life ? last.works : none);
  if (snapshot.partial) {
    Apply(snapshot, member.snapshot);
  } else {
    member.snapshot = snapshot;
  }
  member.heard = state.now;
  TakeFirstProof(state);
  for (const Suspicion& it : snapshot.suspicions) Doubt(state, it);
  if (!PlacesItself(state)) {
    // Nobody tells it when these end.
    member.snapshot.works.clear();
    return;
  }
  ForgetTold(state, snapshot);
  StartWaiting(state);
}

void PublishChanges(State& state) {
  const bool heartbeat = state.dispatch.all_place &&
                         state.now - state.published_at >= kBusyHeartbeat &&
                         AnyWaits(state);
  if (!state.changed && !heartbeat) return;
  state.changed = false;
  state.published_at = state.now;
  PublishSnapshot effect{.to = {},
                         .snapshot = OwnSnapshot(state, /*partial=*/true)};
  TellWorks(state, effect.snapshot);
  const ToldHeader header = HeaderOf(effect.snapshot);
  const bool news_of_endings = std::exchange(state.endings_news, false);
  const bool all_hear =
      std::exchange(state.told_header, header) != header || news_of_endings;
  const bool suspects =
      std::exchange(state.told_suspicions, effect.snapshot.suspicions) !=
      effect.snapshot.suspicions;
  const bool asks = std::exchange(state.told_asked, effect.snapshot.asked) !=
                    effect.snapshot.asked;
  const bool news =
      all_hear || suspects || asks || !effect.snapshot.limits.empty() ||
      !effect.snapshot.leaving.empty() || !effect.snapshot.works.empty() ||
      !effect.snapshot.ended.empty();
  if (!news && !state.dispatch.all_place) return;
  for (const auto& [address, member] : state.members) {
    const bool hears =
        all_hear ? HearsAlive(state, address) : HearsWorks(state, address);
    if (hears && IsHeard(state, member)) effect.to.push_back(address);
  }
  NoteSnapshotSent(state);
  if (!effect.to.empty()) state.effects.emplace_back(std::move(effect));
}

void PublishWhole(State& state) {
  std::set<std::string> peers;
  for (const auto& [address, data_centre] : state.listed_peers) {
    if (HearsAlive(state, address)) peers.insert(address);
  }
  for (const auto& [address, member] : state.members) {
    if (HearsAlive(state, address)) peers.insert(address);
  }
  std::erase_if(state.whole_due,
                [&](const auto& it) { return !peers.contains(it.first); });
  PublishSnapshot effect;
  PublishSnapshot with_works;
  for (const std::string& it : peers) {
    Time& due = state.whole_due[it];
    if (due > state.now) continue;
    // The first pause is drawn, so that the moments differ from then on.
    const bool first = due == Time{};
    due = state.now + NextPause(state, it, first);
    (HearsWorks(state, it) ? with_works : effect).to.push_back(it);
  }
  if (effect.to.empty() && with_works.to.empty()) return;
  effect.snapshot = OwnSnapshot(state, /*partial=*/false);
  with_works.snapshot = effect.snapshot;
  // A placer is told of a limit when it is named, and again where it places as
  // if it didn't know.
  if (!state.dispatch.all_place) with_works.snapshot.limits.clear();
  // Only those that hear of works go by these.
  effect.snapshot.limits.clear();
  effect.snapshot.leaving.clear();
  for (const auto& [key, request] : state.requests) {
    if (request.phase != Phase::kWaiting) {
      with_works.snapshot.works.push_back(request.work);
    }
  }
  NoteSnapshotSent(state);
  for (PublishSnapshot* it : {&with_works, &effect}) {
    if (!it->to.empty()) state.effects.emplace_back(std::move(*it));
  }
}

}  // namespace scaleshed::serving::internal

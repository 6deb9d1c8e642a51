#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// Placement duties and snapshot recipients. In a small fleet each daemon
// publishes everything to all others and places its own prompts. That costs n
// messages for each change among n daemons, so in a larger fleet a daemon sends
//   - heartbeats to the daemons of its own data centre, which need them for
//     clients' address queries and to agree on the store pollers, and
//   - its active requests to the two placers of the fleet.
// The two hubs of each data centre, from which the placers are chosen, send
// heartbeats to all daemons. A heartbeat is a snapshot without active requests.
namespace scaleshed::serving::internal {
namespace {

// Up to this fleet size each daemon receives all active requests. At 16 daemons
// and 45 requests/s that is 2,000 messages a second in the fleet; 76 daemons
// with 120 requests/s send 27,000, which delays responses on links of 20 Mbit/s
// by several milliseconds.
constexpr std::size_t kMaxDaemonsPlacingLocally = 16;
constexpr std::size_t kHubsPerDataCentre = 2;
// The share of the listed daemons of its data centre that a daemon has to know
// in order to take the duty of a hub right after the start of a whole fleet.
constexpr double kKnownShareOfDataCentre = 0.75;
// Limit on the hubs that a daemon sends placement requests to, while no placer
// responds, before it places locally. A dead placer is detected only after 2 s
// without a snapshot. If half of the daemons die at once and both placers are
// among them, each daemon would place its prompts locally for that time,
// without knowing the others' active requests. Two fallback placers are too
// few, since the first four hubs can die together; with three data centres,
// four are all hubs besides the placers.
constexpr std::size_t kMaxFallbackPlacers = 4;

bool ServesInThisDataCentre(const State& state, const Member& member) {
  return member.snapshot.serving && IsLive(state, member) &&
         member.snapshot.data_centre == state.options.data_centre;
}

bool IsAmongStrongestHubs(const State& state) {
  if (!IsServing(state)) return false;
  const auto hubs = StrongestOf(
      state, state.options.data_centre, /*self=*/true,
      [&](const Member& it) { return ServesInThisDataCentre(state, it); });
  const auto end = hubs.begin() + std::min<std::ptrdiff_t>(kHubsPerDataCentre,
                                                           std::ssize(hubs));
  return std::find(hubs.begin(), end, state.options.peer_address) != end;
}

// Whether this daemon knows the daemons of its data centre well enough to tell
// that it is among the strongest. After the start of a whole fleet that is so
// long before the store pollers are determined. Waiting for them would let each
// daemon place its prompts without knowing those of the others.
bool KnowsDataCentre(const State& state) {
  if (state.store.has_role) return true;
  if (!state.peers_listed) return false;
  std::size_t listed = 0;
  std::size_t serving = 0;
  for (const auto& [address, data_centre] : state.listed_peers) {
    if (data_centre != state.options.data_centre) continue;
    ++listed;
    const auto member = state.members.find(address);
    if (member != state.members.end() &&
        ServesInThisDataCentre(state, member->second))
      ++serving;
  }
  return static_cast<double>(serving) >=
         kKnownShareOfDataCentre * static_cast<double>(listed);
}

// Returns all live hubs in order of preference as placers.
std::vector<std::string> RankedHubs(const State& state) {
  return StrongestOf(
      state, "placers", state.dispatch.is_hub, [&](const Member& it) {
        return it.snapshot.is_hub && it.snapshot.serving && IsLive(state, it);
      });
}

// Returns the two placers. The second one is in another data centre than the
// first, if possible, so that losing the connection to one data centre loses
// only one placer.
std::vector<std::string> ChoosePlacers(const State& state,
                                       const std::vector<std::string>& hubs) {
  if (hubs.empty()) return {};
  const std::string first_data_centre = DataCentreOf(state, hubs.front());
  const auto second =
      std::find_if(hubs.begin(), hubs.end(), [&](const std::string& it) {
        return DataCentreOf(state, it) != first_data_centre;
      });
  if (second != hubs.end()) return {hubs.front(), *second};
  return {hubs.begin(),
          hubs.begin() + std::min<std::ptrdiff_t>(2, std::ssize(hubs))};
}

std::vector<std::string> ChooseFallbackPlacers(
    const std::vector<std::string>& hubs,
    const std::vector<std::string>& placers) {
  std::vector<std::string> fallback_placers;
  for (const std::string& it : hubs) {
    const bool is_placer =
        std::find(placers.begin(), placers.end(), it) != placers.end();
    if (!is_placer && fallback_placers.size() < kMaxFallbackPlacers)
      fallback_placers.push_back(it);
  }
  return fallback_placers;
}

}  // namespace

std::string DataCentreOf(const State& state, const std::string& peer) {
  if (peer == state.options.peer_address) return state.options.data_centre;
  const auto member = state.members.find(peer);
  if (member != state.members.end()) return member->second.snapshot.data_centre;
  const auto listed = state.listed_peers.find(peer);
  return listed == state.listed_peers.end() ? "" : listed->second;
}

std::uint64_t RankOf(const std::string& peer_address,
                     const std::string& subject) {
  return HashBytes(peer_address, HashBytes(subject));
}

std::vector<std::string> StrongestOf(
    const State& state, const std::string& subject, bool self,
    const std::function<bool(const Member&)>& can) {
  std::vector<std::tuple<double, std::uint64_t, std::string>> ranked;
  const auto add = [&](double capacity, const std::string& address) {
    ranked.emplace_back(capacity, RankOf(address, subject), address);
  };
  if (self) add(state.options.capacity, state.options.peer_address);
  for (const auto& [address, member] : state.members) {
    if (can(member)) add(member.snapshot.capacity, address);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<std::string> strongest;
  strongest.reserve(ranked.size());
  for (auto& it : ranked) {
    strongest.push_back(std::move(std::get<std::string>(it)));
  }
  return strongest;
}

bool IsPlacer(const State& state, const std::string& peer_address) {
  const auto& placers = state.dispatch.placers;
  return std::find(placers.begin(), placers.end(), peer_address) !=
         placers.end();
}

bool PlacesForOthers(const State& state) {
  const PlacementDuties& dispatch = state.dispatch;
  if (dispatch.place_locally) return false;
  return IsPlacer(state, state.options.peer_address) ||
         dispatch.fallback_until > state.now;
}

bool ReceivesAllActiveRequests(const State& state) {
  return state.dispatch.place_locally || PlacesForOthers(state);
}

void UpdatePlacementMode(State& state) {
  state.dispatch.place_locally =
      LiveDaemons(state) <= kMaxDaemonsPlacingLocally;
  state.slack_share.RecordDaemonCount(state.now, LiveDaemons(state));
  const DaemonCount count = CountOf(state);
  if (count == state.logged_daemon_count) return;
  state.logged_daemon_count = count;
  Log(state, "daemons",
      {{"heard", std::to_string(count.live)},
       {"listed", std::to_string(count.listed)},
       {"entries", std::to_string(count.entries)}});
}

void UpdatePlacementDuties(State& state) {
  PlacementDuties& dispatch = state.dispatch;
  UpdatePlacementMode(state);
  const bool was_hub = dispatch.is_hub;
  // This daemon takes a duty only once it knows the other daemons, but it uses
  // the placers at once.
  dispatch.is_hub = !dispatch.place_locally && KnowsDataCentre(state) &&
                    IsAmongStrongestHubs(state);
  const auto hubs =
      dispatch.place_locally ? std::vector<std::string>{} : RankedHubs(state);
  auto placers = ChoosePlacers(state, hubs);
  dispatch.fallback_placers = ChooseFallbackPlacers(hubs, placers);
  if (was_hub != dispatch.is_hub) state.has_unpublished_changes = true;
  if (state.published_header.places != PlacesForOthers(state))
    state.has_unpublished_changes = true;
  if (placers == dispatch.placers) return;
  state.has_unpublished_changes = true;
  // A new placer hasn't received the active requests that this daemon published
  // to the previous placers.
  for (const std::string& it : placers) {
    if (!IsPlacer(state, it)) state.full_snapshot_due[it] = state.now;
  }
  dispatch.placers = std::move(placers);
  const auto name = [&](std::size_t i) {
    return i < dispatch.placers.size() ? dispatch.placers[i] : "";
  };
  Log(state, "placers",
      {{"first", name(0)},
       {"second", name(1)},
       {"is_hub", dispatch.is_hub ? "true" : "false"},
       {"daemons", std::to_string(LiveDaemons(state))}});
}

bool ReceivesHeartbeats(const State& state, const std::string& peer) {
  return state.dispatch.is_hub || ReceivesActiveRequests(state, peer) ||
         DataCentreOf(state, peer) == state.options.data_centre;
}

bool SendsUsHeartbeats(const State& state, const std::string& peer) {
  if (ReceivesAllActiveRequests(state)) return true;
  const auto member = state.members.find(peer);
  const bool is_hub =
      member != state.members.end() && member->second.snapshot.is_hub;
  return is_hub || DataCentreOf(state, peer) == state.options.data_centre;
}

bool ReceivesActiveRequests(const State& state, const std::string& peer) {
  if (state.dispatch.place_locally || IsPlacer(state, peer)) return true;
  const auto member = state.members.find(peer);
  return member != state.members.end() && member->second.snapshot.places &&
         IsLive(state, member->second);
}

}  // namespace scaleshed::serving::internal

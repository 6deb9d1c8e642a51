#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// Which daemons clients are directed to.
namespace scaleshed::serving {
namespace internal {
namespace {

// Limit on the addresses in the response to a client's addresses query.
constexpr std::size_t kMaxAddresses = 64;
// If fewer daemons than this serve in the preferred data centre, clients also
// get the addresses of daemons in other data centres.
constexpr std::size_t kMinAddresses = 4;
// If no daemon is known to serve, clients also get the addresses of daemons
// whose last snapshot is at most this old. Live daemons may be silent for a
// moment; one that is gone must not be named 7 s later.
constexpr Duration kMaxSilenceToBeNamed = seconds(5);
// Daemons are named with different probabilities if the capacity of the
// strongest is more than this multiple of the capacity of the weakest.
constexpr double kMinCapacityRatio = 2;
// Probability that the weakest daemon is named; that of the strongest is 1.
constexpr double kMinNamingProbability = 0.5;

// A daemon that a response may name.
struct Candidate {
  std::string instance;
  std::string data_centre;
  double capacity = 1;
};
using Candidates = std::vector<Candidate>;

Candidate CandidateOf(const Member& member) {
  return {.instance = member.snapshot.instance,
          .data_centre = member.snapshot.data_centre,
          .capacity = member.snapshot.capacity};
}

Candidate ThisDaemon(const State& state) {
  return {.instance = state.options.instance,
          .data_centre = state.options.data_centre,
          .capacity = state.options.capacity};
}

Candidates DaemonsThatTakeClients(const State& state) {
  Candidates daemons;
  for (const auto& [address, member] : state.members) {
    const bool takes_clients =
        member.snapshot.serving && !member.snapshot.withdrawn;
    if (IsLive(state, member) && takes_clients)
      daemons.push_back(CandidateOf(member));
  }
  if (TakesClients(state)) daemons.push_back(ThisDaemon(state));
  return daemons;
}

// Any of these daemons may be the first to serve again.
Candidates DaemonsHeardOfLately(const State& state) {
  Candidates daemons{ThisDaemon(state)};
  for (const auto& [address, member] : state.members) {
    if (state.now - member.received_at < kMaxSilenceToBeNamed)
      daemons.push_back(CandidateOf(member));
  }
  return daemons;
}

// Returns the client's region; empty if it is unknown.
std::string RegionOfClient(const State& state, const AddressesQuery& query) {
  if (!query.region.empty()) return query.region;
  const std::string region = RegionOf(state, query.data_centre);
  return region.empty() ? OwnRegion(state) : region;
}

Candidates InRegions(const State& state, const Candidates& daemons,
                     const AllowedRegions& regions) {
  Candidates inside;
  std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(inside),
               [&](const Candidate& it) {
                 return IsRegionAllowed(regions,
                                        RegionOfDaemons(state, it.data_centre));
               });
  return inside;
}

// Returns the daemons of the client's region; if there are none, those of
// regions that all routes of the host allow; if there are none either, all.
Candidates NarrowToRegion(const State& state, const AddressesQuery& query,
                          const std::string& client_region,
                          Candidates daemons) {
  if (state.options.regions.empty()) return daemons;
  Candidates narrowed =
      InRegions(state, daemons, std::set<std::string>{client_region});
  if (narrowed.empty())
    narrowed = InRegions(state, daemons, RegionsOfHost(state, query.host));
  return narrowed.empty() ? daemons : narrowed;
}

// Returns the daemons of `data_centre`, with those of others if they are few.
Candidates PreferDataCentre(const std::string& data_centre,
                            Candidates daemons) {
  const auto elsewhere = std::stable_partition(
      daemons.begin(), daemons.end(),
      [&](const Candidate& it) { return it.data_centre == data_centre; });
  const auto here =
      static_cast<std::size_t>(std::distance(daemons.begin(), elsewhere));
  if (here >= kMinAddresses) daemons.erase(elsewhere, daemons.end());
  return daemons;
}

// A number in [0, 1) that differs between daemons, times and responses.
double DrawFor(const State& state, const Candidate& candidate) {
  const std::uint64_t subject = HashBytes(
      state.options.peer_address,
      static_cast<std::uint64_t>(state.now.time_since_epoch().count()));
  constexpr std::uint64_t kSteps = 1 << 20;
  return static_cast<double>(HashBytes(candidate.instance, subject) % kSteps) /
         static_cast<double>(kSteps);
}

// Leaves out weaker daemons from some responses, so that they get fewer
// clients. All daemons stay where capacities are about equal, and in a small
// fleet, whose clients need every daemon to fall back on.
Candidates DrawByCapacity(const State& state, Candidates daemons) {
  if (state.dispatch.place_locally || daemons.size() <= kMinAddresses)
    return daemons;
  const auto [weakest, strongest] = std::minmax_element(
      daemons.begin(), daemons.end(),
      [](const auto& a, const auto& b) { return a.capacity < b.capacity; });
  const double least = weakest->capacity;
  const double most = strongest->capacity;
  if (most <= kMinCapacityRatio * least) return daemons;
  // A daemon is named if its draw is below its probability. If these are too
  // few, those follow that came closest.
  std::vector<std::pair<double, std::size_t>> order;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    const double probability =
        kMinNamingProbability + (1 - kMinNamingProbability) *
                                    (daemons[i].capacity - least) /
                                    (most - least);
    order.emplace_back(DrawFor(state, daemons[i]) / probability, i);
  }
  std::sort(order.begin(), order.end());
  const auto drawn = std::find_if(order.begin(), order.end(),
                                  [](const auto& it) { return it.first >= 1; });
  const std::size_t named =
      std::max({static_cast<std::size_t>(std::distance(order.begin(), drawn)),
                (daemons.size() + 1) / 2, kMinAddresses});
  order.resize(std::min(named, order.size()));
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
  Candidates kept;
  for (const auto& it : order) kept.push_back(std::move(daemons[it.second]));
  return kept;
}

// Each daemon returns a different selection of too many addresses, so that all
// daemons are returned equally often.
Candidates LimitNumber(const State& state, Candidates daemons) {
  if (daemons.size() <= kMaxAddresses) return daemons;
  const std::uint64_t own = HashBytes(state.options.peer_address);
  std::sort(daemons.begin(), daemons.end(),
            [&](const Candidate& a, const Candidate& b) {
              return HashBytes(a.instance, own) < HashBytes(b.instance, own);
            });
  daemons.resize(kMaxAddresses);
  return daemons;
}

// Selects from daemons that are known to take clients.
Candidates Select(const State& state, const AddressesQuery& query,
                  Candidates daemons) {
  const std::string region = RegionOfClient(state, query);
  daemons = NarrowToRegion(state, query, region, std::move(daemons));
  // In a large fleet a daemon knows all daemons of its own data centre, but
  // only two of each other one. Clients of its region are spread over the
  // former.
  if (!state.dispatch.place_locally) {
    const bool is_own_region = region == OwnRegion(state);
    daemons = PreferDataCentre(
        is_own_region ? state.options.data_centre : query.data_centre,
        std::move(daemons));
  }
  daemons = LimitNumber(state, DrawByCapacity(state, std::move(daemons)));
  std::stable_partition(daemons.begin(), daemons.end(), [&](const auto& it) {
    return it.data_centre == query.data_centre;
  });
  return daemons;
}

}  // namespace
}  // namespace internal

ClientAddresses LookUpClientAddresses(const State& state,
                                      const AddressesQuery& query) {
  // The time is short so that clients soon stop using a daemon that is gone.
  // Some clients keep a response three times as long, which a planned stop
  // waits for.
  constexpr Duration kTimeToLive = seconds(2);
  ClientAddresses result{.addresses = {}, .time_to_live = kTimeToLive};
  auto daemons =
      internal::Select(state, query, internal::DaemonsThatTakeClients(state));
  if (daemons.empty()) {
    daemons = internal::NarrowToRegion(state, query,
                                       internal::RegionOfClient(state, query),
                                       internal::DaemonsHeardOfLately(state));
  }
  for (auto& it : daemons) result.addresses.push_back(std::move(it.instance));
  return result;
}

}  // namespace scaleshed::serving

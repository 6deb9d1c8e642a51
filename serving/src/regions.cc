#include <utility>

#include "internal/steps.h"

// The regions of this daemon and of others, and the regions that requests
// allow.
namespace scaleshed::serving::internal {

std::string OwnRegion(const State& state) {
  return state.options.region.empty()
             ? RegionOf(state, state.options.data_centre)
             : state.options.region;
}

std::string RegionOfDaemons(const State& state,
                            const std::string& data_centre) {
  return data_centre == state.options.data_centre
             ? OwnRegion(state)
             : RegionOf(state, data_centre);
}

bool MayGetBody(const State& state, const Member& member,
                const AllowedRegions& allowed_regions) {
  if (!allowed_regions) return true;
  return IsRegionAllowed(allowed_regions,
                         RegionOf(state, member.snapshot.data_centre));
}

AllowedRegions RegionsOfHost(const State& state, const std::string& host) {
  AllowedRegions allowed;
  if (!state.configuration) return allowed;
  for (const Route& it : state.configuration->configuration().routes) {
    if (it.host == host) RestrictRegions(allowed, it.allowed_regions);
  }
  return allowed;
}

void UpdateAllowedRegions(State& state) {
  for (auto& [key, request] : state.requests) {
    const RequestMetadata& metadata = request.metadata;
    const Route* route =
        state.configuration->FindRoute(metadata.host, metadata.path);
    const ClientAccount* account =
        metadata.keys.size() == 1
            ? state.configuration->FindAccount(metadata.keys.front())
            : nullptr;
    // A request outlives its route and its key, with the regions it had.
    const bool keeps_account = request.account.empty() || account != nullptr;
    if (route == nullptr || !keeps_account) continue;
    request.allowed_regions =
        AllowedRegionsOf(*route, request.account.empty() ? nullptr : account);
  }
}

}  // namespace scaleshed::serving::internal

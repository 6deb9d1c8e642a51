#include <algorithm>

#include "internal/steps.h"

// Decides whether a backend server may get a request. Every step that sends
// something to a server, or plans to, asks FindSendBlock().
namespace scaleshed::serving::internal {

std::string RegionOf(const State& state, const std::string& data_centre) {
  const auto it = state.options.regions.find(data_centre);
  return it == state.options.regions.end() ? "" : it->second;
}

bool IsEvacuated(const State& state, const std::string& data_centre) {
  if (state.evacuations.empty()) return false;
  const auto it = state.evacuations.find(data_centre);
  return it != state.evacuations.end() && it->second.in_force;
}

bool IsCold(const State& state, const Backend& backend) {
  if (state.warm_ups.empty() || !state.configuration) return false;
  const auto it = state.warm_ups.find(backend.id);
  if (it == state.warm_ups.end() || it->second.until <= state.now) return false;
  const Service* service =
      state.configuration->FindService(backend.server.service);
  return service != nullptr && service->warm_up.per_second > 0;
}

bool IsRegionAllowed(const AllowedRegions& allowed, const std::string& region) {
  return !allowed || (!region.empty() && allowed->contains(region));
}

std::optional<SendBlock> FindSendBlock(const State& state,
                                       const Backend& backend,
                                       const SendTerms& terms) {
  const BackendServer& server = backend.server;
  if (!server.entry_error.empty()) return SendBlock::kFaultyEntry;
  if (server.leaving) return SendBlock::kLeaving;
  if (backend.tombstone_until) return SendBlock::kRestoredEntry;
  if (IsEvacuated(state, server.data_centre)) return SendBlock::kEvacuated;
  if (terms.allowed_regions != nullptr && *terms.allowed_regions &&
      !IsRegionAllowed(*terms.allowed_regions,
                       RegionOf(state, server.data_centre))) {
    return SendBlock::kOutsideRegions;
  }
  if (terms.sends_now && IsBackingOff(state, backend.id))
    return SendBlock::kBackoff;
  if (!terms.has_warm_up_grant && IsCold(state, backend))
    return SendBlock::kWarmUp;
  return std::nullopt;
}

bool HasOpenBackend(const State& state, const Request& request) {
  const SendTerms terms{.allowed_regions = &request.allowed_regions,
                        .has_warm_up_grant = true};
  return std::any_of(state.backends.begin(), state.backends.end(),
                     [&](const auto& it) {
                       return it.second.server.service == request.service &&
                              !FindSendBlock(state, it.second, terms);
                     });
}

Refusal RefusalWithoutServer(const State& state, const std::string& service,
                             const AllowedRegions& allowed_regions) {
  std::set<SendBlock> blocks;
  for (const auto& [name, backend] : state.backends) {
    const BackendServer& server = backend.server;
    const bool is_candidate =
        server.service == service &&
        (!allowed_regions ||
         IsRegionAllowed(allowed_regions, RegionOf(state, server.data_centre)));
    if (!is_candidate) continue;
    const auto block =
        FindSendBlock(state, backend, {.has_warm_up_grant = true});
    if (block) blocks.insert(*block);
  }
  if (blocks.contains(SendBlock::kEvacuated)) return Refusal::kEvacuated;
  return allowed_regions ? Refusal::kNoHome : Refusal::kNoBackend;
}

void RestrictRegions(AllowedRegions& allowed,
                     const std::optional<std::vector<std::string>>& listed) {
  if (!listed) return;
  const std::set<std::string> regions(listed->begin(), listed->end());
  if (!allowed) {
    allowed = regions;
    return;
  }
  std::erase_if(*allowed,
                [&](const std::string& it) { return !regions.contains(it); });
}

AllowedRegions AllowedRegionsOf(const Route& route,
                                const ClientAccount* account) {
  AllowedRegions allowed;
  RestrictRegions(allowed, route.allowed_regions);
  if (account != nullptr) RestrictRegions(allowed, account->allowed_regions);
  return allowed;
}

}  // namespace scaleshed::serving::internal

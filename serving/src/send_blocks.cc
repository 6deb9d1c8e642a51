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

Refusal RefusalWithoutServer(const State& state, const std::string& service,
                             const AllowedRegions& allowed_regions) {
  const SendTerms terms{.allowed_regions = &allowed_regions,
                        .has_warm_up_grant = true};
  std::set<SendBlock> blocks;
  for (const auto& [name, backend] : state.backends) {
    if (backend.server.service != service) continue;
    if (const auto block = FindSendBlock(state, backend, terms))
      blocks.insert(*block);
  }
  if (blocks.contains(SendBlock::kEvacuated)) return Refusal::kEvacuated;
  if (blocks.contains(SendBlock::kOutsideRegions)) return Refusal::kNoHome;
  return Refusal::kNoBackend;
}

AllowedRegions AllowedRegionsOf(const Route& route,
                                const ClientAccount* account) {
  AllowedRegions allowed;
  const auto restrict_to = [&](const std::vector<std::string>& regions) {
    if (regions.empty()) return;
    const std::set<std::string> listed(regions.begin(), regions.end());
    if (!allowed) {
      allowed = listed;
      return;
    }
    std::erase_if(*allowed,
                  [&](const std::string& it) { return !listed.contains(it); });
  };
  restrict_to(route.allowed_regions);
  if (account != nullptr) restrict_to(account->allowed_regions);
  return allowed;
}

}  // namespace scaleshed::serving::internal

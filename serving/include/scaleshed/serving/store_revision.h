#ifndef SCALESHED_SERVING_STORE_REVISION_H_
#define SCALESHED_SERVING_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace scaleshed::serving {

// A position in the history of the platform's store. The store may be restored
// from a backup: its revision numbers then go back and are assigned again to
// other changes. Numbers are therefore compared only within one epoch; anything
// from a later epoch was written, or restored, later.
struct StoreRevision {
  std::uint64_t epoch = 0;   // how often the store was restored; zero: unknown
  std::uint64_t number = 0;  // zero: none
  auto operator<=>(const StoreRevision&) const = default;
};

// The largest advance of the epoch that is accepted between two observations:
// a store isn't restored that often in between, so that a larger number is
// wrong.
inline constexpr std::uint64_t kMaxEpochAdvance = 1000;

// Returns whether a store that was in the epoch `known` may be in the epoch
// `told` now. Zero means unknown.
constexpr bool IsPlausibleEpoch(std::uint64_t known, std::uint64_t told) {
  return known == 0 || told <= known || told - known <= kMaxEpochAdvance;
}

// Identifies a configuration by its version and by the revision at which the
// store held it. IsNewer() orders stamps.
struct ConfigurationStamp {
  std::int64_t version = 0;  // set by the operators
  StoreRevision revision;
  bool operator==(const ConfigurationStamp&) const = default;
};

// Returns whether `a` is newer than `b`. Within an epoch the store's revisions
// decide. A configuration of a later epoch may come from a backup and be older:
// across epochs the operators' versions decide, which only rise. If one version
// was written twice, the later write is the newer one.
constexpr bool IsNewer(const ConfigurationStamp& a,
                       const ConfigurationStamp& b) {
  const bool by_version =
      a.revision.epoch != b.revision.epoch && a.version != b.version;
  return by_version ? a.version > b.version : a.revision > b.revision;
}

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_STORE_REVISION_H_

#ifndef SCALESHED_SERVING_STORE_REVISION_H_
#define SCALESHED_SERVING_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace scaleshed::serving {

// A place in the history of the platform's store. The store may be restored
// from an older copy: numbers go back then, and are given out again for other
// content. So two of them are compared within an era only; whatever a later era
// brings was written, or restored, later.
struct StoreRevision {
  std::uint64_t epoch = 0;   // how often it had been restored; zero: not told
  std::uint64_t number = 0;  // zero: none
  auto operator<=>(const StoreRevision&) const = default;
};

// Between two words of it a store isn't restored so often.
inline constexpr std::uint64_t kMaxEpochAdvance = 1000;

// Whether a store that was in the era `known` may be in `told` now. Zero: none
// was told.
constexpr bool IsPlausibleEpoch(std::uint64_t known, std::uint64_t told) {
  return known == 0 || told <= known || told - known <= kMaxEpochAdvance;
}

// Which configuration it is, and where the store held it.
struct ConfigurationStamp {
  std::int64_t version = 0;  // the operators' own count
  StoreRevision revision;
  bool operator==(const ConfigurationStamp&) const = default;
};

// Whether `a` is newer than `b`. Within an era the store's order holds. What a
// later era holds may be a copy's, and older: the operators' versions tell,
// which only rise. Of one version that was written twice the later write
// counts.
constexpr bool IsNewer(const ConfigurationStamp& a,
                       const ConfigurationStamp& b) {
  const bool by_version =
      a.revision.epoch != b.revision.epoch && a.version != b.version;
  return by_version ? a.version > b.version : a.revision > b.revision;
}

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_STORE_REVISION_H_

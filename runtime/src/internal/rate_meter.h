#ifndef SCALESHED_RUNTIME_INTERNAL_RATE_METER_H_
#define SCALESHED_RUNTIME_INTERNAL_RATE_METER_H_

#include <cstdint>
#include <optional>

#include "scaleshed/core/types.h"

namespace scaleshed::internal {

// How fast bytes have moved lately: over the last whole window of at least a
// second, and not at all if nothing has moved for so long.
class RateMeter {
 public:
  void Start(Time now) {
    began_ = now;
    moved_at_ = now;
    bytes_ = 0;
    rate_.reset();
  }
  // Bytes that have moved since the last call.
  void Add(std::uint64_t bytes, Time now) {
    if (bytes > 0) moved_at_ = now;
    bytes_ += bytes;
    const Duration elapsed = now - began_;
    if (elapsed < kWindow) return;
    rate_ = static_cast<double>(bytes_) /
            std::chrono::duration<double>(elapsed).count();
    began_ = now;
    bytes_ = 0;
  }
  // Bytes a second; nothing while it is too early to say.
  std::optional<double> Rate(Time now) const {
    return now - moved_at_ >= kWindow ? 0 : rate_;
  }

 private:
  static constexpr Duration kWindow = seconds(1);

  Time began_{};     // of the window
  Time moved_at_{};  // the last bytes
  std::uint64_t bytes_ = 0;
  std::optional<double> rate_;  // of the last whole window
};

}  // namespace scaleshed::internal

#endif  // SCALESHED_RUNTIME_INTERNAL_RATE_METER_H_

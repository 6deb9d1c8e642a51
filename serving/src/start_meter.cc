#include "scaleshed/serving/start_meter.h"

#include <algorithm>

namespace scaleshed::serving {
namespace {

// Starts that are saved up while none is made, where the rate is high.
constexpr double kSavedSeconds = 0.25;
// What is owed beyond so long a time of the rate is forgiven: a server looks at
// the last seconds.
constexpr double kOwedSeconds = 4;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void StartMeter::SetRate(Time now, double per_second) {
  starts_ = StartsAt(now);
  at_ = now;
  per_second_ = per_second;
}

void StartMeter::Take(Time now) {
  const double least = -std::max(kOwedSeconds * per_second_, 1.0);
  starts_ = std::max(StartsAt(now) - 1, least);
  at_ = now;
}

Duration StartMeter::UntilStart(Time now) const {
  const double missing = 1 - StartsAt(now);
  if (missing <= 0) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / per_second_));
}

double StartMeter::StartsAt(Time now) const {
  const double most = std::max(kSavedSeconds * per_second_, 1.0);
  return std::min(starts_ + per_second_ * SecondsOf(now - at_), most);
}

}  // namespace scaleshed::serving

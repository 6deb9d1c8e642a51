#include <algorithm>

#include "internal/steps.h"

// Backend servers that are cold: for some time after a start they bear only a
// limited rate of requests.
namespace scaleshed::serving::internal {

void RecordWarmUp(State& state, const Backend& backend, Duration left,
                  WarmUpSource source) {
  if (left <= Duration::zero()) return;
  WarmUp& warm_up = state.warm_ups[backend.id];
  warm_up = {.until = std::max(warm_up.until, state.now + left),
             .source = source,
             .learned_at = state.now};
}

}  // namespace scaleshed::serving::internal

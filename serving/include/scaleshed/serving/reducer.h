#ifndef SCALESHED_SERVING_REDUCER_H_
#define SCALESHED_SERVING_REDUCER_H_

#include <string>
#include <vector>

#include "scaleshed/serving/effects.h"
#include "scaleshed/serving/events.h"
#include "scaleshed/serving/state.h"

namespace scaleshed::serving {

// All of a daemon's decisions: changes `state` by one event and tells what is
// to be done. Reads no clock and does no input or output; the same events on
// the same state give the same effects.
Effects Reduce(State& state, const Event& event);

// When Reduce() wants a Tick at the latest.
Time NextWake(const State& state);

// Whether clients may be sent here: it knows a configuration that is fresh
// enough for keys, and is not stopping.
bool IsServing(const State& state);

// Whether the newest configuration that is known lies in a history that the
// store has lost, and the operators have not written it again.
bool AwaitsConfigurationRewrite(const State& state);

// The addresses that a client in `data_centre` may use, and for how long.
struct ClientAddresses {
  std::vector<std::string> addresses;
  Duration time_to_live{};
};
ClientAddresses LookUpClientAddresses(const State& state);

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_REDUCER_H_

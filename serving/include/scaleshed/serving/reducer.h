#ifndef SCALESHED_SERVING_REDUCER_H_
#define SCALESHED_SERVING_REDUCER_H_

#include <string>
#include <vector>

#include "scaleshed/serving/effects.h"
#include "scaleshed/serving/events.h"
#include "scaleshed/serving/state.h"

namespace scaleshed::serving {

// Makes all of a daemon's decisions: applies one event to `state` and returns
// the effects to carry out. It reads no clock and does no input or output; the
// same events on the same state give the same effects.
Effects Reduce(State& state, const Event& event);

// Returns the latest time at which Reduce() must get the next Tick.
Time NextWake(const State& state);

// Whether clients may be sent to this daemon: it has a configuration that is
// fresh enough for requests with API keys, and it is not stopping.
bool IsServing(const State& state);

// Whether the newest known configuration belongs to a store epoch whose changes
// the store lost in a restore, and the operators have not rewritten it yet.
bool AwaitsConfigurationRewrite(const State& state);

// The daemons' addresses that a client may use, and how long it may cache them.
// An addresses query of a client is answered with it.
struct ClientAddresses {
  std::vector<std::string> addresses;
  Duration time_to_live{};
};
ClientAddresses LookUpClientAddresses(const State& state);

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_REDUCER_H_

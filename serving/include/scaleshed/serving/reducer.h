#ifndef SCALESHED_SERVING_REDUCER_H_
#define SCALESHED_SERVING_REDUCER_H_

#include <string>
#include <vector>

#include "scaleshed/serving/effects.h"
#include "scaleshed/serving/events.h"
#include "scaleshed/serving/state.h"

namespace scaleshed::serving {

// Makes all of a daemon's decisions: applies one event to `state` and returns
// the effects to carry out. The driver is the code that feeds events to
// Reduce() and carries out the effects. Reduce() reads no clock and does no
// input or output; the same events on the same state give the same effects.
Effects Reduce(State& state, const Event& event);

// Returns the latest time at which Reduce() must get the next Tick.
Time NextWake(const State& state);

// Whether this daemon admits requests: it has a configuration that is fresh
// enough for requests with API keys, it is not stopping, and both its
// configuration and its list of backend servers are usable.
bool IsServing(const State& state);

// Whether clients may be sent to this daemon: it is serving, and it hasn't lost
// its network paths to the backend servers that other daemons reach.
bool TakesClients(const State& state);

// Whether a request whose head has arrived may be served, as far as the route
// and the API key tell. If not, it is refused whatever its body is.
bool MayBeServed(const State& state, const RequestMetadata& metadata);

// Whether this daemon holds the lease of the warm-up granter.
bool IsWarmUpGranter(const State& state);

// Whether the newest known configuration is from an earlier store epoch: the
// operators haven't rewritten it since the restore.
bool AwaitsConfigurationRewrite(const State& state);

// What the evacuations in force affect, as this daemon knows them.
struct EvacuationCounts {
  std::size_t data_centres = 0;
  std::size_t backends = 0;
  std::size_t requests = 0;  // of this daemon, that still run there
};
EvacuationCounts CountEvacuations(const State& state);

// What a client says of itself in an addresses query; empty: not given.
struct AddressesQuery {
  std::string host;         // whose routes it is going to use
  std::string region;       // its own
  std::string data_centre;  // its own
};

// The daemons' addresses that a client may use, and how long it may cache them.
// An addresses query of a client is answered with it.
struct ClientAddresses {
  std::vector<std::string> addresses;
  Duration time_to_live{};
};
ClientAddresses LookUpClientAddresses(const State& state,
                                      const AddressesQuery& query = {});

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_REDUCER_H_

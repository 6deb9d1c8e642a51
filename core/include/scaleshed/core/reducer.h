#ifndef SCALESHED_CORE_REDUCER_H_
#define SCALESHED_CORE_REDUCER_H_

#include <string>
#include <vector>

#include "scaleshed/core/effects.h"
#include "scaleshed/core/events.h"
#include "scaleshed/core/state.h"

namespace scaleshed {

// Takes in one event and says what is to be done. All behaviour of a daemon is
// here; a driver feeds events and carries out effects in their order. `state`
// is changed; event times must not fall. Makes no system calls.
Effects Reduce(State& state, const Event& event);

// The answer to "which of your addresses shall I use?".
struct LookUpAnswer {
  std::string address;
  std::vector<std::string> alternates;
  Duration keep{};
  std::string id_prefix;
};

// Names a daemon that is alive and not leaving, one of `data_centre` first
// where that is not empty. `draw` spreads callers over equals.
LookUpAnswer LookUp(const State& state, const std::string& data_centre,
                    std::uint64_t draw);

// Where a call would go now, and why, for operators.
struct Explanation {
  Reason refused = Reason::kNone;
  std::string message;
  Placement placement;
  std::size_t engines_known = 0;
  std::size_t engines_open = 0;
};

// Changes nothing that later decisions depend on.
Explanation Explain(const State& state, const CallSpec& spec);

}  // namespace scaleshed

#endif  // SCALESHED_CORE_REDUCER_H_

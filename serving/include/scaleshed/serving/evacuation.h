#ifndef SCALESHED_SERVING_EVACUATION_H_
#define SCALESHED_SERVING_EVACUATION_H_

#include <string>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/store_revision.h"

namespace scaleshed::serving {

// Whether the operators have a data centre evacuated, as the store holds it.
// Relays and snapshots carry the same.
struct StoredEvacuation {
  std::string data_centre;
  bool in_force = false;
  // The revision at which the operators requested or withdrew it. For a
  // withdrawal it may be a later one, at which the request was found gone.
  StoreRevision revision;
  Duration age{};  // how long ago the sender learned of it
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_EVACUATION_H_

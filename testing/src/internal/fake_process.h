#ifndef SCALESHED_TESTING_SRC_INTERNAL_FAKE_PROCESS_H_
#define SCALESHED_TESTING_SRC_INTERNAL_FAKE_PROCESS_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_server.h"

namespace scaleshed::testing {

// Serves `handler` until the process is told to end, and says on standard
// output where it listens. The bound on bodies leaves room for prompts.
void ServeUntilTerminated(EventLoop& loop, const std::string& listen,
                          const std::string& name, HttpServer::Handler handler);

inline HttpHeaders JsonHeaders() {
  return {{"Content-Type", "application/json"}};
}

// The JSON of a control request; an empty object where it can't be read.
nlohmann::json ReadControl(HttpExchange& exchange);

// Microseconds since the epoch: a restarted stand-in has a higher number.
std::uint64_t NewIncarnationNumber();

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SRC_INTERNAL_FAKE_PROCESS_H_

#ifndef SCALESHED_WIRE_ERRORS_H_
#define SCALESHED_WIRE_ERRORS_H_

#include <string>

namespace scaleshed {

// A message that could not be read.
struct WireError {
  std::string field;    // empty where the whole message is meant
  std::string message;  // what is wrong and what is allowed
};

inline std::string ToString(const WireError& error) {
  return error.field.empty() ? error.message
                             : error.field + ": " + error.message;
}

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_ERRORS_H_

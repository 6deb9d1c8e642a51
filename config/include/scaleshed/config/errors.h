#ifndef SCALESHED_CONFIG_ERRORS_H_
#define SCALESHED_CONFIG_ERRORS_H_

#include <string>
#include <vector>

namespace scaleshed {

// One fault in a settings or template file.
struct ConfigError {
  std::string file;
  int line = 0;  // from one; zero where the whole file is meant
  std::string field;
  std::string message;  // what is wrong and what is allowed
};

using ConfigErrors = std::vector<ConfigError>;

// "file:line: field: message".
std::string ToString(const ConfigError& error);
// All faults, one a line.
std::string ToString(const ConfigErrors& errors);

}  // namespace scaleshed

#endif  // SCALESHED_CONFIG_ERRORS_H_

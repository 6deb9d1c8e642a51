#ifndef SCALESHED_CONFIG_READ_FILE_H_
#define SCALESHED_CONFIG_READ_FILE_H_

#include <optional>
#include <string>

namespace scaleshed {

// The whole file, or nothing where it can't be read.
std::optional<std::string> ReadFile(const std::string& file);

}  // namespace scaleshed

#endif  // SCALESHED_CONFIG_READ_FILE_H_

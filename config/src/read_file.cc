#include "scaleshed/config/read_file.h"

#include <fstream>
#include <sstream>

namespace scaleshed {

std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace scaleshed

#include "internal/temporary_folder.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace scaleshed::testing {

std::string NewFolder(const std::string& name) {
  std::string folder =
      (std::filesystem::temp_directory_path() / (name + "-XXXXXX")).string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return folder;
}

}  // namespace scaleshed::testing

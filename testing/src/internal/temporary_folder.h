#ifndef SCALESHED_TESTING_SRC_INTERNAL_TEMPORARY_FOLDER_H_
#define SCALESHED_TESTING_SRC_INTERNAL_TEMPORARY_FOLDER_H_

#include <string>

namespace scaleshed::testing {

// A new folder of this process, whose name begins with `name`. Throws
// std::runtime_error where there can be none. Whoever asked removes it.
std::string NewFolder(const std::string& name);

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SRC_INTERNAL_TEMPORARY_FOLDER_H_

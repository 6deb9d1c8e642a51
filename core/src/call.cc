#include "scaleshed/core/call.h"

namespace scaleshed {

std::uint64_t ChainChecksum(std::uint64_t checksum, std::string_view token) {
  return HashBytes(token, checksum);
}

}  // namespace scaleshed

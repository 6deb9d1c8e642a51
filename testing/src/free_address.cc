#include "scaleshed/testing/free_address.h"

#include <unistd.h>

namespace scaleshed::testing {

std::string FreeAddress() {
  constexpr int kFirstPort = 12'000;
  constexpr int kByte = 256;
  constexpr int kHosts = 250;
  static int next = kFirstPort;
  const int process = getpid();
  return "127." + std::to_string(1 + process / kByte % kHosts) + "." +
         std::to_string(process % kByte) + ".1:" + std::to_string(next++);
}

}  // namespace scaleshed::testing

#include "scaleshed/runtime/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace scaleshed {

Address ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {.host = text};
  Address address{.host = text.substr(0, colon)};
  std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                  address.port);
  return address;
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  const char* end = text.data() + text.size();
  std::uint16_t port = 0;
  const auto read = std::from_chars(text.data() + colon + 1, end, port);
  const bool whole = read.ec == std::errc() && read.ptr == end && port != 0;
  return whole && SocketAddress(text).has_value();
}

std::optional<sockaddr_in> SocketAddress(const std::string& text) {
  const Address address = ParseAddress(text);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &name.sin_addr) != 1) {
    return std::nullopt;
  }
  return name;
}

}  // namespace scaleshed

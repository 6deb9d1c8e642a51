#ifndef SCALESHED_RUNTIME_ADDRESS_H_
#define SCALESHED_RUNTIME_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

namespace scaleshed {

// "ip:port" in two parts. The port is zero where there is none.
struct Address {
  std::string host;
  std::uint16_t port = 0;
};

Address ParseAddress(const std::string& text);

// Whether it is a whole "ip:port": an IPv4 number and a port from 1.
bool IsAddress(const std::string& text);

// For the socket calls; nothing where the host is no IPv4 number.
std::optional<sockaddr_in> SocketAddress(const std::string& text);

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_ADDRESS_H_

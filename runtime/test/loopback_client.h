#ifndef SCALESHED_RUNTIME_TEST_LOOPBACK_CLIENT_H_
#define SCALESHED_RUNTIME_TEST_LOOPBACK_CLIENT_H_

#include <arpa/inet.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

// Blocking sockets for tests of the HTTP server, to be used from a thread other
// than that of its loop.
namespace scaleshed {

// Returns a connected socket.
inline int ConnectTo(std::uint16_t port) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(port);
  inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0);
  return fd;
}

// Sends all of `bytes`, or less if the connection ends first.
inline void Send(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return;
    sent += static_cast<std::size_t>(n);
  }
}

// Appends what comes next to `text`; false once the connection has ended.
inline bool ReadSome(int fd, std::string& text) {
  char buf[4096];
  const auto n = recv(fd, buf, sizeof(buf), 0);
  if (n <= 0) return false;
  text.append(buf, static_cast<std::size_t>(n));
  return true;
}

// Returns what comes until the connection ends.
inline std::string ReadToEnd(int fd) {
  std::string text;
  while (ReadSome(fd, text)) {
  }
  return text;
}

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_TEST_LOOPBACK_CLIENT_H_

#include "scaleshed/runtime/datagram_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

#include "scaleshed/runtime/address.h"

namespace scaleshed {
namespace {

constexpr std::size_t kMostBytes = 64 * 1024;
// Datagrams taken before other events get their turn.
constexpr int kAtOnce = 64;

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& loop, const std::string& address,
                               Handler handler)
    : fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      handler_(std::move(handler)),
      buffer_(kMostBytes, '\0') {
  const auto name = SocketAddress(address);
  const bool bound =
      fd_ >= 0 && name &&
      bind(fd_, reinterpret_cast<const sockaddr*>(&*name), sizeof(*name)) == 0;
  if (!bound) {
    if (fd_ >= 0) close(fd_);
    throw std::runtime_error("can't bind datagrams to " + address);
  }
  watched_ =
      event_new(loop.base(), fd_, EV_READ | EV_PERSIST, OnReadable, this);
  event_add(watched_, nullptr);
}

DatagramSocket::~DatagramSocket() {
  event_free(watched_);
  close(fd_);
}

void DatagramSocket::Send(const std::string& to, const std::string& bytes) {
  const auto name = SocketAddress(to);
  const auto sent =
      name ? sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                    reinterpret_cast<const sockaddr*>(&*name), sizeof(*name))
           : -1;
  if (sent < 0) ++dropped_;
}

void DatagramSocket::OnReadable(evutil_socket_t fd, short /*what*/, void* arg) {
  auto* self = static_cast<DatagramSocket*>(arg);
  for (int i = 0; i < kAtOnce; ++i) {
    const auto n = recv(fd, self->buffer_.data(), self->buffer_.size(), 0);
    if (n < 0) return;
    self->handler_(self->buffer_.substr(0, static_cast<std::size_t>(n)));
  }
}

}  // namespace scaleshed

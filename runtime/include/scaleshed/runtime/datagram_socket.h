#ifndef SCALESHED_RUNTIME_DATAGRAM_SOCKET_H_
#define SCALESHED_RUNTIME_DATAGRAM_SOCKET_H_

#include <functional>
#include <string>

#include "scaleshed/runtime/event_loop.h"

namespace scaleshed {

// Sends and takes datagrams on a loop. What can't be sent at once is dropped,
// as what it would tell is soon told anew.
class DatagramSocket {
 public:
  using Handler = std::function<void(const std::string& bytes)>;

  // Throws std::runtime_error where the address can't be bound.
  DatagramSocket(EventLoop& loop, const std::string& address, Handler handler);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;
  ~DatagramSocket();

  void Send(const std::string& to, const std::string& bytes);
  std::uint64_t dropped() const { return dropped_; }

 private:
  static void OnReadable(evutil_socket_t fd, short what, void* arg);

  int fd_ = -1;
  event* watched_ = nullptr;
  Handler handler_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_DATAGRAM_SOCKET_H_

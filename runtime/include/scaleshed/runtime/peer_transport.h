#ifndef SCALESHED_RUNTIME_PEER_TRANSPORT_H_
#define SCALESHED_RUNTIME_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "scaleshed/runtime/event_loop.h"

namespace scaleshed {

// Sends messages between daemons over ZeroMQ: one socket that takes from all
// peers, and one to each peer. Messages to a peer that is not connected are
// dropped, as nothing between daemons relies on delivery.
//
// Used from the loop's thread only.
class PeerTransport {
 public:
  using Handler = std::function<void(const std::string& bytes)>;

  // Throws std::runtime_error where the address can't be listened on.
  PeerTransport(EventLoop& loop, const std::string& listen, Handler handler);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  void Send(const std::string& address, const std::string& bytes);
  // Closes sockets to peers that nothing was sent to for a while.
  void CloseIdle();

  // Where peers reach this process: the address with the port that was bound.
  const std::string& address() const { return address_; }
  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint64_t received_bytes() const { return received_bytes_; }

 private:
  struct Sockets;
  void Receive();
  static void OnReadable(evutil_socket_t fd, short what, void* arg);

  EventLoop& loop_;
  std::string address_;
  Handler handler_;
  std::unique_ptr<Sockets> sockets_;
  event* watched_ = nullptr;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_PEER_TRANSPORT_H_

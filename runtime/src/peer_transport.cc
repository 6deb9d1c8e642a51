#include "scaleshed/runtime/peer_transport.h"

#include <map>
#include <stdexcept>
#include <utility>
#include <zmq.hpp>

namespace scaleshed {
namespace {

constexpr int kMostQueued = 1000;
constexpr std::int64_t kMostMessageBytes = 64 * 1024 * 1024;
constexpr Duration kIdleLimit = seconds(30);

}  // namespace

struct PeerTransport::Sockets {
  struct Outgoing {
    zmq::socket_t socket;
    Time used;
  };
  zmq::context_t context{1};
  zmq::socket_t incoming{context, zmq::socket_type::pull};
  std::map<std::string, Outgoing> outgoing;
};

PeerTransport::PeerTransport(EventLoop& loop, const std::string& listen,
                             Handler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      sockets_(std::make_unique<Sockets>()) {
  zmq::socket_t& incoming = sockets_->incoming;
  incoming.set(zmq::sockopt::linger, 0);
  incoming.set(zmq::sockopt::maxmsgsize, kMostMessageBytes);
  try {
    incoming.bind("tcp://" + listen);
    address_ = incoming.get(zmq::sockopt::last_endpoint)
                   .substr(std::string_view("tcp://").size());
  } catch (const zmq::error_t& error) {
    throw std::runtime_error("can't listen for peers on " + listen + ": " +
                             error.what());
  }
  watched_ = event_new(loop.base(), incoming.get(zmq::sockopt::fd),
                       EV_READ | EV_PERSIST, OnReadable, this);
  event_add(watched_, nullptr);
}

PeerTransport::~PeerTransport() { event_free(watched_); }

void PeerTransport::OnReadable(evutil_socket_t /*fd*/, short /*what*/,
                               void* arg) {
  static_cast<PeerTransport*>(arg)->Receive();
}

void PeerTransport::Receive() {
  // The descriptor tells of a change only, so all messages have to be taken.
  zmq::message_t message;
  while (sockets_->incoming.recv(message, zmq::recv_flags::dontwait)) {
    received_bytes_ += message.size();
    handler_(message.to_string());
  }
}

void PeerTransport::Send(const std::string& address, const std::string& bytes) {
  auto it = sockets_->outgoing.find(address);
  if (it == sockets_->outgoing.end()) {
    zmq::socket_t socket(sockets_->context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kMostQueued);
    // Nothing waits for a connection: it would be old when it arrives.
    socket.set(zmq::sockopt::immediate, true);
    socket.connect("tcp://" + address);
    it = sockets_->outgoing
             .emplace(address, Sockets::Outgoing{.socket = std::move(socket),
                                                 .used = loop_.Now()})
             .first;
  }
  it->second.used = loop_.Now();
  const auto sent =
      it->second.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  if (sent) sent_bytes_ += bytes.size();
}

void PeerTransport::CloseIdle() {
  const Time now = loop_.Now();
  std::erase_if(sockets_->outgoing, [&](const auto& it) {
    return now - it.second.used > kIdleLimit;
  });
}

}  // namespace scaleshed

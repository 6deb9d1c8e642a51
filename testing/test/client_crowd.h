#ifndef SCALESHED_TESTING_TEST_CLIENT_CROWD_H_
#define SCALESHED_TESTING_TEST_CLIENT_CROWD_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scaleshed/runtime/address.h"
#include "scaleshed/runtime/event_loop.h"

namespace scaleshed::testing {

// What each client of a crowd sends, and whether it reads what it gets. No
// client closes its connection.
struct CrowdOptions {
  std::size_t clients = 100;
  // The first bytes of the client with that index.
  std::function<std::string(std::size_t)> head = [](std::size_t) {
    return std::string();
  };
  std::string body;              // sent behind the head
  std::size_t piece_bytes = 0;   // of the body, at a time; 0: all of it
  Duration pause = Duration(0);  // between two pieces
  bool reads = true;
};

// Clients on raw connections to one address, on a test's own loop. All of them
// share one copy of the body.
class ClientCrowd {
 public:
  ClientCrowd(EventLoop& loop, const std::string& address, CrowdOptions options)
      : options_(std::move(options)) {
    sockaddr_in name = *SocketAddress(address);
    for (std::size_t i = 0; i < options_.clients; ++i) {
      clients_.push_back(std::make_unique<Client>(loop, options_, i));
      clients_.back()->Start(name);
    }
  }

  // Whether each client has sent all that it has to send, or can't go on.
  bool IsSettled() const {
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const auto& it) { return it->IsSettled(); });
  }
  std::size_t open_connections() const {
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(),
                      [](const auto& it) { return !it->ended(); }));
  }
  // What came at the client with that index.
  const std::string& received(std::size_t i) const {
    return clients_.at(i)->received();
  }
  // The status lines and header lines of all answers.
  std::vector<std::string> Heads() const {
    std::vector<std::string> heads;
    for (const auto& it : clients_) {
      const std::string& text = it->received();
      std::size_t from = text.find("HTTP/1.1 ");
      while (from != std::string::npos) {
        heads.push_back(text.substr(from, text.find("\r\n\r\n", from) - from));
        from = text.find("HTTP/1.1 ", from + 1);
      }
    }
    return heads;
  }

 private:
  class Client {
   public:
    Client(EventLoop& loop, const CrowdOptions& options, std::size_t index)
        : options_(options),
          head_(options.head(index)),
          bev_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
          timer_(loop, [this] { SendPiece(); }) {
      bufferevent_setcb(bev_, OnRead, nullptr, OnEvent, this);
    }
    ~Client() { Close(); }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    void Start(sockaddr_in& name) {
      const int failed = bufferevent_socket_connect(
          bev_, reinterpret_cast<sockaddr*>(&name), sizeof(name));
      if (failed != 0) Close();
    }
    bool ended() const { return bev_ == nullptr; }
    bool IsSettled() const {
      return ended() ||
             (connected_ && next_ == options_.body.size() &&
              evbuffer_get_length(bufferevent_get_output(bev_)) == 0);
    }
    const std::string& received() const { return received_; }

   private:
    // Enough for the heads of a few answers.
    static constexpr std::size_t kKeptBytes = 4096;

    static void OnRead(bufferevent* bev, void* arg) {
      auto* self = static_cast<Client*>(arg);
      evbuffer* in = bufferevent_get_input(bev);
      std::string text(evbuffer_get_length(in), '\0');
      evbuffer_remove(in, text.data(), text.size());
      const std::size_t room = kKeptBytes - self->received_.size();
      self->received_.append(text, 0, room);
    }
    static void OnEvent(bufferevent* bev, short what, void* arg) {
      auto* self = static_cast<Client*>(arg);
      if ((what & BEV_EVENT_CONNECTED) == 0) {
        OnRead(bev, arg);
        self->Close();
        return;
      }
      self->connected_ = true;
      bufferevent_enable(bev, EV_WRITE);
      if (!self->options_.reads) bufferevent_disable(bev, EV_READ);
      if (self->options_.reads) bufferevent_enable(bev, EV_READ);
      bufferevent_write(bev, self->head_.data(), self->head_.size());
      self->SendPiece();
    }
    void SendPiece() {
      if (ended()) return;
      const std::string& body = options_.body;
      const std::size_t most =
          options_.piece_bytes > 0 ? options_.piece_bytes : body.size();
      const std::size_t n = std::min(most, body.size() - next_);
      if (n == 0) return;
      evbuffer_add_reference(bufferevent_get_output(bev_), body.data() + next_,
                             n, nullptr, nullptr);
      next_ += n;
      timer_.Once(options_.pause);
    }
    void Close() {
      timer_.Cancel();
      if (bev_ != nullptr) bufferevent_free(std::exchange(bev_, nullptr));
    }

    const CrowdOptions& options_;
    std::string head_;
    bufferevent* bev_;
    Timer timer_;
    std::string received_;
    std::size_t next_ = 0;  // of the body
    bool connected_ = false;
  };

  CrowdOptions options_;
  std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_TEST_CLIENT_CROWD_H_

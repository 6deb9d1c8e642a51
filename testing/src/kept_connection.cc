#include "scaleshed/testing/kept_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/beast/http.hpp>
#include <cerrno>
#include <limits>
#include <utility>

#include "scaleshed/runtime/address.h"

namespace scaleshed::testing {
namespace {

namespace http = boost::beast::http;
using Parser = http::response_parser<http::string_body>;

HttpResponse ResponseOf(Parser& parser) {
  auto& message = parser.get();
  HttpResponse response{.status = static_cast<int>(message.result_int()),
                        .reason = std::string(message.reason()),
                        .headers = {},
                        .body = std::move(message.body())};
  for (const auto& it : message) {
    response.headers.Add(std::string(it.name_string()),
                         std::string(it.value()));
  }
  return response;
}

}  // namespace

// What libevent's callbacks refer to. It keeps itself alive through them.
struct KeptConnection::Link : std::enable_shared_from_this<Link> {
  explicit Link(EventLoop& event_loop)
      : loop(event_loop),
        timer(loop, [this] { End(HttpError::kTimeout); }),
        write_timer(loop, [this] { WriteNext(); }),
        read_timer(loop, [this] { Read(); }) {}
  ~Link() {
    if (bev != nullptr) bufferevent_free(bev);
  }

  void Connect(const std::string& address) {
    const auto to = SocketAddress(address);
    bev = bufferevent_socket_new(
        loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    over = !to || bev == nullptr;
    if (over) return;
    bufferevent_setcb(bev, OnRead, nullptr, OnEvent, this);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    sockaddr_in name = *to;
    if (bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&name),
                                   sizeof(name)) != 0) {
      over = true;
    }
  }

  static void OnRead(bufferevent* /*bev*/, void* arg) {
    const auto self = static_cast<Link*>(arg)->shared_from_this();
    self->ReadAll();
  }

  static void OnEvent(bufferevent* /*bev*/, short what, void* arg) {
    const auto self = static_cast<Link*>(arg)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      self->connected = true;
      return;
    }
    self->ReadAll();
    self->End(self->connected ? HttpError::kCut : HttpError::kNotSent);
  }

  // Whether the other end has closed, which the loop hasn't told yet.
  bool IsClosed() const {
    char byte = 0;
    const auto n = recv(bufferevent_getfd(bev), &byte, sizeof(byte),
                        MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN);
  }

  void Ask(KeptRequest asked) {
    over = over || (connected && IsClosed());
    request = std::move(asked);
    written = 0;
    begun = false;
    sent_due = false;
    timer.Once(over ? Duration::zero() : request.timeout);
    if (over) return;
    if (request.read_after > Duration::zero()) {
      bufferevent_disable(bev, EV_READ);
      read_timer.Once(request.read_after);
    }
    WriteNext();
  }

  void WriteNext() {
    if (over) return;
    const std::string& piece = request.pieces[written++];
    const std::size_t sent = SendNow(piece);
    bufferevent_write(bev, piece.data() + sent, piece.size() - sent);
    if (written < request.pieces.size()) write_timer.Once(request.gap);
  }

  // What the socket takes at once, so that the other end can't close between
  // IsClosed() and the next round of the loop.
  std::size_t SendNow(const std::string& piece) const {
    const bool is_free =
        connected && evbuffer_get_length(bufferevent_get_output(bev)) == 0;
    if (!is_free) return 0;
    const auto n = send(bufferevent_getfd(bev), piece.data(), piece.size(),
                        MSG_DONTWAIT | MSG_NOSIGNAL);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }

  void Read() {
    if (!over) bufferevent_enable(bev, EV_READ);
  }

  void ReadAll() {
    evbuffer* in = bufferevent_get_input(bev);
    while (done && !over) {
      const std::size_t n = evbuffer_get_length(in);
      if (n == 0) return;
      begun = true;
      if (!parser) {
        parser.emplace();
        parser->eager(true);
        parser->body_limit(std::numeric_limits<std::uint64_t>::max());
      }
      boost::beast::error_code ec;
      const std::size_t used = parser->put(
          boost::asio::const_buffer(evbuffer_pullup(in, -1), n), ec);
      evbuffer_drain(in, used);
      if (ec && ec != http::error::need_more) return End(HttpError::kInvalid);
      if (parser->is_done()) return Finish();
      if (ec == http::error::need_more && used == 0) return;
    }
    // Bytes that nothing was asked for.
    if (!done && evbuffer_get_length(in) > 0) over = true;
  }

  void Finish() {
    Rest();
    sent_due = HasSentDue();
    const bool is_sent = sent_due && written == request.pieces.size();
    over = over || !is_sent || !parser->keep_alive();
    HttpResponse response = ResponseOf(*parser);
    parser.reset();
    const auto tell = std::exchange(done, nullptr);
    if (over) Close();
    tell(std::move(response));
  }

  void End(HttpError error) {
    Rest();
    sent_due = HasSentDue();
    over = true;
    Close();
    const auto tell = std::exchange(done, nullptr);
    if (tell) tell(error);
  }

  bool HasSentDue() const {
    return bev != nullptr && written > 0 &&
           evbuffer_get_length(bufferevent_get_output(bev)) == 0;
  }

  void Rest() {
    timer.Cancel();
    write_timer.Cancel();
    read_timer.Cancel();
    free_since = loop.Now();
  }

  void Close() {
    if (bev != nullptr) bufferevent_free(std::exchange(bev, nullptr));
  }

  EventLoop& loop;
  Timer timer;
  Timer write_timer;
  Timer read_timer;
  KeptRequest request;
  std::size_t written = 0;  // of its pieces
  bool sent_due = false;
  bool begun = false;
  Time free_since = loop.Now();
  bufferevent* bev = nullptr;
  std::optional<Parser> parser;
  Done done;
  bool connected = false;
  bool over = false;
};

KeptConnection::KeptConnection(EventLoop& loop, const std::string& address)
    : address_(address), link_(std::make_shared<Link>(loop)) {
  link_->Connect(address);
}

KeptConnection::~KeptConnection() {
  link_->done = nullptr;
  link_->Rest();
  link_->over = true;
  link_->Close();
}

bool KeptConnection::IsFree() const { return !link_->over && !link_->done; }

bool KeptConnection::IsOver() const { return link_->over && !link_->done; }

bool KeptConnection::has_sent_due() const { return link_->sent_due; }

bool KeptConnection::has_answer_begun() const { return link_->begun; }

Time KeptConnection::free_since() const { return link_->free_since; }

void KeptConnection::Ask(KeptRequest request, Done done) {
  link_->done = std::move(done);
  link_->Ask(std::move(request));
}

}  // namespace scaleshed::testing

#include "scaleshed/testing/kept_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/beast/http.hpp>
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
  explicit Link(EventLoop& loop)
      : timer(loop, [this] { End(HttpError::kTimeout); }) {}
  ~Link() {
    if (bev != nullptr) bufferevent_free(bev);
  }

  void Connect(EventLoop& loop, const std::string& address) {
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

  void ReadAll() {
    evbuffer* in = bufferevent_get_input(bev);
    while (done && !over) {
      const std::size_t n = evbuffer_get_length(in);
      if (n == 0) return;
      if (!parser) {
        parser.emplace();
        parser->eager(true);
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
    timer.Cancel();
    over = over || !parser->keep_alive();
    HttpResponse response = ResponseOf(*parser);
    parser.reset();
    const auto tell = std::exchange(done, nullptr);
    if (over) Close();
    tell(std::move(response));
  }

  void End(HttpError error) {
    timer.Cancel();
    over = true;
    Close();
    const auto tell = std::exchange(done, nullptr);
    if (tell) tell(error);
  }

  void Close() {
    if (bev != nullptr) bufferevent_free(std::exchange(bev, nullptr));
  }

  Timer timer;
  bufferevent* bev = nullptr;
  std::optional<Parser> parser;
  Done done;
  bool connected = false;
  bool over = false;
};

KeptConnection::KeptConnection(EventLoop& loop, const std::string& address)
    : address_(address), link_(std::make_shared<Link>(loop)) {
  link_->Connect(loop, address);
}

KeptConnection::~KeptConnection() {
  link_->done = nullptr;
  link_->timer.Cancel();
  link_->Close();
}

bool KeptConnection::IsFree() const { return !link_->over && !link_->done; }

bool KeptConnection::IsOver() const { return link_->over && !link_->done; }

void KeptConnection::Ask(std::string bytes, Duration timeout, Done done) {
  link_->done = std::move(done);
  link_->timer.Once(timeout);
  if (link_->over) return link_->timer.Once(Duration::zero());
  bufferevent_write(link_->bev, bytes.data(), bytes.size());
}

}  // namespace scaleshed::testing

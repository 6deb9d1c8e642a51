#include "scaleshed/runtime/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include "internal/unreserved_body.h"
#include "scaleshed/runtime/address.h"

namespace scaleshed {
namespace {

namespace http = boost::beast::http;
using Parser = http::response_parser<internal::UnreservedBody>;

// Response heads over this, and chunks' heads, are no sound answer.
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
// Bytes that are read ahead of the parser. Above kMaxHeadBytes, so that a head
// which is too long can be told from one that isn't there yet.
constexpr std::size_t kReadAheadBytes = 256 * 1024;
// Interim responses (1xx) before a final one: servers send one or two.
constexpr int kMaxInterimResponses = 16;
// The interval of HttpCall::on_connecting: many times the time in which a
// connection stands on an undisturbed link.
constexpr Duration kConnectingInterval = milliseconds(150);
// A peer that takes nothing of what was sent for so long is gone. Above two
// retransmissions on a lossy link, below the shortest deadline of a caller.
constexpr unsigned kUnackedLimitMillis = 3000;

// Bodies up to this are sent from one buffer with their head.
constexpr std::size_t kMaxCopiedBodyBytes = 16 * 1024;

std::string RequestHead(const HttpCall& call) {
  std::string bytes = call.method + " " + call.path + " HTTP/1.1\r\n";
  const auto add = [&](std::string_view name, std::string_view value) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  };
  if (call.headers.find("Host") == call.headers.end()) {
    add("Host", call.address);
  }
  for (const auto& [name, value] : call.headers) add(name, value);
  if (call.announce_close) add("Connection", "close");
  const bool bodiless = call.method == "GET" || call.method == "HEAD";
  if (!call.body.empty() || !bodiless) {
    add("Content-Length", std::to_string(call.body.size()));
  }
  return bytes + "\r\n";
}

// Adds a body without a copy; it goes once all of it was sent.
void AddBody(evbuffer* out, std::string body) {
  auto owned = std::make_unique<std::string>(std::move(body));
  const std::string& bytes = *owned;
  evbuffer_add_reference(
      out, bytes.data(), bytes.size(),
      [](const void* /*data*/, std::size_t /*size*/, void* arg) {
        const std::unique_ptr<std::string> sent(static_cast<std::string*>(arg));
      },
      owned.release());
}

// Whether each part of the call's head ends where the server will see its end.
bool IsWellFormed(const HttpCall& call) {
  const auto is_word = [](std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char it) { return it > ' '; });
  };
  const auto is_line = [](std::string_view text) {
    constexpr std::string_view kEnds("\r\n\0", 3);
    return text.find_first_of(kEnds) == std::string_view::npos;
  };
  return is_word(call.method) && is_word(call.path) &&
         std::all_of(call.headers.begin(), call.headers.end(),
                     [&](const auto& it) {
                       return is_line(it.first) && is_line(it.second);
                     });
}

// Whether a response to one of this client's calls may have that status.
bool IsExpectedStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

HttpResponse HeadOf(const Parser& parser) {
  const auto& message = parser.get();
  HttpResponse head{.status = static_cast<int>(message.result_int()),
                    .reason = std::string(message.reason()),
                    .headers = {},
                    .body = {}};
  for (const auto& it : message) {
    head.headers.Add(std::string(it.name_string()), std::string(it.value()));
  }
  return head;
}

}  // namespace

// One call. It is freed from the loop, never from within libevent's callbacks.
class HttpClient::Exchange {
 public:
  Exchange(HttpClient& client, CallId id, HttpCall call)
      : client_(client),
        id_(id),
        call_(std::move(call)),
        timer_(client.loop_, [this] { Finish(HttpError::kTimeout); }),
        silence_timer_(client.loop_, [this] { Finish(HttpError::kTimeout); }),
        connect_timer_(client.loop_, [this] { Finish(HttpError::kNotSent); }),
        connecting_timer_(client.loop_, [this] { OnConnecting(); }) {}
  ~Exchange() {
    if (bev_ != nullptr) bufferevent_free(bev_);
  }

  void Start() {
    if (call_.timeout > Duration::zero()) timer_.Once(call_.timeout);
    AwaitBytes();
    connect_timer_.Once(call_.connect_timeout);
    if (call_.on_connecting) connecting_timer_.Every(kConnectingInterval);
    if (!IsWellFormed(call_)) {
      FinishSoon(HttpError::kMalformed);
      return;
    }
    const auto to = SocketAddress(call_.address);
    bev_ =
        bufferevent_socket_new(client_.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (!to || bev_ == nullptr) {
      FinishSoon(HttpError::kNotSent);
      return;
    }
    bufferevent_setcb(bev_, OnRead, nullptr, OnEvent, this);
    bufferevent_setwatermark(bev_, EV_READ, 0, kReadAheadBytes);
    sockaddr_in name = *to;
    errno = 0;
    if (bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&name),
                                   sizeof(name)) != 0) {
      FinishSoon(HttpError::kNotSent);
    }
    // Refused at once: the event that tells of it has lost the reason.
    refused_ = errno == ECONNREFUSED;
  }

 private:
  void AwaitBytes() {
    if (call_.silence > Duration::zero()) silence_timer_.Once(call_.silence);
  }

  // Callers don't expect an answer before Start() has returned.
  void FinishSoon(HttpError error) {
    client_.loop_.Defer([client = &client_, id = id_, error] {
      const auto it = client->exchanges_.find(id);
      if (it != client->exchanges_.end()) it->second->Finish(error);
    });
  }

  void OnConnecting() {
    const auto self = Held();
    slow_connect_ = true;
    call_.on_connecting();
  }

  void OnConnected() {
    connected_ = true;
    connect_timer_.Cancel();
    connecting_timer_.Cancel();
    const int fd = bufferevent_getfd(bev_);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnackedLimitMillis,
               sizeof(kUnackedLimitMillis));
    std::string bytes = RequestHead(call_);
    std::string body = std::exchange(call_.body, {});
    if (body.size() <= kMaxCopiedBodyBytes) bytes += std::exchange(body, {});
    bufferevent_write(bev_, bytes.data(), bytes.size());
    if (!body.empty()) AddBody(bufferevent_get_output(bev_), std::move(body));
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    if (slow_connect_ && call_.on_late_connect) call_.on_late_connect();
  }

  static void OnRead(bufferevent* /*bev*/, void* arg) {
    const auto self = static_cast<Exchange*>(arg)->Held();
    self->AwaitBytes();
    self->ReadAll();
  }

  static void OnEvent(bufferevent* /*bev*/, short what, void* arg) {
    const auto self = static_cast<Exchange*>(arg)->Held();
    if (self->finished_) return;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      self->OnConnected();
      return;
    }
    if (!self->connected_) {
      const bool refused =
          self->refused_ || EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
      self->Finish(refused ? HttpError::kRefused : HttpError::kNotSent);
      return;
    }
    self->ReadAll();
    if (self->finished_) return;
    if ((what & BEV_EVENT_EOF) != 0) {
      self->OnEnd();
    } else {
      self->Finish(HttpError::kCut);
    }
  }

  // Keeps the exchange alive through a callback that may cancel it.
  std::shared_ptr<Exchange> Held() { return client_.exchanges_.at(id_); }

  void ReadAll() {
    evbuffer* in = bufferevent_get_input(bev_);
    while (!finished_) {
      const std::size_t n = evbuffer_get_length(in);
      if (n == 0) return;
      if (!parser_) StartParser();
      const auto* bytes = evbuffer_pullup(in, -1);
      boost::beast::error_code ec;
      const std::size_t used =
          parser_->put(boost::asio::const_buffer(bytes, n), ec);
      evbuffer_drain(in, used);
      if (ec && ec != http::error::need_more) {
        Finish(ec == http::error::header_limit ? HttpError::kHeadTooLong
                                               : HttpError::kInvalid);
        return;
      }
      TakeParsed();
      if (finished_ || used > 0) continue;
      // The parser takes all of a body, so that what it leaves is a head.
      if (n > kMaxHeadBytes) Finish(HttpError::kHeadTooLong);
      return;
    }
  }

  void StartParser() {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kMaxHeadBytes);
    // TakeBody() bounds what is collected; streams have no bound.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (call_.method == "HEAD") parser_->skip(true);
  }

  void TakeParsed() {
    constexpr int kFirstFinalStatus = 200;
    if (!parser_->is_header_done()) return;
    const unsigned status = parser_->get().result_int();
    if (!IsExpectedStatus(status)) {
      Finish(HttpError::kInvalidStatus);
      return;
    }
    if (status < kFirstFinalStatus) {
      if (!parser_->is_done()) return;
      parser_.reset();
      if (++interim_responses_ > kMaxInterimResponses)
        Finish(HttpError::kTooManyInterim);
      return;
    }
    if (!std::exchange(told_head_, true)) {
      head_ = HeadOf(*parser_);
      const auto length = parser_->content_length();
      const bool collects = !PassesOnBody() && call_.method != "HEAD";
      if (collects && length && *length > call_.max_body_bytes) {
        Finish(HttpError::kBodyTooLong);
        return;
      }
      if (call_.on_head) call_.on_head(head_);
      if (finished_) return;
    }
    if (call_.on_progress) call_.on_progress(head_);
    if (finished_) return;
    TakeBody();
    if (!finished_ && parser_->is_done()) FinishWhole();
  }

  bool PassesOnBody() const {
    constexpr int kOk = 200;
    return call_.on_chunk && head_.status == kOk;
  }

  void TakeBody() {
    std::string text = std::move(parser_->get().body());
    parser_->get().body().clear();
    if (text.empty()) return;
    if (PassesOnBody()) {
      call_.on_chunk(text);
    } else if (text.size() > call_.max_body_bytes - head_.body.size()) {
      Finish(HttpError::kBodyTooLong);
    } else {
      head_.body += text;
    }
  }

  // The server closed in good order: whole only for a body without a length.
  void OnEnd() {
    if (!parser_ || !parser_->is_header_done()) {
      Finish(HttpError::kCut);
      return;
    }
    boost::beast::error_code ec;
    parser_->put_eof(ec);
    if (ec) {
      Finish(HttpError::kCut);
    } else {
      head_.ended_by_close = true;
      FinishWhole();
    }
  }

  void FinishWhole() {
    whole_ = true;
    Finish(std::move(head_));
  }

  void Finish(HttpResult result) {
    if (std::exchange(finished_, true)) return;
    Stop();
    const auto done = std::move(call_.on_done);
    client_.Remove(id_);
    if (done) done(std::move(result));
  }

  // Breaks the connection at once, so that the server stops working.
  void Stop() {
    timer_.Cancel();
    silence_timer_.Cancel();
    connect_timer_.Cancel();
    connecting_timer_.Cancel();
    if (bev_ == nullptr) return;
    if (!whole_) DropUnsent();
    bufferevent_free(std::exchange(bev_, nullptr));
  }

  // A request that is given up while it waits behind others on a full link is
  // not to leave later: the close takes back what the socket still holds.
  void DropUnsent() {
    constexpr linger kNothingLeft{.l_onoff = 1, .l_linger = 0};
    setsockopt(bufferevent_getfd(bev_), SOL_SOCKET, SO_LINGER, &kNothingLeft,
               sizeof(kNothingLeft));
  }

  HttpClient& client_;
  CallId id_;
  HttpCall call_;
  Timer timer_;
  Timer silence_timer_;
  Timer connect_timer_;
  Timer connecting_timer_;
  bufferevent* bev_ = nullptr;
  std::optional<Parser> parser_;
  HttpResponse head_;
  int interim_responses_ = 0;
  bool connected_ = false;
  bool slow_connect_ = false;  // on_connecting was called
  bool refused_ = false;
  bool told_head_ = false;
  bool whole_ = false;  // the answer has come to its end
  bool finished_ = false;

  friend class HttpClient;
};

HttpClient::~HttpClient() {
  for (auto& [id, exchange] : exchanges_) exchange->finished_ = true;
}

HttpClient::CallId HttpClient::Start(HttpCall call) {
  const CallId id = ++last_id_;
  const auto exchange = std::make_shared<Exchange>(*this, id, std::move(call));
  exchanges_[id] = exchange;
  exchange->Start();
  return id;
}

void HttpClient::Cancel(CallId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  it->second->finished_ = true;
  it->second->Stop();
  Remove(id);
}

void HttpClient::Remove(CallId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  loop_.Defer([exchange = it->second] {});
  exchanges_.erase(it);
}

}  // namespace scaleshed

#include "internal/server_connection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "scaleshed/runtime/log.h"

namespace scaleshed::internal {
namespace {

namespace http = boost::beast::http;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;

// When a request that was refused for lack of memory is worth another try: slow
// requests have been found by then.
constexpr Duration kRetryAfterShed = seconds(1);

// How long a closing connection waits for its client once all is sent, so that
// bytes still on the way don't reset it before the last answer was read.
constexpr Duration kLinger = seconds(1);
// The same for a client that goes on sending.
constexpr Duration kMaxLinger = seconds(5);
// Bytes that such a client may still send, or a whole body where that is more.
constexpr std::int64_t kLeastDiscardedBytes = 4 * 1024 * 1024;
// A client that takes no byte of an answer for so long is cut off. The idle
// time is for connections at rest, and may be shorter.
constexpr Duration kUnsentLimit = seconds(10);
// A client that takes nothing of what was sent for so long is gone.
constexpr unsigned kUnackedLimitMillis = 5000;
// Bytes of a stream that its client leaves unread. A stream may have no end, so
// that it can't be held for a client that doesn't read.
constexpr std::size_t kMaxUnsentStreamBytes = 8 * 1024 * 1024;
// Bytes read ahead of the request in work; a client that sends more waits.
constexpr std::size_t kReadAheadBytes = 256 * 1024;

// Shapes that some servers read differently from others: a NUL, a folded line,
// a line end without its carriage return.
bool IsPlainHead(std::string_view head) {
  for (std::size_t i = 0; i < head.size(); ++i) {
    if (head[i] == '\0') return false;
    if (head[i] == '\r' && (i + 1 >= head.size() || head[i + 1] != '\n')) {
      return false;
    }
    if (head[i] != '\n') continue;
    if (i == 0 || head[i - 1] != '\r') return false;
    if (i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t')) {
      return false;
    }
  }
  return true;
}

std::size_t CountField(const http::request<UnreservedBody>& request,
                       http::field name) {
  const auto range = request.equal_range(name);
  return static_cast<std::size_t>(std::distance(range.first, range.second));
}

HttpRequest HeadOf(const http::request<UnreservedBody>& message) {
  HttpRequest request{.method = std::string(message.method_string()),
                      .target = std::string(message.target()),
                      .headers = {},
                      .body = {},
                      .minor_version = message.version() >= 11 ? 1 : 0};
  for (const auto& it : message) {
    request.headers.Add(std::string(it.name_string()), std::string(it.value()));
  }
  return request;
}

std::size_t ReceiveBufferBytes(int fd) {
  int bytes = 0;
  socklen_t length = sizeof(bytes);
  const int failed = getsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, &length);
  return failed == 0 ? static_cast<std::size_t>(bytes) : 0;
}

}  // namespace

ServerConnection::ServerConnection(HttpServer& server, int fd)
    : server_(&server),
      bev_(bufferevent_socket_new(server.loop_.base(), fd,
                                  BEV_OPT_CLOSE_ON_FREE)),
      timer_(server.loop_, [this] { OnTime(); }),
      charge_(server.options_.budget),
      idle_since_(server.loop_.Now()) {
  if (server.options_.budget != nullptr)
    server.options_.budget->connections_.insert(this);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnackedLimitMillis,
             sizeof(kUnackedLimitMillis));
}

ServerConnection::~ServerConnection() {
  if (bev_ != nullptr) bufferevent_free(bev_);
}

void ServerConnection::Open() {
  bufferevent_setcb(bev_, OnRead, OnWritten, OnEvent, this);
  bufferevent_setwatermark(bev_, EV_READ, 0, kReadAheadBytes);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  timer_.Once(server_->options_.idle_timeout);
}

void ServerConnection::OnRead(bufferevent* bev, void* arg) {
  const auto self = static_cast<ServerConnection*>(arg)->shared_from_this();
  const bool suspended =
      self->answering_ &&
      evbuffer_get_length(bufferevent_get_input(bev)) >= kReadAheadBytes;
  if (suspended)
    self->socket_bytes_ = ReceiveBufferBytes(bufferevent_getfd(bev));
  self->ReadRequests();
  if (!self->closed_) self->ShedIfOver();
}

void ServerConnection::OnWritten(bufferevent* /*bev*/, void* arg) {
  const auto self = static_cast<ServerConnection*>(arg)->shared_from_this();
  self->OnAllWritten();
}

void ServerConnection::OnEvent(bufferevent* /*bev*/, short what, void* arg) {
  const auto self = static_cast<ServerConnection*>(arg)->shared_from_this();
  // A client that has said all may still read; if not, the next bytes fail.
  const bool says_no_more = (what & BEV_EVENT_EOF) != 0;
  if (says_no_more && self->Stage() == ConnectionStage::kSending) {
    self->parser_.reset();
    self->reading_head_ = false;
    self->closing_ = true;
    return;
  }
  self->Break(ConnectionEnd::kClient);
}

void ServerConnection::OnAllWritten() {
  if (closing_) {
    CloseAfterWriting();
  } else if (Stage() == ConnectionStage::kIdle) {
    timer_.Once(server_->options_.idle_timeout);
  }
}

void ServerConnection::OnTime() {
  const auto self = shared_from_this();
  // Bytes that came while the loop was busy are read next. They don't prolong
  // the reading of a head.
  if (!closing_ && !reading_head_ && HasUnreadBytes()) return;
  if (reading_head_ || parser_) {
    const std::string part = reading_head_ ? "head" : "body";
    Refuse(kRequestTimeout, "the " + part + " of the request took too long\n");
    return;
  }
  if (Stage() == ConnectionStage::kSending && BytesTaken() > taken_before_) {
    AwaitClient();
    return;
  }
  Break(ConnectionEnd::kTimeout);
}

std::string ServerConnection::RemoteAddress() const {
  if (closed_) return "";
  sockaddr_in name{};
  socklen_t length = sizeof(name);
  const int failed = getpeername(bufferevent_getfd(bev_),
                                 reinterpret_cast<sockaddr*>(&name), &length);
  std::array<char, INET_ADDRSTRLEN> text{};
  const bool known = failed == 0 && inet_ntop(AF_INET, &name.sin_addr,
                                              text.data(), text.size());
  if (!known) return "";
  return std::string(text.data()) + ":" + std::to_string(ntohs(name.sin_port));
}

void ServerConnection::Write(const std::string& bytes) {
  if (closed_) return;
  if (UnsentBytes() == 0) answer_metered_ = false;
  bufferevent_write(bev_, bytes.data(), bytes.size());
  written_ += bytes.size();
  UpdateCharge();
}

std::size_t ServerConnection::UnsentBytes() const {
  return evbuffer_get_length(bufferevent_get_output(bev_));
}

std::uint64_t ServerConnection::BytesTaken() const {
  return written_ - UnsentBytes();
}

std::uint64_t ServerConnection::BodyBytes() const {
  return parser_ ? parser_->get().body().capacity() : 0;
}

void ServerConnection::UpdateCharge() {
  if (closed_) return;
  charge_.Set(evbuffer_get_length(bufferevent_get_input(bev_)) + socket_bytes_ +
              BodyBytes() + UnsentBytes());
}

void ServerConnection::ShedIfOver() {
  UpdateCharge();
  const auto& budget = server_->options_.budget;
  if (budget != nullptr && budget->IsOver(charge_.bytes()))
    budget->Shed(charge_.bytes(), server_->loop_.Now());
}

ConnectionLoad ServerConnection::Load(Time now) {
  ConnectionLoad load{.stage = Stage(), .served = served_};
  const std::uint64_t read =
      evbuffer_get_length(bufferevent_get_input(bev_)) + socket_bytes_;
  if (answering_) {
    load.read_ahead_bytes = read;
  } else {
    load.request_bytes = read + BodyBytes();
  }
  load.reads_head = reading_head_;
  load.reads_body = parser_.has_value();
  const bool reads = load.reads_head || load.reads_body;
  load.since = reads ? request_began_ : idle_since_;
  if (reads) load.request_rate = request_meter_.Rate(now);
  load.lingering = half_closed_;
  load.unsent_bytes = UnsentBytes();
  if (load.unsent_bytes > 0) {
    const std::uint64_t taken = BytesTaken();
    if (!std::exchange(answer_metered_, true)) {
      answer_meter_.Start(now);
      metered_taken_ = taken;
    }
    answer_meter_.Add(taken - std::exchange(metered_taken_, taken), now);
    load.answer_rate = answer_meter_.Rate(now);
  }
  return load;
}

void ServerConnection::Shed(ShedReason reason) {
  const auto self = shared_from_this();
  LogRoutine("connection_shed",
             {{"why", std::string(NameIn(kShedReasonNames, reason))},
              {"request", request_name_},
              {"stage", std::string(NameIn(kConnectionStageNames, Stage()))},
              {"bytes", std::to_string(charge_.bytes())},
              {"held_bytes", std::to_string(server_->HeldBytes())},
              {"connections", std::to_string(server_->connections())}});
  switch (reason) {
    case ShedReason::kReadAhead:
      client_keeps_ = false;
      DiscardInput();
      break;
    case ShedReason::kSlowRequest:
    case ShedReason::kNewestRequest:
      Refuse(kUnavailable, "no memory is left for the request\n",
             kRetryAfterShed);
      break;
    case ShedReason::kUnreadAnswer:
    case ShedReason::kIdle:
    case ShedReason::kSlowConnection:
    case ShedReason::kNewConnection:
      Break(ConnectionEnd::kShed);
      break;
  }
}

void ServerConnection::DiscardInput() {
  discards_ = true;
  socket_bytes_ = 0;
  evbuffer* in = bufferevent_get_input(bev_);
  discarded_bytes_ += evbuffer_get_length(in);
  evbuffer_drain(in, evbuffer_get_length(in));
  UpdateCharge();
}

bool ServerConnection::HasUnreadBytes() const {
  char first = 0;
  return evbuffer_get_length(bufferevent_get_input(bev_)) > 0 ||
         recv(bufferevent_getfd(bev_), &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ServerConnection::AwaitClient() {
  taken_before_ = BytesTaken();
  timer_.Once(kUnsentLimit);
}

ConnectionStage ServerConnection::Stage() const {
  if (answering_) return ConnectionStage::kAnswering;
  if (UnsentBytes() > 0) return ConnectionStage::kSending;
  if (parser_) return ConnectionStage::kBody;
  return reading_head_ ? ConnectionStage::kHead : ConnectionStage::kIdle;
}

void ServerConnection::ReadRequests() {
  if (closing_ || discards_) {
    // What comes after the last answer belongs to no request.
    DiscardInput();
    AwaitEndOfInput();
    return;
  }
  while (!closed_ && !answering_ && !closing_ && ReadSome()) {
  }
}

bool ServerConnection::ReadSome() {
  evbuffer* in = bufferevent_get_input(bev_);
  if (evbuffer_get_length(in) == 0) return false;
  if (!parser_ && !BeginHead()) return false;
  const std::size_t n = evbuffer_get_length(in);
  const auto* bytes = evbuffer_pullup(in, -1);
  const bool had_head = parser_->is_header_done();
  boost::beast::error_code ec;
  const std::size_t used =
      parser_->put(boost::asio::const_buffer(bytes, n), ec);
  evbuffer_drain(in, used);
  if (ec == http::error::body_limit) {
    Refuse(kPayloadTooLarge, "the body is over the limit\n");
    return false;
  }
  if (ec == http::error::header_limit) {
    Refuse(kHeadersTooLarge, "the head is over the limit\n");
    return false;
  }
  if (ec && ec != http::error::need_more) {
    Refuse(kBadRequest, "the request can't be read: " + ec.message() + "\n");
    return false;
  }
  if (!had_head && parser_->is_header_done() && !CheckParsedHead()) {
    return false;
  }
  if (parser_->is_done()) {
    Dispatch(TakeRequest());
    return true;
  }
  if (!CheckLargeRequest()) return false;
  const bool awaits_continue =
      !had_head && parser_->is_header_done() &&
      boost::beast::iequals(parser_->get()[http::field::expect],
                            "100-continue");
  if (awaits_continue) Write("HTTP/1.1 100 Continue\r\n\r\n");
  if (used > 0) {
    request_meter_.Add(used, server_->loop_.Now());
    timer_.Once(server_->options_.idle_timeout);
  }
  return used > 0;
}

bool ServerConnection::CheckLargeRequest() {
  if (checked_large_ || !parser_->is_header_done()) return true;
  const std::uint64_t named = parser_->content_length().value_or(0);
  const std::uint64_t bytes =
      std::max<std::uint64_t>(named, parser_->get().body().size());
  if (bytes <= ConnectionBudget::kSmallBytes) return true;
  checked_large_ = true;
  if (!server_->head_check_) return true;
  HttpRequest head = HeadOf(parser_->get());
  if (server_->head_check_(head)) return true;
  head.body_omitted = true;
  parser_.reset();
  client_keeps_ = false;
  DiscardInput();
  Dispatch(std::move(head));
  return false;
}

// Waits for a whole head, so that it can be looked at as one piece.
bool ServerConnection::BeginHead() {
  evbuffer* in = bufferevent_get_input(bev_);
  const auto most =
      static_cast<std::size_t>(server_->options_.max_header_bytes);
  if (!std::exchange(reading_head_, true)) {
    request_name_.clear();
    request_began_ = server_->loop_.Now();
    request_meter_.Start(request_began_);
    head_bytes_ = 0;
    checked_large_ = false;
    timer_.Once(server_->options_.header_timeout);
  }
  const evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, nullptr);
  const std::size_t size = end.pos < 0 ? evbuffer_get_length(in)
                                       : static_cast<std::size_t>(end.pos) + 4;
  if (size > most) {
    Refuse(kHeadersTooLarge, "the head is over the limit\n");
    return false;
  }
  if (end.pos < 0) {
    request_meter_.Add(size - std::exchange(head_bytes_, size),
                       server_->loop_.Now());
    return false;
  }
  const auto* bytes = reinterpret_cast<const char*>(
      evbuffer_pullup(in, static_cast<ev_ssize_t>(size)));
  if (!IsPlainHead({bytes, size})) {
    Refuse(kBadRequest, "the head has a NUL, a folded or a bare line\n");
    return false;
  }
  reading_head_ = false;
  timer_.Once(server_->options_.idle_timeout);
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(most));
  parser_->body_limit(
      static_cast<std::uint64_t>(server_->options_.max_body_bytes));
  return true;
}

bool ServerConnection::CheckParsedHead() {
  const auto& request = parser_->get();
  const std::size_t lengths = CountField(request, http::field::content_length);
  const std::size_t codings =
      CountField(request, http::field::transfer_encoding);
  const bool chunked =
      boost::beast::iequals(request[http::field::transfer_encoding], "chunked");
  const bool framed_once = lengths + codings <= 1 && (codings == 0 || chunked);
  const std::size_t hosts = CountField(request, http::field::host);
  const std::size_t least_hosts = request.version() >= 11 ? 1 : 0;
  if (!framed_once || hosts < least_hosts || hosts > 1) {
    Refuse(kBadRequest, "the request has no single length or host\n");
    return false;
  }
  return true;
}

HttpRequest ServerConnection::TakeRequest() {
  http::request<UnreservedBody> message = parser_->release();
  client_keeps_ = message.keep_alive();
  parser_.reset();
  HttpRequest request = HeadOf(message);
  request.body = std::move(message.body());
  return request;
}

void ServerConnection::Dispatch(HttpRequest request) {
  answering_ = true;
  timer_.Cancel();
  // The request's own body, and the copy of it that is sent on.
  BudgetCharge charge(server_->options_.budget);
  charge.Set(request.body.capacity() + request.body.size());
  UpdateCharge();
  auto exchange =
      std::make_shared<HttpExchange>(weak_from_this(), std::move(request));
  exchange->Hold(std::move(charge));
  exchange_ = exchange;
  server_->handler_(std::move(exchange));
}

void ServerConnection::Refuse(int status, const std::string& message,
                              std::optional<Duration> retry_after) {
  LogInfo(
      "request_unread",
      {{"status", std::to_string(status)},
       {"why", message.substr(0, message.find('\n'))},
       {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                       server_->loop_.Now() - request_began_)
                                       .count())}});
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  std::string head =
      "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
  for (const auto& [name, value] : server_->options_.refusal_headers)
    head.append(name).append(": ").append(value).append("\r\n");
  if (retry_after) {
    const auto whole = std::chrono::ceil<seconds>(*retry_after).count();
    head += "Retry-After: " + std::to_string(whole) + "\r\n";
  }
  Write(head + "Content-Type: text/plain\r\nContent-Length: " +
        std::to_string(message.size()) + "\r\nConnection: close\r\n\r\n" +
        message);
  parser_.reset();
  reading_head_ = false;
  closing_ = true;
  DiscardInput();
  AwaitClient();
}

void ServerConnection::AnswerDone(bool close) {
  if (closed_) return;
  answering_ = false;
  served_ = true;
  socket_bytes_ = 0;
  idle_since_ = server_->loop_.Now();
  closing_ = close || !client_keeps_;
  if (UnsentBytes() > 0) {
    AwaitClient();
  } else {
    OnAllWritten();
  }
  if (closing_) return;
  // The next request may be there already; it is read from the loop, as the
  // caller is still inside the handler of this one.
  server_->loop_.Defer([self = shared_from_this()] {
    if (!self->closed_) self->ReadRequests();
  });
}

// Says that nothing more comes, and waits for the client to close.
void ServerConnection::CloseAfterWriting() {
  if (closed_ || std::exchange(half_closed_, true)) return;
  shutdown(bufferevent_getfd(bev_), SHUT_WR);
  linger_until_ = server_->loop_.Now() + kMaxLinger;
  discarded_bytes_ = 0;
  timer_.Once(kLinger);
}

// A client that is in the middle of a request may read its answer only once it
// has sent all of it.
void ServerConnection::AwaitEndOfInput() {
  if (!half_closed_) return;
  const Duration left = linger_until_ - server_->loop_.Now();
  const auto most = static_cast<std::uint64_t>(
      std::max(server_->options_.max_body_bytes, kLeastDiscardedBytes));
  if (left <= Duration::zero() || discarded_bytes_ > most) {
    Break(ConnectionEnd::kTimeout);
  } else {
    timer_.Once(std::min(kLinger, left));
  }
}

void ServerConnection::Break(ConnectionEnd end) {
  if (std::exchange(closed_, true)) return;
  const auto self = shared_from_this();
  const CutConnection cut{.stage = Stage(),
                          .end = end,
                          .request = request_name_,
                          .unsent_bytes = UnsentBytes(),
                          .age = server_->loop_.Now() - request_began_};
  timer_.Cancel();
  bufferevent_free(std::exchange(bev_, nullptr));
  parser_.reset();
  charge_.Set(0);
  if (server_->options_.budget != nullptr)
    server_->options_.budget->connections_.erase(this);
  if (const auto exchange = exchange_.lock(); exchange && answering_) {
    exchange->ConnectionClosed();
  }
  const bool is_cut = cut.stage != ConnectionStage::kIdle;
  if (is_cut && server_->cut_) server_->cut_(cut);
  if (server_ != nullptr) {
    server_->loop_.Defer([self] {});
    server_->connections_.erase(this);
  }
}

void ServerConnection::LimitUnsentStream() {
  if (closed_) return;
  const auto& budget = server_->options_.budget;
  if (budget != nullptr && budget->IsOver(charge_.bytes()) &&
      !std::exchange(sheds_soon_, true)) {
    server_->loop_.Defer([self = shared_from_this()] {
      self->sheds_soon_ = false;
      if (!self->closed_) self->ShedIfOver();
    });
  }
  if (UnsentBytes() <= kMaxUnsentStreamBytes) return;
  // Not from within the handler, which is told of the end.
  server_->loop_.Defer(
      [self = shared_from_this()] { self->Break(ConnectionEnd::kUnread); });
}

void ServerConnection::CloseIfIdle() {
  const bool idle = !answering_ && !parser_ && !reading_head_ && !closing_;
  if (!idle || HasUnreadBytes()) return;
  closing_ = true;
  if (UnsentBytes() == 0) Break(ConnectionEnd::kServer);
}

}  // namespace scaleshed::internal

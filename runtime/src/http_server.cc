#include "scaleshed/runtime/http_server.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "internal/server_connection.h"
#include "scaleshed/runtime/address.h"
#include "scaleshed/runtime/http_query.h"
#include "scaleshed/runtime/log.h"

namespace scaleshed {
namespace {

constexpr int kInternalError = 500;
// New connections that wait to be accepted; a full queue drops their opening
// packets, which come again only after a second.
constexpr int kAcceptQueue = 1024;
// After a connection couldn't be accepted for lack of descriptors or memory.
constexpr Duration kAcceptPause = milliseconds(50);
// Connections at rest that are looked at for requests not yet read, before a
// new connection is closed instead.
constexpr int kMaxRoomAttempts = 8;

std::string ReasonOf(int status) {
  const auto known =
      boost::beast::http::int_to_status(static_cast<unsigned>(status));
  return std::string(boost::beast::http::obsolete_reason(known));
}

std::string HexLength(std::size_t n) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  do {
    text.insert(text.begin(), kDigits[n % 16]);
    n /= 16;
  } while (n > 0);
  return text;
}

}  // namespace

HttpExchange::HttpExchange(std::weak_ptr<internal::ServerConnection> connection,
                           HttpRequest request)
    : connection_(std::move(connection)), request_(std::move(request)) {
  const std::size_t mark = request_.target.find('?');
  path_ = request_.target.substr(0, mark);
  if (mark != std::string::npos) query_ = request_.target.substr(mark + 1);
}

HttpExchange::~HttpExchange() {
  if (finished_ || gone_) return;
  if (streaming_) {
    Abort();
  } else {
    Reply(kInternalError, {}, "the request was dropped\n");
  }
}

std::string HttpExchange::Query(const std::string& name) const {
  return QueryValue(query_, name);
}

std::string HttpExchange::remote_address() const {
  const auto connection = Usable();
  return connection == nullptr ? "" : connection->RemoteAddress();
}

void HttpExchange::SetName(const std::string& name) {
  if (const auto connection = Usable()) connection->SetRequestName(name);
}

std::shared_ptr<internal::ServerConnection> HttpExchange::Usable() const {
  return finished_ || gone_ ? nullptr : connection_.lock();
}

std::string HttpExchange::Head(int status, const std::string& reason,
                               const HttpHeaders& headers,
                               std::optional<std::uint64_t> length) const {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                     (reason.empty() ? ReasonOf(status) : reason) + "\r\n";
  for (const auto& [name, value] : headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (length) {
    head += "Content-Length: " + std::to_string(*length) + "\r\n";
  } else if (chunked_) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  if (close_after_) head += "Connection: close\r\n";
  return head + "\r\n";
}

void HttpExchange::Reply(int status, const HttpHeaders& headers,
                         const std::string& body, const std::string& reason) {
  const auto connection = Usable();
  finished_ = true;
  if (connection == nullptr) return;
  if (!connection->client_keeps()) close_after_ = true;
  const bool bodiless = request_.method == "HEAD";
  connection->Write(Head(status, reason, headers, body.size()) +
                    (bodiless ? std::string() : body));
  connection->AnswerDone(close_after_);
}

void HttpExchange::StartStream(int status, const HttpHeaders& headers,
                               std::optional<std::uint64_t> length,
                               const std::string& reason) {
  const auto connection = Usable();
  if (connection == nullptr) return;
  streaming_ = true;
  chunked_ = !length && request_.minor_version >= 1;
  // Without a length or chunks only the connection's end marks the body's.
  if (!connection->client_keeps() || (!length && !chunked_)) {
    close_after_ = true;
  }
  connection->Write(Head(status, reason, headers, length));
}

void HttpExchange::SendChunk(const std::string& text) {
  const auto connection = Usable();
  if (connection == nullptr || !streaming_ || text.empty()) return;
  if (chunked_) {
    connection->Write(HexLength(text.size()) + "\r\n" + text + "\r\n");
  } else {
    connection->Write(text);
  }
  connection->LimitUnsentStream();
}

void HttpExchange::EndStream() {
  const auto connection = Usable();
  finished_ = true;
  if (connection == nullptr) return;
  if (chunked_) connection->Write("0\r\n\r\n");
  connection->AnswerDone(close_after_);
}

void HttpExchange::Abort() {
  const auto connection = Usable();
  finished_ = true;
  closed_ = nullptr;
  if (connection != nullptr) connection->Break(ConnectionEnd::kAborted);
}

void HttpExchange::ConnectionClosed() {
  if (gone_ || finished_) return;
  gone_ = true;
  if (closed_) std::exchange(closed_, nullptr)();
}

HttpServer::HttpServer(EventLoop& loop, const HttpServerOptions& options,
                       Handler handler)
    : loop_(loop),
      options_(options),
      handler_(std::move(handler)),
      accept_again_(loop, [this] {
        if (listener_ != nullptr) evconnlistener_enable(listener_);
      }) {
  const auto name = SocketAddress(options.address);
  if (name) {
    sockaddr_in bound = *name;
    listener_ = evconnlistener_new_bind(
        loop.base(), OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        kAcceptQueue, reinterpret_cast<sockaddr*>(&bound), sizeof(bound));
  }
  if (listener_ == nullptr) {
    throw std::runtime_error("can't listen on " + options.address);
  }
  evconnlistener_set_error_cb(
      listener_, [](evconnlistener* /*listener*/, void* arg) {
        static_cast<HttpServer*>(arg)->OnAcceptError(EVUTIL_SOCKET_ERROR());
      });
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
}

HttpServer::~HttpServer() {
  StopAccepting();
  while (!connections_.empty())
    connections_.begin()->second->Break(ConnectionEnd::kServer);
}

void HttpServer::SetLimits(const HttpServerOptions& options) {
  options_.max_body_bytes = options.max_body_bytes;
  options_.max_header_bytes = options.max_header_bytes;
  options_.header_timeout = options.header_timeout;
  options_.idle_timeout = options.idle_timeout;
}

void HttpServer::StopAccepting() {
  if (listener_ != nullptr) {
    evconnlistener_free(std::exchange(listener_, nullptr));
  }
}

void HttpServer::CloseIdle() {
  std::vector<std::shared_ptr<internal::ServerConnection>> open;
  open.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) open.push_back(connection);
  for (const auto& it : open) it->CloseIfIdle();
}

bool HttpServer::IsSending() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& it) {
                       return it.second->Stage() == ConnectionStage::kSending;
                     });
}

void HttpServer::OnAccept(evconnlistener* /*listener*/, int fd,
                          sockaddr* /*from*/, int /*length*/, void* arg) {
  auto* self = static_cast<HttpServer*>(arg);
  const std::size_t most = self->options_.max_connections;
  const bool is_full = most > 0 && self->connections_.size() >= most;
  if (is_full && !self->MakeRoom()) {
    if (self->options_.budget != nullptr)
      self->options_.budget->Count(ShedReason::kNewConnection);
    LogRoutine("connection_shed",
               {{"why", std::string(NameIn(kShedReasonNames,
                                           ShedReason::kNewConnection))},
                {"held_bytes", std::to_string(self->HeldBytes())},
                {"connections", std::to_string(self->connections_.size())}});
    evutil_closesocket(fd);
    return;
  }
  auto connection = std::make_shared<internal::ServerConnection>(*self, fd);
  self->connections_[connection.get()] = connection;
  connection->Open();
}

bool HttpServer::MakeRoom() {
  std::vector<std::shared_ptr<internal::ServerConnection>> open;
  std::vector<internal::ConnectionLoad> loads;
  const Time now = loop_.Now();
  for (const auto& [key, connection] : connections_) {
    open.push_back(connection);
    loads.push_back(connection->Load(now));
  }
  for (int i = 0; i < kMaxRoomAttempts; ++i) {
    const auto choice = internal::ChooseForConnection(loads);
    if (!choice) return false;
    internal::ServerConnection& chosen = *open[choice->index];
    const bool rests = loads[choice->index].stage == ConnectionStage::kIdle &&
                       !loads[choice->index].lingering;
    if (rests && chosen.HasUnreadBytes()) {
      // A request has come that the loop didn't get to yet.
      loads[choice->index].stage = ConnectionStage::kAnswering;
      continue;
    }
    if (options_.budget != nullptr) options_.budget->Count(choice->reason);
    chosen.Shed(choice->reason);
    return true;
  }
  return false;
}

std::uint64_t HttpServer::HeldBytes() const {
  return options_.budget == nullptr ? 0 : options_.budget->held_bytes();
}

// The listener would be tried again at once, and fail again.
void HttpServer::OnAcceptError(int error) {
  LogWarn("accept_failed",
          {{"error", evutil_socket_error_to_string(error)},
           {"connections", std::to_string(connections_.size())}});
  MakeRoom();
  evconnlistener_disable(listener_);
  accept_again_.Once(kAcceptPause);
}

}  // namespace scaleshed

#ifndef SCALESHED_RUNTIME_HTTP_SERVER_H_
#define SCALESHED_RUNTIME_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "scaleshed/runtime/connection_budget.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_headers.h"

struct evconnlistener;
struct sockaddr;

namespace scaleshed {

namespace internal {
class ServerConnection;
}  // namespace internal

// What a client's connection is in the middle of.
enum class ConnectionStage {
  kIdle,       // no request is being read or answered
  kHead,       // reads the head of a request
  kBody,       // reads the body
  kAnswering,  // the handler has the request; its answer isn't complete
  kSending,    // the answer is complete, and bytes of it are unsent
};
inline constexpr NameTable<ConnectionStage, 5> kConnectionStageNames{{
    {ConnectionStage::kIdle, "idle"},
    {ConnectionStage::kHead, "head"},
    {ConnectionStage::kBody, "body"},
    {ConnectionStage::kAnswering, "answering"},
    {ConnectionStage::kSending, "sending"},
}};

// Who or what ended a client's connection.
enum class ConnectionEnd {
  kClient,   // the client closed or reset it
  kTimeout,  // a time limit of the server
  kAborted,  // the handler, see HttpExchange::Abort()
  kServer,   // the server itself ends
  kUnread,   // the client takes a stream too slowly for it to be held
  kShed,     // for the others, see ShedReason
};
inline constexpr NameTable<ConnectionEnd, 6> kConnectionEndNames{{
    {ConnectionEnd::kClient, "client"},
    {ConnectionEnd::kTimeout, "timeout"},
    {ConnectionEnd::kAborted, "aborted"},
    {ConnectionEnd::kServer, "server"},
    {ConnectionEnd::kUnread, "unread"},
    {ConnectionEnd::kShed, "shed"},
}};

// A connection that ended in the middle of something.
struct CutConnection {
  ConnectionStage stage = ConnectionStage::kIdle;
  ConnectionEnd end = ConnectionEnd::kClient;
  std::string request;  // HttpExchange::SetName(); empty: not read yet
  std::size_t unsent_bytes = 0;
  Duration age{};  // since the first byte of the request that it was about
};

// A request as it was read, whole.
struct HttpRequest {
  std::string method;
  std::string target;  // path and query as they stand in the request
  HttpHeaders headers;
  std::string body;  // without any chunking
  int minor_version = 1;
  // The body wasn't read, see HttpServer::OnLargeRequest(). Such a request must
  // be refused.
  bool body_omitted = false;
};

// One request to an HttpServer, and its answer: either Reply(), or
// StartStream(), SendChunk()s and EndStream(). After the client has gone all of
// these do nothing. Used from the loop's thread only.
class HttpExchange {
 public:
  HttpExchange(std::weak_ptr<internal::ServerConnection> connection,
               HttpRequest request);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  const HttpRequest& request() const { return request_; }
  const std::string& method() const { return request_.method; }
  const std::string& path() const { return path_; }  // without the query
  std::string Query(const std::string& name) const;
  std::string Header(const char* name) const {
    return request_.headers.Get(name);
  }
  std::string TakeBody() { return std::move(request_.body); }
  // The client's end of the connection, "ip:port"; empty if that has closed.
  std::string remote_address() const;
  // How a CutConnection calls the request.
  void SetName(const std::string& name);

  // The connection closes after this answer; to be said before it begins.
  void CloseAfter() { close_after_ = true; }
  void Reply(int status, const HttpHeaders& headers, const std::string& body,
             const std::string& reason = "");
  // With a length the body is sent as it is, else in chunks.
  void StartStream(int status, const HttpHeaders& headers,
                   std::optional<std::uint64_t> length = std::nullopt,
                   const std::string& reason = "");
  void SendChunk(const std::string& text);
  void EndStream();
  // Breaks the connection, so that the client sees a cut answer.
  void Abort();
  bool finished() const { return finished_; }

  // Keeps the charge for the request's body as long as this lives.
  void Hold(BudgetCharge charge) { charge_ = std::move(charge); }
  // Called once if the client goes before the answer is complete.
  void OnClosed(std::function<void()> handler) { closed_ = std::move(handler); }
  // Used by the server when the connection closes.
  void ConnectionClosed();

 private:
  std::shared_ptr<internal::ServerConnection> Usable() const;
  std::string Head(int status, const std::string& reason,
                   const HttpHeaders& headers,
                   std::optional<std::uint64_t> length) const;

  std::weak_ptr<internal::ServerConnection> connection_;
  HttpRequest request_;
  BudgetCharge charge_;
  std::string path_;
  std::string query_;
  bool close_after_ = false;
  bool gone_ = false;
  bool streaming_ = false;
  bool chunked_ = false;
  bool finished_ = false;
  std::function<void()> closed_;
};

struct HttpServerOptions {
  std::string address = "127.0.0.1:0";  // port 0: any free one
  std::int64_t max_body_bytes = 16 * 1024 * 1024;
  std::int64_t max_header_bytes = 64 * 1024;
  // From a request's first byte to the end of its head.
  Duration header_timeout = seconds(120);
  // A connection at rest, without a request or unsent bytes of an answer, is
  // closed after so long, and a body of which nothing came for so long refused.
  Duration idle_timeout = seconds(120);
  // Open at once; above it connections at rest are closed, see ShedReason.
  // Zero: no bound.
  std::size_t max_connections = 0;
  // For what connections hold; may be shared with other servers. Empty: no
  // bound over connections.
  std::shared_ptr<ConnectionBudget> budget;
  // Further headers of the server's own refusals.
  HttpHeaders refusal_headers;
};

// An HTTP/1.1 server on a loop. Requests that are over the limits, late, or
// framed in a way that another server could read differently are refused before
// any handler sees them, and their connections closed.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
  using CutHandler = std::function<void(const CutConnection&)>;
  // Gets a request without its body; tells whether it may be served.
  using HeadCheck = std::function<bool(const HttpRequest&)>;

  // Throws std::runtime_error where the address can't be listened on.
  HttpServer(EventLoop& loop, const HttpServerOptions& options,
             Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  std::uint16_t port() const { return port_; }
  // Calls `handler` for each connection that ends in the middle of something,
  // whoever ends it.
  void OnCut(CutHandler handler) { cut_ = std::move(handler); }
  // Calls `check` for each request of more than ConnectionBudget::kSmallBytes
  // before its body is read. One that can't be served goes to the handler at
  // once, without its body, and its connection is closed behind the answer.
  void OnLargeRequest(HeadCheck check) { head_check_ = std::move(check); }
  // Takes sizes and timeouts of requests that begin from now on; the other
  // options stay.
  void SetLimits(const HttpServerOptions& options);
  // Accepts no new connections; those open go on.
  void StopAccepting();
  // Closes the connections on which no request is being read or answered; those
  // with unsent bytes of an answer once these are sent.
  void CloseIdle();
  // Whether bytes of a complete answer are unsent on any connection.
  bool IsSending() const;
  std::size_t connections() const { return connections_.size(); }

 private:
  friend class internal::ServerConnection;
  static void OnAccept(evconnlistener* listener, int fd, sockaddr* from,
                       int length, void* arg);

  EventLoop& loop_;
  HttpServerOptions options_;
  Handler handler_;
  // Closes a connection for a new one; false if all are in use.
  bool MakeRoom();
  std::uint64_t HeldBytes() const;
  void OnAcceptError(int error);

  CutHandler cut_;
  HeadCheck head_check_;
  Timer accept_again_;
  evconnlistener* listener_ = nullptr;
  std::uint16_t port_ = 0;
  std::map<const internal::ServerConnection*,
           std::shared_ptr<internal::ServerConnection>>
      connections_;
};

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_HTTP_SERVER_H_

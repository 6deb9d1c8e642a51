#ifndef SCALESHED_RUNTIME_INTERNAL_SERVER_CONNECTION_H_
#define SCALESHED_RUNTIME_INTERNAL_SERVER_CONNECTION_H_

#include <event2/bufferevent.h>

#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "internal/rate_meter.h"
#include "internal/shedding.h"
#include "internal/unreserved_body.h"
#include "scaleshed/runtime/http_server.h"

namespace scaleshed::internal {

// One client's connection: reads one request after another and hands each to
// the server's handler once the answer before it is complete.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer& server, int fd);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection();

  void Open();
  void Write(const std::string& bytes);
  // The answer is complete; `close` ends the connection after it.
  void AnswerDone(bool close);
  // Ends the connection without waiting for anything.
  void Break(ConnectionEnd end);
  // Breaks the connection, soon, if its client leaves too much of a stream.
  void LimitUnsentStream();
  void CloseIfIdle();
  ConnectionLoad Load(Time now);
  // Charges what the connection holds now.
  void UpdateCharge();
  // Gives up what ChooseForMemory() or ChooseForConnection() chose.
  void Shed(ShedReason reason);
  // Whether the client has sent bytes that no request was read from yet.
  bool HasUnreadBytes() const;
  bool client_keeps() const { return client_keeps_; }
  ConnectionStage Stage() const;
  // See HttpExchange::remote_address().
  std::string RemoteAddress() const;
  void SetRequestName(const std::string& name) { request_name_ = name; }

 private:
  using Parser = boost::beast::http::request_parser<UnreservedBody>;

  static void OnRead(bufferevent* bev, void* arg);
  static void OnWritten(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);
  void OnTime();
  void OnAllWritten();
  // Of the answers' bytes, those that the buffer holds.
  std::size_t UnsentBytes() const;
  std::uint64_t BytesTaken() const;
  // What the body that is being read takes of memory.
  std::uint64_t BodyBytes() const;
  // Waits for the client to take some of the unsent bytes.
  void AwaitClient();
  void ReadRequests();
  // False where nothing more can be done with the bytes that are there.
  bool ReadSome();
  bool BeginHead();
  bool CheckParsedHead();
  // Of a large request, before its body is whole. Returns false if nothing more
  // of it is to be read.
  bool CheckLargeRequest();
  // Makes connections give something up if this one takes the sum over the
  // budget. Not to be called from within the handler.
  void ShedIfOver();
  // Drops what has come; what still comes is dropped as well.
  void DiscardInput();
  // Of a client that was sent its last answer; ends the connection if the
  // client goes on for too long.
  void AwaitEndOfInput();
  HttpRequest TakeRequest();
  void Dispatch(HttpRequest request);
  void Refuse(int status, const std::string& message,
              std::optional<Duration> retry_after = std::nullopt);
  void CloseAfterWriting();

  HttpServer* server_;
  bufferevent* bev_;
  Timer timer_;
  std::optional<Parser> parser_;
  std::weak_ptr<HttpExchange> exchange_;
  // Of the request that is read or was read last.
  std::string request_name_;
  Time request_began_{};
  std::uint64_t written_ = 0;       // bytes of answers, sent or not
  std::uint64_t taken_before_ = 0;  // BytesTaken() as AwaitClient() began
  BudgetCharge charge_;
  RateMeter request_meter_;
  RateMeter answer_meter_;
  std::size_t head_bytes_ = 0;  // of an unfinished head
  // What the socket may hold while reading is suspended.
  std::size_t socket_bytes_ = 0;
  bool answer_metered_ = false;      // answer_meter_ knows of the unsent bytes
  std::uint64_t metered_taken_ = 0;  // BytesTaken() as answer_meter_ was told
  std::uint64_t discarded_bytes_ = 0;  // since the last answer was sent
  Time idle_since_{};
  Time linger_until_{};
  bool reading_head_ = false;
  bool checked_large_ = false;  // see CheckLargeRequest()
  bool discards_ = false;       // what comes belongs to no request any more
  bool served_ = false;
  bool sheds_soon_ = false;  // ShedIfOver() is to be called from the loop
  bool answering_ = false;
  bool client_keeps_ = true;
  bool closing_ = false;
  bool half_closed_ = false;
  bool closed_ = false;
};

}  // namespace scaleshed::internal

#endif  // SCALESHED_RUNTIME_INTERNAL_SERVER_CONNECTION_H_

#ifndef SCALESHED_RUNTIME_HTTP_CLIENT_H_
#define SCALESHED_RUNTIME_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "scaleshed/core/result.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_headers.h"

namespace scaleshed {

// Why no whole response came. Only `kNotSent`, `kRefused` and `kMalformed` say
// that the server can't have seen any of the request.
enum class HttpError {
  kNotSent,    // no connection stood
  kRefused,    // the same: nobody listens at that address
  kMalformed,  // the call has a character that would end a part of its head
  kCut,        // the connection ended or broke off first
  kTimeout,    // the call's own time ran out
  kCancelled,  // by the caller
  kInvalid,    // the bytes that came are no HTTP response
  // The status is none (RFC 9110, section 15: 100 to 599), or tells of a change
  // of protocol (101) that no call asks for.
  kInvalidStatus,
  // What came can't become a response within the bounds on responses.
  kHeadTooLong,
  kBodyTooLong,
  kTooManyInterim,  // more interim responses (1xx) than any server sends
};
inline constexpr NameTable<HttpError, 11> kHttpErrorNames{{
    {HttpError::kNotSent, "not_sent"},
    {HttpError::kRefused, "refused"},
    {HttpError::kMalformed, "malformed"},
    {HttpError::kCut, "cut"},
    {HttpError::kTimeout, "timeout"},
    {HttpError::kCancelled, "cancelled"},
    {HttpError::kInvalid, "invalid"},
    {HttpError::kInvalidStatus, "invalid_status"},
    {HttpError::kHeadTooLong, "head_too_long"},
    {HttpError::kBodyTooLong, "body_too_long"},
    {HttpError::kTooManyInterim, "too_many_interim"},
}};

constexpr bool IsUnsent(HttpError error) {
  return error == HttpError::kNotSent || error == HttpError::kRefused ||
         error == HttpError::kMalformed;
}

// Whether the server sent bytes that can't become a response.
constexpr bool IsSpoiled(HttpError error) {
  return error == HttpError::kInvalid || error == HttpError::kInvalidStatus ||
         error == HttpError::kHeadTooLong || error == HttpError::kBodyTooLong ||
         error == HttpError::kTooManyInterim;
}

// Bytes of a body that is collected, unless a call names another bound.
inline constexpr std::uint64_t kDefaultMaxBodyBytes = 8 * 1024 * 1024;
// The bound for configurations and lists, which a platform or a daemon sends.
inline constexpr std::uint64_t kMaxDocumentBytes = 32 * 1024 * 1024;

struct HttpResponse {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  std::string body;  // empty where chunks were asked for
  // The body had no length and ended with its connection.
  bool ended_by_close = false;
};

using HttpResult = Result<HttpResponse, HttpError>;

struct HttpCall {
  std::string address;  // "ip:port"
  std::string method = "GET";
  // With the query, passed on as it stands. Neither it nor `method` may have
  // blanks or control characters, nor a header field line ends.
  std::string path = "/";
  // A Host field is added unless there is one; the body's length always.
  HttpHeaders headers;
  std::string body;
  // For the whole exchange; zero: none.
  Duration timeout = seconds(10);
  // Without a byte of the answer for so long; zero: not looked at.
  Duration silence{};
  // Until the connection stands. A server on the same site answers within
  // milliseconds; one lost opening packet is sent again after a second.
  Duration connect_timeout = milliseconds(1500);
  // Bytes of the response's body that are collected at most; a longer one ends
  // the call with kBodyTooLong. Pieces given to on_chunk don't count.
  std::uint64_t max_body_bytes = kDefaultMaxBodyBytes;
  // Tells the server that the connection is not used again. It never is.
  bool announce_close = true;
  // Where set, called at intervals while the connection doesn't stand yet.
  std::function<void()> on_connecting;
  // Where set, called when a connection stands for which on_connecting was
  // called, right after the request was written to it.
  std::function<void()> on_late_connect;
  // Where set, gets status and headers before anything of the body.
  std::function<void(const HttpResponse&)> on_head;
  // Where set, called whenever something of the answer came, once status and
  // headers are there; gets those.
  std::function<void(const HttpResponse&)> on_progress;
  // Where set, gets the body piece by piece, if the status is 200.
  std::function<void(const std::string&)> on_chunk;
  // Called exactly once, unless the call is cancelled.
  std::function<void(HttpResult)> on_done;
};

// Makes HTTP calls on a loop, each on a connection of its own, and never twice:
// a call that may not be repeated is safe with it, and no byte of one answer
// can be taken for another's. Bytes after the whole response are dropped.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop) : loop_(loop) {}
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  using CallId = std::uint64_t;
  CallId Start(HttpCall call);
  // Breaks the connection; no callback is called any more.
  void Cancel(CallId id);

 private:
  class Exchange;
  void Remove(CallId id);

  EventLoop& loop_;
  CallId last_id_ = 0;
  std::map<CallId, std::shared_ptr<Exchange>> exchanges_;
};

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_HTTP_CLIENT_H_

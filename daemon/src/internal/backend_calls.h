#ifndef SCALESHED_DAEMON_INTERNAL_BACKEND_CALLS_H_
#define SCALESHED_DAEMON_INTERNAL_BACKEND_CALLS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "scaleshed/runtime/http_client.h"
#include "scaleshed/runtime/http_server.h"
#include "scaleshed/serving/effects.h"
#include "scaleshed/serving/events.h"
#include "scaleshed/wire/event_splitter.h"
#include "scaleshed/wire/relay_codec.h"

namespace scaleshed {

// Carries out the reducer's attempts: sends requests to backend servers, and
// tells what comes back. An answer that is not the one to this request, lacks
// its backend server's seal or breaks off is told as a failure, never as an
// answer.
class BackendCalls {
 public:
  using Feed = std::function<void(serving::EventBody)>;

  // `peer_address` is this daemon's, as other daemons know it.
  BackendCalls(EventLoop& loop, std::string peer_address, Feed feed);

  void Start(const serving::StartAttempt& effect, const HttpRequest& request);
  // Passes a request to another daemon, its relay. What the relay passes back
  // of a backend server's response counts as if the server had sent it here.
  void Relay(const serving::StartRelay& effect, const HttpRequest& request);
  void Cancel(AttemptId attempt);
  void Reserve(const serving::ReserveMemory& order);
  void Release(const serving::ReleaseMemory& order);
  void AskReport(const serving::FetchEngineReport& question);
  void AskHealth(const serving::CheckHealth& question);
  void AskLife(const serving::ProbeLiveness& question);

  // The whole answer of an attempt, or the head of its stream; nullptr where
  // there is none.
  const HttpResponse* AnswerOf(AttemptId attempt) const;
  std::size_t open() const { return attempts_.size(); }

 private:
  struct Attempt {
    HttpClient::CallId call = 0;
    std::string request_id;
    bool stream = false;
    bool resumed = false;  // goes on after an event of an earlier stream
    bool has_event = false;
    bool relayed = false;
    // The relay's own refusal.
    std::optional<RelayOutcome> refused;
    HttpResponse answer;
    EventSplitter splitter;
  };

  // Starts the call of an attempt and keeps what its callbacks need.
  void StartCall(AttemptId attempt, const HttpRequest& request, bool stream,
                 bool resumed, bool relayed, HttpCall call);
  void OnHead(AttemptId attempt, const HttpResponse& head);
  // Reads and removes what the relay says of itself in the head of a response.
  // Returns false if the head can't be a backend server's response.
  bool TakeRelayOutcome(AttemptId attempt, HttpResponse& head);
  void OnRelayRefusal(AttemptId attempt, int status);
  void TellWord(AttemptId attempt, const HttpResponse& head);
  void OnBytes(AttemptId attempt, const std::string& bytes);
  void OnDone(AttemptId attempt, HttpResult result);
  void TellFailed(AttemptId attempt, serving::AttemptError error,
                  const std::string& detail, bool has_bytes = true);

  HttpClient http_;
  HttpClient orders_;
  std::string peer_address_;
  Feed feed_;
  std::map<AttemptId, Attempt> attempts_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_INTERNAL_BACKEND_CALLS_H_

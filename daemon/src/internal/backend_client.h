#ifndef SCALESHED_DAEMON_SRC_INTERNAL_BACKEND_CLIENT_H_
#define SCALESHED_DAEMON_SRC_INTERNAL_BACKEND_CLIENT_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "scaleshed/core/effects.h"
#include "scaleshed/core/events.h"
#include "scaleshed/core/state.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/wire/peer_codec.h"

namespace scaleshed {

// Carries out effects towards backend servers over HTTP and feeds their answers
// back as events.
class BackendClient {
 public:
  using Feed = std::function<void(EventBody)>;

  BackendClient(EventLoop& loop, const State& state, Feed feed)
      : http_(loop), state_(state), feed_(std::move(feed)) {}

  void Start(const StartStream& effect, std::string prompt);
  void Resume(const ResumeStream& effect);
  void Hold(const PlaceHold& effect);
  void Cancel(const CancelAttempt& effect);
  void CallService(const SendService& effect, const CallBody& body,
                   const std::string& id);
  // Asks every backend server for a report, those whose last one is still
  // awaited aside.
  void PollReports(Duration timeout);

 private:
  struct OpenStream {
    HttpClient::CallId call = 0;
    std::string partial_line;
  };

  std::string AddressOf(const std::string& backend) const;
  std::string StreamPath(const Incarnation& holder, AttemptId attempt) const;
  void OpenCall(AttemptId attempt, HttpCall call);
  void OnBytes(AttemptId attempt, const std::string& bytes);
  void OnLine(AttemptId attempt, const std::string& line);
  void OnStreamDone(AttemptId attempt, const HttpResult& result);
  void OnServiceDone(AttemptId attempt, const HttpResult& result);
  void Close(AttemptId attempt);
  void Poll(const std::string& backend, Duration timeout);

  HttpClient http_;
  const State& state_;
  Feed feed_;
  std::map<AttemptId, OpenStream> streams_;
  std::set<std::string> polled_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_SRC_INTERNAL_BACKEND_CLIENT_H_

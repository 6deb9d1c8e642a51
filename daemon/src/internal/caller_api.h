#ifndef SCALESHED_DAEMON_SRC_INTERNAL_CALLER_API_H_
#define SCALESHED_DAEMON_SRC_INTERNAL_CALLER_API_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "scaleshed/config/settings.h"
#include "scaleshed/core/effects.h"
#include "scaleshed/core/events.h"
#include "scaleshed/core/state.h"
#include "scaleshed/runtime/http_server.h"
#include "scaleshed/runtime/metrics.h"
#include "scaleshed/wire/caller_json.h"
#include "scaleshed/wire/peer_codec.h"

namespace scaleshed {

// What a daemon shows to its peers while the platform is down.
struct PeerPages {
  std::function<std::string()> configuration;
  std::function<std::string()> instances;
};

// The HTTP interface to callers and operators (docs/API.md): turns requests
// into Submit events and effects into answers, and keeps the bodies meanwhile.
class CallerApi {
 public:
  using Feed = std::function<void(EventBody)>;

  CallerApi(const Settings& settings, const State& state,
            const Metrics& metrics, Feed feed, PeerPages pages);

  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void OnChunk(const ReplyChunk& chunk);
  void OnFinal(const ReplyFinal& reply);
  void Release(RequestKey key) { calls_.erase(key); }

  // Keeps the body of a call that a peer forwarded.
  RequestKey NewKey() { return ++last_key_; }
  void KeepForwarded(RequestKey key, const CallSpec& spec, CallBody body);
  // What the caller sent; empty where the request is not known.
  CallBody BodyOf(RequestKey key) const;
  // The prompt of a model call.
  std::string PromptOf(RequestKey key) const;
  const std::string& IdOf(RequestKey key) const;

 private:
  struct OpenCall {
    std::shared_ptr<HttpExchange> exchange;  // null for forwarded calls
    CallBody body;
    std::string id;
    std::string model;  // empty for plain services
    std::string prompt;
    bool stream = false;
    bool started = false;
    std::string text;  // the answer so far, where it is not streamed
  };

  void LookUpAddress(HttpExchange& exchange) const;
  void Complete(const std::shared_ptr<HttpExchange>& exchange);
  void CallService(const std::shared_ptr<HttpExchange>& exchange);
  void ExplainCall(HttpExchange& exchange) const;
  // The account, id and time limit from the headers. False where one of them is
  // wrong; the answer has been sent then.
  bool ReadHeaders(HttpExchange& exchange, CallSpec& spec) const;
  void Submit(OpenCall call, CallSpec spec);
  void SendFinal(OpenCall& call, const Final& final) const;

  const Settings& settings_;
  const State& state_;
  const Metrics& metrics_;
  Feed feed_;
  PeerPages pages_;
  std::map<RequestKey, OpenCall> calls_;
  RequestKey last_key_ = 0;
};

// The JSON of /v1/status.
std::string StatusJson(const State& state);
std::string ExplanationJson(const Explanation& explanation);

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_SRC_INTERNAL_CALLER_API_H_

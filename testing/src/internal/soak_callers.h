#ifndef SCALESHED_TESTING_SRC_INTERNAL_SOAK_CALLERS_H_
#define SCALESHED_TESTING_SRC_INTERNAL_SOAK_CALLERS_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/testing/answer_ledger.h"
#include "scaleshed/testing/kept_connection.h"
#include "scaleshed/testing/soak.h"
#include "scaleshed/testing/soak_ledger.h"

namespace scaleshed::testing {

// The callers of a soak. They ask the daemons for addresses, keep their
// connections for as long as these stand, and check each answer.
class SoakCallers {
 public:
  // Servers end under a request with that body.
  static constexpr std::string_view kDeadlyBody = "deadly";

  SoakCallers(EventLoop& loop, std::uint64_t seed, SoakLedger& ledger,
              AnswerLedger& answers, std::vector<std::string> look_ups);

  // Servers end under prompts with that part, whatever else these hold.
  static constexpr std::string_view kDeadlyPart = "bad";

  // Called with each whole answer of a backend server, and the daemon that
  // passed it on.
  void OnAnswer(
      std::function<void(const std::string& daemon, const HttpResponse&)>
          tell) {
    tell_ = std::move(tell);
  }
  // `sent` is called as a request leaves to a daemon. What it returns gets the
  // outcome: whether the request was served.
  using Outcome = std::function<void(bool served)>;
  void OnSend(std::function<Outcome(const std::string& daemon)> sent) {
    sent_ = std::move(sent);
  }
  // Somebody else has sent a request.
  void NoteSend(const std::string& request_id, const std::string& daemon) {
    sends_[request_id] = {.daemon = daemon, .at = loop_.Now()};
  }
  // The daemon that a request was sent to, by its address for callers.
  const std::string& DaemonOf(const std::string& request_id) const {
    return sends_.at(request_id).daemon;
  }
  Time SentAt(const std::string& request_id) const {
    return sends_.at(request_id).at;
  }

  void Begin(double requests_per_second);
  // No new requests; those under way go on.
  void End() { timer_.Cancel(); }
  // The request that ends servers, to a daemon that is drawn.
  void SendDeadly();
  // A prompt with the part that ends servers; no two are of one content.
  void SendDeadlyPart();
  // Until then that share of the requests is for a large answer that is read
  // late.
  void ReadSlowly(double share, Time until) { readers_ = {share, until}; }
  // The same for requests that come in pieces.
  void SendSlowly(double share, Time until) { bodies_ = {share, until}; }
  // A connection of which nothing was asked for longer isn't used any more.
  void KeepIdle(Duration longest) { longest_idle_ = longest; }
  std::size_t waiting() const { return waiting_; }
  // Adds what was seen to a report.
  void Tell(SoakReport& report) const;

 private:
  struct Kind;
  struct Sent {
    std::string daemon;
    Time at{};
  };
  struct Slow {
    double share = 0;
    Time until{};
  };

  void SendDue();
  void Send();
  void Send(const Kind& kind, const std::string& body);
  // Whether the next request is one of these.
  bool Draw(const Slow& slow);
  void Ended(const std::string& id, const KeptConnection& connection,
             const HttpResult& result);
  void LookUp();
  void AskAddresses();
  KeptConnection& Connection();
  void Check(const Kind& kind, const std::string& id, const HttpResult& result);
  void Break(const std::string& id, const std::string& what);

  EventLoop& loop_;
  SoakLedger& ledger_;
  AnswerLedger& answers_;
  Slow readers_;
  Slow bodies_;
  Duration longest_idle_ = Duration::max();
  std::size_t slow_ = 0;
  std::vector<std::string> look_ups_;
  std::map<std::string, Time> named_;  // addresses, and when last
  std::mt19937_64 random_;
  HttpClient http_;
  Timer timer_;
  Timer look_up_timer_;
  Duration pause_{};
  Time due_{};  // the next request
  std::function<void(const std::string&, const HttpResponse&)> tell_ =
      [](const std::string&, const HttpResponse&) {};
  std::function<Outcome(const std::string&)> sent_ =
      [](const std::string&) -> Outcome { return [](bool) {}; };
  std::map<std::string, Sent> sends_;  // by request id
  std::list<std::unique_ptr<KeptConnection>> connections_;
  std::uint64_t last_id_ = 0;
  std::size_t waiting_ = 0;
  std::size_t answered_ = 0;
  std::size_t refused_ = 0;
  std::size_t failed_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SRC_INTERNAL_SOAK_CALLERS_H_

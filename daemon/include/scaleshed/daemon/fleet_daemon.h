#ifndef SCALESHED_DAEMON_FLEET_DAEMON_H_
#define SCALESHED_DAEMON_FLEET_DAEMON_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/config/settings.h"
#include "scaleshed/runtime/datagram_socket.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_server.h"
#include "scaleshed/serving/reducer.h"
#include "scaleshed/wire/relay_codec.h"

namespace scaleshed {

class BackendCalls;
class FleetMetrics;
enum class DatagramKind;
struct HttpResponse;
class StoreFollower;

// One entry instance on the users' platform: takes clients' requests, answers
// where to go and whether it is ready, and carries out what serving::Reduce()
// decides.
//
// Lives on one loop and one thread. Stop() begins the planned stop; the loop is
// stopped when that is complete.
class FleetDaemon {
 public:
  // `settings.fleet` is set. Throws std::runtime_error where an address can't
  // be listened on.
  FleetDaemon(EventLoop& loop, const Settings& settings);
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;
  ~FleetDaemon();

  void Stop();
  // Attempts whose answers are kept.
  std::size_t open_attempts() const;

 private:
  void Feed(serving::EventBody body);
  void Drain();
  void OnTick();
  void Tell(DatagramKind kind, const std::string& to, const std::string& bytes);
  void Carry(const serving::Effect& effect);
  // A request that this daemon serves: a client's own, or one that another
  // daemon, its origin, has relayed.
  struct ServedExchange {
    std::shared_ptr<HttpExchange> exchange;
    std::optional<HttpRequest> relayed;  // as the client sent it

    const HttpRequest& request() const {
      return relayed ? *relayed : exchange->request();
    }
    // Adds the outcome, which the origin needs, to the headers of a response.
    void AddOutcome(HttpHeaders& headers, const RelayOutcome& outcome) const;
  };

  // The answer that is kept for an attempt; logs it if there is none.
  const HttpResponse* AnswerOf(AttemptId attempt) const;
  void Deliver(const serving::DeliverAnswer& effect);
  void Begin(const serving::BeginStream& effect);
  void Answer(const serving::Refuse& effect);
  void OnRequest(const std::shared_ptr<HttpExchange>& exchange);
  // Takes calls of other daemons.
  void OnPeerCall(const std::shared_ptr<HttpExchange>& exchange);
  // Another daemon reads the configuration.
  void OnDocument(HttpExchange& exchange);
  // Another daemon relays a client's request.
  void OnRelay(const std::shared_ptr<HttpExchange>& exchange);
  void Admit(ServedExchange served, const std::string& relayed_by);
  void OnLookUp(HttpExchange& exchange);
  void OnReadyCheck(HttpExchange& exchange);
  void OnMetrics(HttpExchange& exchange);
  // A client's connection, or another daemon's, ended in the middle of
  // something.
  void OnCut(const CutConnection& cut);
  void ApplyLimits(const serving::RequestLimits& limits);
  std::size_t OpenConnections() const;
  void Exit();
  // Stops the loop once all answers are sent, or the grace is nearly over.
  void ExitIfSent();
  // Whether clients are to open their next connections to other daemons.
  bool ShedsClients() const;
  // The request's exchange, which is forgotten; nothing if the client has gone.
  std::optional<ServedExchange> Take(RequestKey key);

  EventLoop& loop_;
  Settings settings_;
  serving::State state_;
  std::unique_ptr<BackendCalls> backends_;
  std::unique_ptr<StoreFollower> store_;
  DatagramSocket peers_;
  std::unique_ptr<FleetMetrics> metrics_;  // counts as the servers end, too
  std::shared_ptr<ConnectionBudget> budget_;
  HttpServer peer_calls_;  // from other daemons
  HttpServer front_;
  HttpServer ready_;
  HttpServer look_ups_;
  std::unique_ptr<HttpServer> metrics_server_;  // where it has an address
  std::map<RequestKey, ServedExchange> exchanges_;
  RequestKey last_key_ = 0;
  std::deque<serving::EventBody> pending_;
  bool draining_ = false;
  Time tick_due_{};
  Timer tick_;
  Timer exit_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_FLEET_DAEMON_H_

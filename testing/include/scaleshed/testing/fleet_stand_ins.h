#ifndef SCALESHED_TESTING_FLEET_STAND_INS_H_
#define SCALESHED_TESTING_FLEET_STAND_INS_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_server.h"

// Small stand-ins for the users' platform, on a test's own loop. They speak the
// published shapes and misbehave as told.
namespace scaleshed::testing {

// How the store treats calls.
enum class StoreMode {
  kUp,
  kRefusing,      // 503, nothing is done
  kOverRate,      // 429, nothing is done
  kSilent,        // takes calls and says nothing
  kLosingWrites,  // writes are done and not answered
};

// The platform's key-value store with conditions, watches and leases.
class FakeStore {
 public:
  // Conditions, writes and removals of one transaction.
  static constexpr std::size_t kMostEntries = 32;

  explicit FakeStore(EventLoop& loop);

  std::string address() const;
  void SetMode(StoreMode mode) { mode_ = mode; }
  StoreMode mode() const { return mode_; }
  // As the operator or a backend server does it. Gives the revision.
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Watches from before now get 410.
  void ForgetHistory();
  // From now on answers tell the era, beginning with this one.
  void SetEra(std::uint64_t era) {
    era_ = era;
    era_headers_ = {std::to_string(era)};
  }
  // Answers carry these in its place.
  void SetEraHeaders(std::vector<std::string> headers) {
    era_headers_ = std::move(headers);
  }
  // Keeps a copy of all that is there now.
  void MakeCopy();
  // All that was written since the last copy is lost, leases too, and revisions
  // and numbers of leases are given out again. Calls under way break.
  void RestoreCopy();
  // Items in an answer to a list. Few, so that paging is met.
  void SetPage(std::size_t page) { page_ = page; }
  // Each page of a list is the first one, and says that more follow.
  void RepeatPages(bool repeat) { repeats_pages_ = repeat; }
  // From now on leases end at their time, and what was written under them goes.
  void LapseLeases();
  // Watches that wait bring nothing any more, and stay open.
  void MuteWatches(bool mute) { muted_ = mute; }
  // Answers begin at once and end only when this is over, as those that are
  // large do on a link that is full.
  void HoldBodies(bool hold);
  // Lists are not answered until this is over.
  void HoldLists(bool hold);
  bool Has(const std::string& key) const { return items_.contains(key); }
  std::vector<std::string> KeysWith(const std::string& prefix) const;
  // The first key that begins so; empty: none.
  std::string KeyWith(const std::string& prefix) const {
    const auto it = items_.lower_bound(prefix);
    const bool found = it != items_.end() && it->first.starts_with(prefix);
    return found ? it->first : "";
  }
  // Of that key; empty: there is none.
  std::string Value(const std::string& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? "" : it->second.value;
  }
  int calls() const { return calls_; }
  // Of these, single keys that were read.
  int key_reads() const { return key_reads_; }
  // Of these, questions whether what is known is the newest.
  int questions() const { return questions_; }
  // Of these, lists.
  int list_calls() const { return list_calls_; }
  // Of these, calls for leases.
  int lease_calls() const { return lease_calls_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t made = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    nlohmann::json event;
    std::string key;
  };
  struct Watch {
    std::shared_ptr<HttpExchange> exchange;
    std::string prefix;
    std::uint64_t after = 0;
    Time until = Time::max();
    bool waits = true;
  };

  struct HeldBody {
    std::shared_ptr<HttpExchange> exchange;
    std::string bytes;
  };

  void Handle(std::shared_ptr<HttpExchange> exchange);
  HttpHeaders Headers() const;
  void Answer(const std::shared_ptr<HttpExchange>& exchange, int status,
              const nlohmann::json& body);
  void OnKey(const std::shared_ptr<HttpExchange>& exchange);
  void OnRange(const std::shared_ptr<HttpExchange>& exchange);
  void OnWatch(const std::shared_ptr<HttpExchange>& exchange);
  void OnTransaction(const std::shared_ptr<HttpExchange>& exchange);
  void OnLease(const std::shared_ptr<HttpExchange>& exchange);
  void Write(const std::string& key, Item item);
  void AnswerWatches();
  void EndWatches();
  void EndLease(std::uint64_t lease);
  void EndLapsed();
  static nlohmann::json ToJson(const std::string& key, const Item& item);

  EventLoop& loop_;
  HttpServer server_;
  Timer lapse_timer_;
  Timer watch_timer_;
  std::size_t page_ = 3;
  bool repeats_pages_ = false;
  StoreMode mode_ = StoreMode::kUp;
  bool muted_ = false;
  bool hold_bodies_ = false;
  std::vector<HeldBody> held_bodies_;
  bool hold_lists_ = false;
  std::vector<std::shared_ptr<HttpExchange>> held_lists_;
  int calls_ = 0;
  int key_reads_ = 0;
  int lease_calls_ = 0;
  int list_calls_ = 0;
  int questions_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t forgotten_ = 0;
  std::uint64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::map<std::string, Item> before_;  // their last write
  std::vector<Change> history_;
  struct Lease {
    Duration ttl{};
    Time ends{};
  };
  std::map<std::uint64_t, Lease> leases_;
  std::list<Watch> watches_;
  std::uint64_t era_ = 0;
  std::vector<std::string> era_headers_;
  struct Copy {
    std::uint64_t revision = 0;
    std::uint64_t last_lease = 0;
    std::map<std::string, Item> items;
    std::map<std::uint64_t, Lease> leases;
  };
  Copy copy_;
};

// How a worker treats requests.
enum class WorkerMode {
  kServing,
  kFull,           // 503 that says that it did not run
  kFailing,        // 500 after running
  kPlainRefusal,   // 503 that does not say whether it ran
  kCutting,        // breaks off inside the third event of a stream
  kResetting,      // runs, and closes without an answer
  kHanging,        // runs, and says nothing
  kForeignAnswer,  // answers with another request's id
  kUnsealed,       // a success without its seal
  kEncoded,        // a body in some coding
  kEndless,        // sends a body until its caller closes
};

// A request that reached a backend server, as that one saw it.
struct BackendArrival {
  std::string request_id;
  std::string path;
  std::string expected;  // the life that it names
  bool ran = false;      // it began to work on it
  std::string client;    // the address at the other end of its connection
};

// A backend server of the platform: streams of numbered events, or plain
// answers for paths that begin with "/plain/", of which those that end with
// kLargePath are large.
class FakeWorker {
 public:
  static constexpr std::string_view kLargePath = "/large";
  // More than a connection takes that isn't read.
  static constexpr std::size_t kLargeBytes = 6'000'000;

  FakeWorker(EventLoop& loop, std::string id);

  std::string address() const;
  const std::string& id() const { return id_; }
  // Of its plain answers on that path.
  static std::string BodyOf(const std::string& id, std::string_view path);
  // The entry by which it is listed in the store.
  std::string Entry(const std::string& service,
                    const std::string& state = "ready") const;
  // Its entry names this data centre.
  void SetDataCentre(std::string data_centre) {
    data_centre_ = std::move(data_centre);
  }
  const std::string& data_centre() const { return data_centre_; }
  // Its entry says that it is cold for that long; zero: warm.
  void SetWarmUpLeft(Duration left) { warm_up_left_ = left; }
  void SetMode(WorkerMode mode) { mode_ = mode; }
  // Each request is treated as that draws.
  void DrawModes(std::function<WorkerMode()> draw) { draw_ = std::move(draw); }
  // Says how the link from a client's address treats what is sent on it:
  // kResetting and kHanging keep everything from the worker, kServing is an
  // open link.
  void SetLink(std::function<WorkerMode(const std::string& client)> link) {
    link_ = std::move(link);
  }
  // Answers and reports begin so long after their request.
  void SetWork(Duration work) { work_ = work; }
  // Between two events of a stream.
  void SetEventGap(Duration gap) { event_gap_ = gap; }
  // Until GoOn() it takes connections, and reads and sends nothing; what it was
  // in the middle of goes on then.
  void Pause() { paused_ = true; }
  void GoOn();
  void OnArrival(std::function<void(const BackendArrival&)> tell) {
    tell_ = std::move(tell);
  }
  // Another life at the same address, under another id.
  void Restart(std::string id) { id_ = std::move(id); }
  // Its process ends: every connection breaks, and nobody listens there until
  // it begins another life under that id.
  void End();
  bool has_ended() const { return server_ == nullptr; }
  void Begin(std::string id);
  // It ends so long after it began to run a request with that body.
  void EndUnder(std::string body, Duration after, std::function<void()> ended) {
    deadly_ = std::move(body);
    ends_after_ = after;
    ended_ = std::move(ended);
  }
  // Beside that, it also ends so long after the first event of an answer to a
  // prompt with that part.
  void EndUnderPart(std::string part) { deadly_part_ = std::move(part); }
  // The same under the same id: it knows nothing of before.
  void StartAgain();
  // Every answer to a request carries these too, refusals as well.
  void SayInAnswers(HttpHeaders said) { said_ = std::move(said); }
  void SetEvents(int events) { events_ = events; }
  // Holds the rest of a stream back after its first event.
  void HoldStreams(bool hold) { hold_ = hold; }
  // Breaks the connections of all answers that are held back.
  void BreakHeld();
  // Runs by request id.
  int RunsOf(const std::string& request_id) const;
  int runs() const { return runs_; }
  const HttpRequest& last_request() const { return last_request_; }
  bool client_left() const { return client_left_; }
  // Memory that is set aside: tokens by ticket.
  const std::map<std::string, std::int64_t>& tickets() const {
    return tickets_;
  }
  // Tells in its reports that its passes take so many times as long.
  void SetPace(double pace) { pace_ = pace; }
  void RefuseMemory(bool refuse) { refuse_memory_ = refuse; }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  // Whether the link has kept the request from the worker.
  bool IsLostOnLink(const std::shared_ptr<HttpExchange>& exchange);
  void OnOrder(HttpExchange& exchange);
  void OnStream(const std::shared_ptr<HttpExchange>& exchange);
  // Sends the events from that one on, and ends the stream.
  // With a length or in chunks, fast or slowly, by turns.
  void AnswerEndlessly(const std::shared_ptr<HttpExchange>& exchange);
  void SendEndlessly(const std::shared_ptr<HttpExchange>& exchange, bool slow);
  void SendEvents(const std::shared_ptr<HttpExchange>& exchange, int next);
  void Answer(const std::shared_ptr<HttpExchange>& exchange);
  // Answers after the time that its work takes.
  void AnswerInTime(const std::shared_ptr<HttpExchange>& exchange);
  // Takes a step after that time; if the worker is paused then, as it goes on.
  void Later(Duration after, std::function<void()> step);
  void Listen(const std::string& address);
  // True where that request is its end.
  bool EndsUnder(const HttpRequest& request);
  bool HasDeadlyPart(const HttpRequest& request) const;
  void EndSoon();
  void Tell(const HttpExchange& exchange, bool ran);
  HttpHeaders AnswerHeaders(const HttpExchange& exchange) const;
  HttpHeaders WithWords(HttpHeaders headers) const;

  EventLoop& loop_;
  std::unique_ptr<HttpServer> server_;  // nothing: it has ended
  std::string address_;
  std::string id_;
  Duration warm_up_left_{};
  std::string data_centre_ = "z1";
  std::string deadly_;
  std::string deadly_part_;
  Duration ends_after_{};
  std::function<void()> ended_;
  std::unique_ptr<Timer> end_;
  std::function<WorkerMode()> draw_;
  std::function<WorkerMode(const std::string&)> link_;
  HttpHeaders said_;
  std::function<void(const BackendArrival&)> tell_;
  Duration work_{};
  Duration event_gap_{};
  bool paused_ = false;
  std::vector<std::function<void()>> paused_steps_;
  std::list<std::unique_ptr<Timer>> at_work_;
  std::uint64_t born_ = 1'700'000'000'000;  // Unix ms
  WorkerMode mode_ = WorkerMode::kServing;
  int events_ = 5;
  bool hold_ = false;
  bool client_left_ = false;
  bool refuse_memory_ = false;
  double pace_ = 1;
  int runs_ = 0;
  HttpRequest last_request_;
  std::map<std::string, int> runs_by_id_;
  std::map<std::string, std::int64_t> tickets_;
  std::vector<std::shared_ptr<HttpExchange>> held_;
  unsigned endless_answers_ = 0;
};

// A configuration with one model service `llm` (streams at "/chat/", which may
// be resumed, and "/once/", which may not) and one plain service `app` (calls
// at "/plain/safe/" and "/plain/unsafe/"), for the host "h" and the key "k1" of
// account "acme".
nlohmann::json FleetConfiguration();

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_FLEET_STAND_INS_H_

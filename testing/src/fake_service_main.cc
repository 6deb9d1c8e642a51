// fake_service: a stand-in for a plain service. Every call but those below runs
// and is recorded by its Idempotency-Key. GET /runs shows the record. POST
// /control takes {"leaving": bool, "delay_ms": n, "drop_answers": bool}.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <list>
#include <map>

#include "internal/fake_process.h"
#include "scaleshed/wire/engine_json.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, name, "service", "the instance's name");

namespace scaleshed::testing {
namespace {

class FakeService {
 public:
  explicit FakeService(EventLoop& loop)
      : loop_(loop), incarnation_(NewIncarnationNumber()) {}

  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string& path = exchange->path();
    if (path == "/v1/report") {
      exchange->Reply(200, JsonHeaders(),
                      ReportJson({.incarnation = incarnation_,
                                  .leaving = leaving_,
                                  .active = active_}));
    } else if (path == "/runs") {
      exchange->Reply(200, JsonHeaders(), nlohmann::json(runs_).dump());
    } else if (path == "/control") {
      Control(*exchange);
    } else if (leaving_) {
      exchange->Reply(503, JsonHeaders(),
                      EngineRefusalJson({.error = AttemptError::kLeaving,
                                         .message = "leaving"}));
    } else {
      Run(exchange);
    }
  }

 private:
  void Control(HttpExchange& exchange) {
    const auto control = ReadControl(exchange);
    leaving_ = control.value("leaving", leaving_);
    delay_ = milliseconds(control.value("delay_ms", delay_.count() / 1000));
    drop_answers_ = control.value("drop_answers", drop_answers_);
    exchange.Reply(200, JsonHeaders(), "{}");
  }

  void Run(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string id = exchange->Header("Idempotency-Key");
    ++runs_[id.empty() ? "(none)" : id];
    const std::string body = exchange->TakeBody();
    const nlohmann::json answer = {{"receipt", ++receipts_},
                                   {"by", absl::GetFlag(FLAGS_name)},
                                   {"path", exchange->path()},
                                   {"bytes", body.size()}};
    ++active_;
    timers_.emplace_back(std::make_unique<Timer>(
        loop_, [this, exchange, text = answer.dump(), drop = drop_answers_] {
          --active_;
          if (drop) {
            exchange->Abort();
          } else {
            exchange->Reply(200, JsonHeaders(), text);
          }
        }));
    timers_.back()->Once(delay_);
    constexpr std::size_t kMostTimers = 4096;
    if (timers_.size() > kMostTimers) timers_.pop_front();
  }

  EventLoop& loop_;
  std::uint64_t incarnation_;
  bool leaving_ = false;
  bool drop_answers_ = false;
  Duration delay_ = milliseconds(2);
  std::int64_t active_ = 0;
  std::uint64_t receipts_ = 0;
  std::map<std::string, int> runs_;
  std::list<std::unique_ptr<Timer>> timers_;
};

}  // namespace
}  // namespace scaleshed::testing

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  scaleshed::EventLoop loop;
  scaleshed::testing::FakeService service(loop);
  scaleshed::testing::ServeUntilTerminated(
      loop, absl::GetFlag(FLAGS_listen), "fake_service",
      [&](const auto& exchange) { service.Handle(exchange); });
  return 0;
}

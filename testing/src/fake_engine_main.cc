// fake_engine: a stand-in for a model engine, over the interface of
// docs/ENGINES.md. POST /control takes {"leaving": bool, "cut": true}.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <map>
#include <memory>
#include <optional>

#include "internal/fake_process.h"
#include "scaleshed/testing/engine_model.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, name, "engine", "the instance's name");
ABSL_FLAG(int64_t, memory_tokens, 400'000, "engine memory in tokens");
ABSL_FLAG(double, speed, 1.0, "how many times faster than the real costs");

namespace scaleshed::testing {
namespace {

EngineModelOptions MakeOptions() {
  const double speed = absl::GetFlag(FLAGS_speed);
  const auto scaled = [&](Duration duration) {
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(duration.count()) / speed));
  };
  EngineModelOptions options{
      .name = absl::GetFlag(FLAGS_name),
      .incarnation = NewIncarnationNumber(),
      .memory_tokens = absl::GetFlag(FLAGS_memory_tokens)};
  options.cost.prefill_us_per_token /= speed;
  options.cost.decode_ms_per_token /= speed;
  options.prefill_chunk = scaled(options.prefill_chunk);
  options.decode_step = scaled(options.decode_step);
  options.decode_per_stream = scaled(options.decode_per_stream);
  return options;
}

class FakeEngine {
 public:
  explicit FakeEngine(EventLoop& loop)
      : loop_(loop),
        model_(MakeOptions()),
        timer_(loop, [this] { Advance(); }) {}

  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string& path = exchange->path();
    const std::string& method = exchange->method();
    Deliver(model_.Advance(loop_.Now()));
    if (path == "/v1/streams" && method == "POST") {
      Start(exchange);
    } else if (path == "/v1/streams" && method == "GET") {
      Resume(exchange);
    } else if (path == "/v1/streams" && method == "DELETE") {
      model_.Cancel(KeyOf(*exchange));
      connections_.erase(KeyOf(*exchange));
      exchange->Reply(200, JsonHeaders(), "{\"cancelled\": true}");
    } else if (path == "/v1/holds" && method == "POST") {
      Hold(*exchange);
    } else if (path == "/v1/report") {
      exchange->Reply(200, JsonHeaders(),
                      ReportJson(model_.MakeReport(loop_.Now())));
    } else if (path == "/control") {
      Control(*exchange);
    } else {
      exchange->Reply(404, {}, "no such path\n");
    }
    Schedule();
  }

 private:
  using Key = EngineModel::Key;

  static Key KeyOf(const HttpExchange& exchange) {
    return {exchange.Query("holder"),
            std::strtoull(exchange.Query("attempt").c_str(), nullptr, 10)};
  }

  void Connect(const Key& key, const std::shared_ptr<HttpExchange>& exchange) {
    exchange->StartStream(200, {{"Content-Type", "application/x-ndjson"}});
    connections_[key] = exchange;
    exchange->OnClosed([this, key] {
      connections_.erase(key);
      model_.Disconnect(key, loop_.Now());
    });
  }

  void Start(const std::shared_ptr<HttpExchange>& exchange) {
    const auto parsed = ParseEngineStreamRequest(exchange->TakeBody());
    const auto* request = ValueOf(parsed);
    if (request == nullptr) {
      exchange->Reply(400, {}, ToString(ErrorOf(parsed)) + "\n");
      return;
    }
    const auto result = model_.Start(*request, loop_.Now());
    if (const auto* refusal = std::get_if<EngineRefusal>(&result)) {
      exchange->Reply(503, JsonHeaders(), EngineRefusalJson(*refusal));
      return;
    }
    Connect({ToString(request->holder), request->attempt}, exchange);
  }

  void Resume(const std::shared_ptr<HttpExchange>& exchange) {
    const Key key = KeyOf(*exchange);
    std::vector<EngineModel::Output> out;
    const std::int64_t offset =
        std::strtoll(exchange->Query("offset").c_str(), nullptr, 10);
    if (!model_.Resume(key, offset, out)) {
      exchange->Reply(503, JsonHeaders(),
                      EngineRefusalJson({.error = AttemptError::kRefused,
                                         .message = "no such stream"}));
      return;
    }
    Connect(key, exchange);
    Deliver(out);
  }

  void Hold(HttpExchange& exchange) {
    const auto parsed = ParseEngineHoldRequest(exchange.TakeBody());
    const auto* request = ValueOf(parsed);
    if (request == nullptr) {
      exchange.Reply(400, {}, ToString(ErrorOf(parsed)) + "\n");
      return;
    }
    exchange.Reply(200, JsonHeaders(),
                   HoldStateJson(model_.Hold(*request, loop_.Now())));
  }

  void Control(HttpExchange& exchange) {
    const auto control = ReadControl(exchange);
    if (control.contains("leaving")) {
      model_.SetLeaving(control["leaving"].get<bool>());
    }
    if (control.value("cut", false)) CutAll();
    const nlohmann::json answer = {{"used_tokens", model_.UsedTokens()},
                                   {"stream_tokens", model_.LiveStreamTokens()},
                                   {"streams", model_.streams()},
                                   {"started", model_.started()}};
    exchange.Reply(200, JsonHeaders(), answer.dump());
  }

  void CutAll() {
    const auto connections = std::move(connections_);
    connections_.clear();
    for (const auto& [key, exchange] : connections) {
      model_.Disconnect(key, loop_.Now());
      exchange->Abort();
    }
  }

  void Deliver(const std::vector<EngineModel::Output>& out) {
    for (const auto& [key, line] : out) {
      const auto it = connections_.find(key);
      if (it == connections_.end()) continue;
      it->second->SendChunk(StreamLineJson(line) + "\n");
      if (std::holds_alternative<FrameLine>(line)) continue;
      it->second->EndStream();
      connections_.erase(it);
    }
  }

  void Advance() {
    Deliver(model_.Advance(loop_.Now()));
    Schedule();
  }

  void Schedule() {
    const auto next = model_.NextEvent();
    if (next) timer_.Once(*next - loop_.Now());
  }

  EventLoop& loop_;
  EngineModel model_;
  Timer timer_;
  std::map<Key, std::shared_ptr<HttpExchange>> connections_;
};

}  // namespace
}  // namespace scaleshed::testing

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  scaleshed::EventLoop loop;
  scaleshed::testing::FakeEngine engine(loop);
  scaleshed::testing::ServeUntilTerminated(
      loop, absl::GetFlag(FLAGS_listen), "fake_engine",
      [&](const auto& exchange) { engine.Handle(exchange); });
  return 0;
}

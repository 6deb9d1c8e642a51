// fake_platform: a stand-in for the platform (docs/PLATFORM.md). PUT
// /control/instances takes the list. POST /control takes {"mode": "up", "down"
// or "lose_answers", "save": true, "restore": true}, and answers the counts of
// calls.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <list>
#include <map>

#include "internal/fake_process.h"
#include "scaleshed/testing/platform_model.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(int, list_lag_ms, 1000, "how late the list of instances is");

namespace scaleshed::testing {
namespace {

class FakePlatform {
 public:
  explicit FakePlatform(EventLoop& loop)
      : loop_(loop),
        model_(milliseconds(absl::GetFlag(FLAGS_list_lag_ms))),
        sweep_(loop, [this] { ExpireWatches(); }) {
    sweep_.Every(milliseconds(50));
  }

  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string& path = exchange->path();
    if (path == "/control/instances") {
      SetInstances(*exchange);
    } else if (path == "/control") {
      Control(*exchange);
    } else if (mode_ == "down") {
      exchange->Abort();
    } else if (path == "/v1/kv" && exchange->method() == "GET") {
      Answer(*exchange, Read(exchange->Query("key")));
    } else if (path == "/v1/kv" && exchange->method() == "PUT") {
      Write(*exchange);
    } else if (path == "/v1/watch") {
      Watch(exchange);
    } else if (path == "/v1/instances") {
      exchange->Reply(200, JsonHeaders(),
                      InstancesJson(model_.List(loop_.Now())));
    } else {
      exchange->Reply(404, {}, "no such path\n");
    }
  }

 private:
  struct Waiting {
    std::shared_ptr<HttpExchange> exchange;
    std::string key;
    std::uint64_t version = 0;
    Time until;
  };

  // An absent key reads as version zero.
  KeyValue Read(const std::string& key) {
    const auto result = model_.Get(key, loop_.Now());
    const auto* entry = std::get_if<KeyValue>(&result);
    return entry == nullptr ? KeyValue() : *entry;
  }

  static void Answer(HttpExchange& exchange, const KeyValue& entry) {
    exchange.Reply(entry.version == 0 ? 404 : 200, JsonHeaders(),
                   KeyValueJson(entry));
  }

  void Write(HttpExchange& exchange) {
    const auto write = ParseKeyWrite(exchange.TakeBody());
    if (ValueOf(write) == nullptr) {
      exchange.Reply(400, {}, ToString(ErrorOf(write)) + "\n");
      return;
    }
    const auto result = model_.Put(*ValueOf(write), loop_.Now());
    if (mode_ == "lose_answers") {
      exchange.Abort();
    } else if (const auto* entry = std::get_if<KeyValue>(&result)) {
      exchange.Reply(200, JsonHeaders(), KeyValueJson(*entry));
    } else {
      exchange.Reply(409, JsonHeaders(), "{}");
    }
    WakeWatches();
  }

  void Watch(const std::shared_ptr<HttpExchange>& exchange) {
    const auto wait =
        std::strtoll(exchange->Query("wait_ms").c_str(), nullptr, 10);
    waiting_.push_back({.exchange = exchange,
                        .key = exchange->Query("key"),
                        .version = std::strtoull(
                            exchange->Query("version").c_str(), nullptr, 10),
                        .until = loop_.Now() + milliseconds(wait)});
    WakeWatches();
  }

  void WakeWatches() {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      const KeyValue entry = Read(it->key);
      if (entry.version == it->version) {
        ++it;
        continue;
      }
      it->exchange->Reply(200, JsonHeaders(), KeyValueJson(entry));
      it = waiting_.erase(it);
    }
  }

  void ExpireWatches() {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      if (loop_.Now() < it->until) {
        ++it;
        continue;
      }
      it->exchange->Reply(200, JsonHeaders(), KeyValueJson(Read(it->key)));
      it = waiting_.erase(it);
    }
  }

  void SetInstances(HttpExchange& exchange) {
    auto instances = ParseInstances(exchange.TakeBody());
    if (ValueOf(instances) == nullptr) {
      exchange.Reply(400, {}, ToString(ErrorOf(instances)) + "\n");
      return;
    }
    model_.SetInstances(std::move(*ValueOf(instances)), loop_.Now());
    exchange.Reply(200, JsonHeaders(), "{}");
  }

  void Control(HttpExchange& exchange) {
    const auto control = ReadControl(exchange);
    mode_ = control.value("mode", mode_);
    if (control.value("save", false)) saved_ = model_.Save();
    if (control.value("restore", false)) model_.Restore(saved_);
    if (mode_ == "down") {
      for (const Waiting& it : waiting_) it.exchange->Abort();
      waiting_.clear();
    }
    WakeWatches();
    const nlohmann::json answer = {{"reads", model_.reads()},
                                   {"writes", model_.writes()}};
    exchange.Reply(200, JsonHeaders(), answer.dump());
  }

  EventLoop& loop_;
  PlatformModel model_;
  Timer sweep_;
  std::string mode_ = "up";
  std::list<Waiting> waiting_;
  std::map<std::string, KeyValue> saved_;
};

}  // namespace
}  // namespace scaleshed::testing

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  scaleshed::EventLoop loop;
  scaleshed::testing::FakePlatform platform(loop);
  scaleshed::testing::ServeUntilTerminated(
      loop, absl::GetFlag(FLAGS_listen), "fake_platform",
      [&](const auto& exchange) { platform.Handle(exchange); });
  return 0;
}

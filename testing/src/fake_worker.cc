#include <utility>

#include "scaleshed/testing/fleet_stand_ins.h"

namespace scaleshed::testing {
namespace {

using Json = nlohmann::json;

constexpr char kReportPath[] = "/v1/report";

std::string EventText(int number) {
  return "id: " + std::to_string(number) + "\ndata: piece " +
         std::to_string(number) + "\n\n";
}

}  // namespace

FakeWorker::FakeWorker(EventLoop& loop, std::string id)
    : loop_(loop), id_(std::move(id)) {
  Listen("127.0.0.1:0");
  address_ = "127.0.0.1:" + std::to_string(server_->port());
}

std::string FakeWorker::address() const { return address_; }

std::string FakeWorker::BodyOf(const std::string& id, std::string_view path) {
  std::string body = "body of " + id;
  if (path.ends_with(kLargePath)) body.resize(kLargeBytes, '.');
  return body;
}

void FakeWorker::Listen(const std::string& address) {
  server_ = std::make_unique<HttpServer>(
      loop_, HttpServerOptions{.address = address},
      [this](const auto& exchange) { Handle(exchange); });
}

void FakeWorker::End() {
  end_.reset();
  at_work_.clear();
  held_.clear();
  paused_steps_.clear();
  tickets_.clear();
  // Not from within its own callbacks.
  server_->StopAccepting();
  loop_.Defer([server = std::shared_ptr<HttpServer>(std::move(server_))] {});
  if (ended_) ended_();
}

void FakeWorker::Begin(std::string id) {
  id_ = std::move(id);
  Listen(address_);
}

bool FakeWorker::EndsUnder(const HttpRequest& request) {
  if (deadly_.empty() || request.body != deadly_) return false;
  EndSoon();
  return true;
}

void FakeWorker::EndSoon() {
  if (end_ != nullptr) return;
  end_ = std::make_unique<Timer>(loop_,
                                 [this] { loop_.Defer([this] { End(); }); });
  end_->Once(ends_after_);
}

bool FakeWorker::HasDeadlyPart(const HttpRequest& request) const {
  if (deadly_part_.empty()) return false;
  const std::string parts = "," + request.headers.Get("X-Prefix-Hash");
  return parts.find("," + deadly_part_ + ":") != std::string::npos;
}

std::string FakeWorker::Entry(const std::string& service,
                              const std::string& state) const {
  const auto warm_up_left =
      std::chrono::duration_cast<milliseconds>(warm_up_left_).count();
  return Json{{"service", service},
              {"address", address()},
              {"zone", data_centre_},
              {"version", "v1"},
              {"slots", 16},
              {"state", state},
              {"cold_remaining_ms", warm_up_left},
              {"sequence", 1},
              {"born", born_}}
      .dump();
}

void FakeWorker::StartAgain() {
  constexpr std::uint64_t kLaterMs = 60'000;
  born_ += kLaterMs;
  tickets_.clear();
  BreakHeld();
}

int FakeWorker::RunsOf(const std::string& request_id) const {
  const auto it = runs_by_id_.find(request_id);
  return it == runs_by_id_.end() ? 0 : it->second;
}

HttpHeaders FakeWorker::AnswerHeaders(const HttpExchange& exchange) const {
  HttpHeaders headers{{"X-Request-Id", exchange.Header("X-Request-Id")},
                      {"X-Response-Seal", "seal-of-" + id_}};
  if (mode_ == WorkerMode::kForeignAnswer) headers["X-Request-Id"] = "other";
  if (mode_ == WorkerMode::kUnsealed) headers.Remove("X-Response-Seal");
  if (mode_ == WorkerMode::kEncoded) headers.Add("Content-Encoding", "gzip");
  return WithWords(std::move(headers));
}

HttpHeaders FakeWorker::WithWords(HttpHeaders headers) const {
  for (const auto& [name, value] : said_) headers.Add(name, value);
  return headers;
}

bool FakeWorker::IsLostOnLink(const std::shared_ptr<HttpExchange>& exchange) {
  if (!link_) return false;
  const WorkerMode mode = link_(exchange->remote_address());
  if (mode == WorkerMode::kServing) return false;
  if (mode == WorkerMode::kResetting) {
    exchange->Abort();
  } else {
    held_.push_back(exchange);
  }
  return true;
}

void FakeWorker::GoOn() {
  paused_ = false;
  for (const auto& step : std::exchange(paused_steps_, {})) step();
}

void FakeWorker::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  if (paused_) {
    paused_steps_.emplace_back([this, exchange] {
      const bool has_gone = exchange->remote_address().empty();
      if (!has_gone) Handle(exchange);
    });
    return;
  }
  if (IsLostOnLink(exchange)) return;
  if (exchange->path() == "/v1/order") return OnOrder(*exchange);
  if (exchange->path() == kReportPath) return AnswerInTime(exchange);
  if (draw_) mode_ = draw_();
  last_request_ = exchange->request();
  if (exchange->Header("X-Expect-Instance") != id_) {
    Tell(*exchange, false);
    exchange->Reply(421, {{"X-Instance-Id", id_}}, "");
    return;
  }
  HttpHeaders refusal{{"X-Request-Id", exchange->Header("X-Request-Id")}};
  if (mode_ == WorkerMode::kFull) {
    Tell(*exchange, false);
    refusal.Add("X-Not-Executed", "1");
    exchange->Reply(503, WithWords(refusal), "");
    return;
  }
  ++runs_;
  ++runs_by_id_[exchange->Header("X-Request-Id")];
  Tell(*exchange, true);
  if (EndsUnder(last_request_)) {
    held_.push_back(exchange);
    return;
  }
  switch (mode_) {
    case WorkerMode::kResetting:
      exchange->Abort();
      return;
    case WorkerMode::kHanging:
      held_.push_back(exchange);
      return;
    case WorkerMode::kFailing:
      exchange->Reply(500, AnswerHeaders(*exchange), "broken");
      return;
    case WorkerMode::kPlainRefusal:
      exchange->Reply(503, AnswerHeaders(*exchange), "busy");
      return;
    case WorkerMode::kEndless:
      AnswerEndlessly(exchange);
      return;
    default:
      break;
  }
  AnswerInTime(exchange);
}

void FakeWorker::AnswerEndlessly(
    const std::shared_ptr<HttpExchange>& exchange) {
  constexpr std::uint64_t kLength = 99'999'999'999'999;
  const unsigned n = endless_answers_++;
  const bool has_length = n % 2 == 0;
  const bool is_slow = n / 2 % 2 == 0;
  exchange->StartStream(
      200, AnswerHeaders(*exchange),
      has_length ? std::optional<std::uint64_t>(kLength) : std::nullopt);
  SendEndlessly(exchange, is_slow);
}

void FakeWorker::SendEndlessly(const std::shared_ptr<HttpExchange>& exchange,
                               bool slow) {
  constexpr std::size_t kFastBytes = 64 * 1024;
  constexpr Duration kFastGap = milliseconds(2);
  constexpr Duration kSlowGap = milliseconds(20);
  const bool has_left = exchange->remote_address().empty();
  if (has_left) return;
  exchange->SendChunk(std::string(slow ? 1 : kFastBytes, 'x'));
  Later(slow ? kSlowGap : kFastGap,
        [this, exchange, slow] { SendEndlessly(exchange, slow); });
}

void FakeWorker::AnswerInTime(const std::shared_ptr<HttpExchange>& exchange) {
  if (work_ > Duration::zero()) {
    Later(work_, [this, exchange] { Answer(exchange); });
  } else {
    Answer(exchange);
  }
}

void FakeWorker::Tell(const HttpExchange& exchange, bool ran) {
  if (!tell_) return;
  tell_({.request_id = exchange.Header("X-Request-Id"),
         .path = exchange.path(),
         .expected = exchange.Header("X-Expect-Instance"),
         .ran = ran,
         .client = exchange.remote_address()});
}

void FakeWorker::Later(Duration after, std::function<void()> step) {
  const auto at = at_work_.emplace(at_work_.end());
  *at = std::make_unique<Timer>(loop_, [this, step = std::move(step), at] {
    at_work_.erase(at);
    if (paused_) {
      paused_steps_.push_back(step);
    } else {
      step();
    }
  });
  (*at)->Once(after);
}

void FakeWorker::Answer(const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->path() == kReportPath) {
    exchange->Reply(
        200, {{"Content-Type", "application/json"}},
        Json{{"running", 0}, {"pace", pace_}, {"born", born_}}.dump());
    return;
  }
  if (exchange->path().compare(0, 7, "/plain/") == 0) {
    exchange->Reply(200, AnswerHeaders(*exchange),
                    BodyOf(id_, exchange->path()));
    return;
  }
  OnStream(exchange);
}

void FakeWorker::OnStream(const std::shared_ptr<HttpExchange>& exchange) {
  exchange->OnClosed([this] { client_left_ = true; });
  exchange->StartStream(200, AnswerHeaders(*exchange));
  const std::string last = exchange->Header("Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  if (HasDeadlyPart(exchange->request())) {
    exchange->SendChunk(EventText(first));
    held_.push_back(exchange);
    EndSoon();
    return;
  }
  SendEvents(exchange, first);
}

void FakeWorker::SendEvents(const std::shared_ptr<HttpExchange>& exchange,
                            int next) {
  for (int i = next; i <= events_; ++i) {
    const std::string event = EventText(i);
    if (mode_ == WorkerMode::kCutting && i == 3) {
      exchange->SendChunk(event.substr(0, event.size() / 2));
      // What was written is read before the connection breaks.
      held_.push_back(exchange);
      return;
    }
    exchange->SendChunk(event);
    if (hold_) {
      held_.push_back(exchange);
      return;
    }
    if (event_gap_ > Duration::zero() && i < events_) {
      Later(event_gap_, [this, exchange, i] { SendEvents(exchange, i + 1); });
      return;
    }
  }
  exchange->EndStream();
}

void FakeWorker::BreakHeld() {
  for (const auto& it : held_) it->Abort();
  held_.clear();
}

void FakeWorker::OnOrder(HttpExchange& exchange) {
  const Json body = Json::parse(exchange.TakeBody());
  const std::string ticket = body.at("id");
  if (body.at("op") == "release") {
    tickets_.erase(ticket);
    exchange.Reply(200, {}, "{}");
    return;
  }
  if (refuse_memory_) {
    exchange.Reply(409, {}, "{}");
    return;
  }
  tickets_[ticket] = body.at("tokens");
  exchange.Reply(200, {}, "{}");
}

nlohmann::json FleetConfiguration() {
  const auto route = [](const std::string& prefix, const std::string& kind,
                        bool resumable, const std::string& service,
                        int attempts) {
    return Json{{"name", "r" + prefix},
                {"host", "h"},
                {"path_prefix", prefix},
                {"kind", kind},
                {"timeout_ms", 5000},
                {"slo_ms", 1000},
                {"priority", 1},
                {"service", service},
                {"max_attempts", attempts},
                {"public", false},
                {"resumable", resumable},
                {"gap_aim_ms", 300}};
  };
  const Json engine{{"slots", 16},
                    {"kv_capacity_tokens", 450000},
                    {"stride", 46},
                    {"step_ms", 0.925},
                    {"per_seq_ms", 0.00483},
                    {"context_per_k", 0.00254},
                    {"read_per_s", 256000.0},
                    {"pairs_per_m", 0.0917},
                    {"chunk", 2048},
                    {"hop_ms", 0.1}};
  return {
      {"version", 3},
      {"routes",
       {route("/chat/", "streaming", true, "llm", 2),
        route("/once/", "streaming", false, "llm", 1),
        route("/plain/safe/", "safe", false, "app", 2),
        route("/plain/unsafe/", "unsafe", false, "app", 1)}},
      {"services",
       {{{"name", "llm"}, {"max_conns", 100}, {"engine", engine}},
        {{"name", "app"}, {"max_conns", 100}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 65536},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "acme"}, {"api_keys", {"k1"}}, {"priority", 1}}}}};
}

}  // namespace scaleshed::testing

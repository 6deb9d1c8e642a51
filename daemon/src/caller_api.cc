#include "internal/caller_api.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include "scaleshed/config/field_reader.h"
#include "scaleshed/core/reducer.h"

namespace scaleshed {
namespace {

constexpr std::string_view kServicesPath = "/services/";
constexpr std::int64_t kMostTimeLimitMillis = 3'600'000;

HttpHeaders JsonHeaders() { return {{"Content-Type", "application/json"}}; }

Final Invalid(Reason reason, std::string message) {
  return Final{.outcome = Outcome::kNotRun,
               .reason = reason,
               .message = std::move(message)};
}

// Headers of a final answer: the outcome, and when to come back.
HttpHeaders FinalHeaders(const Final& final) {
  HttpHeaders headers = JsonHeaders();
  headers["X-Outcome"] = NameIn(kOutcomeNames, final.outcome);
  if (final.retry_after > Duration::zero()) {
    const auto whole = std::chrono::ceil<seconds>(final.retry_after).count();
    headers["Retry-After"] = std::to_string(whole);
  }
  return headers;
}

void SendRefusal(HttpExchange& exchange, const Final& final) {
  exchange.Reply(HttpStatusOf(final), FinalHeaders(final),
                 FinalJson(final) + "\n");
}

std::string EventData(const std::string& data) {
  return "data: " + data + "\n\n";
}

std::uint64_t Draw() {
  static std::mt19937_64 random{std::random_device{}()};
  return random();
}

}  // namespace

CallerApi::CallerApi(const Settings& settings, const State& state,
                     const Metrics& metrics, Feed feed, PeerPages pages)
    : settings_(settings),
      state_(state),
      metrics_(metrics),
      feed_(std::move(feed)),
      pages_(std::move(pages)) {}

void CallerApi::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& path = exchange->path();
  const bool is_get = exchange->method() == "GET";
  const bool is_post = exchange->method() == "POST";
  if (path == "/v1/completions" && is_post) {
    Complete(exchange);
  } else if (path.starts_with(kServicesPath)) {
    CallService(exchange);
  } else if (path == "/v1/lookup" && is_get) {
    LookUpAddress(*exchange);
  } else if (path == "/v1/explain" && is_post) {
    ExplainCall(*exchange);
  } else if (path == "/v1/status" && is_get) {
    exchange->Reply(200, JsonHeaders(), StatusJson(state_) + "\n");
  } else if (path == "/v1/configuration" && is_get) {
    exchange->Reply(200, JsonHeaders(), pages_.configuration());
  } else if (path == "/v1/instances" && is_get) {
    exchange->Reply(200, JsonHeaders(), pages_.instances());
  } else if (path == "/metrics" && is_get) {
    exchange->Reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                    metrics_.Render());
  } else if (path == "/healthz" && is_get) {
    exchange->Reply(200, {}, "ok\n");
  } else if (path == "/readyz" && is_get) {
    const bool ready = state_.ready && state_.stop == StopPhase::kServing;
    exchange->Reply(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
  } else {
    exchange->Reply(
        404, JsonHeaders(),
        FinalJson(Invalid(Reason::kInvalidRequest,
                          "no such path or method; see docs/API.md")) +
            "\n");
  }
}

void CallerApi::LookUpAddress(HttpExchange& exchange) const {
  const LookUpAnswer answer =
      LookUp(state_, exchange.Query("data_centre"), Draw());
  exchange.Reply(200, JsonHeaders(), LookUpJson(answer) + "\n");
}

bool CallerApi::ReadHeaders(HttpExchange& exchange, CallSpec& spec) const {
  spec.account = exchange.Header("X-Client-Account");
  spec.id = exchange.Header("Idempotency-Key");
  spec.time_limit = settings_.default_time_limit;
  if (spec.account.empty()) {
    SendRefusal(exchange, Invalid(Reason::kUnknownAccount,
                                  "the header X-Client-Account is missing"));
    return false;
  }
  if (!IsName(spec.account)) {
    SendRefusal(exchange,
                Invalid(Reason::kUnknownAccount,
                        "X-Client-Account must be 1 to 48 letters, digits, '-' "
                        "or '_'"));
    return false;
  }
  const std::string limit = exchange.Header("X-Time-Limit-Ms");
  if (limit.empty()) return true;
  std::int64_t millis = 0;
  const char* end = limit.data() + limit.size();
  const auto [stop, ec] = std::from_chars(limit.data(), end, millis);
  if (ec != std::errc() || stop != end || millis < 1 ||
      millis > kMostTimeLimitMillis) {
    SendRefusal(exchange,
                Invalid(Reason::kInvalidRequest,
                        "X-Time-Limit-Ms must be a whole number from 1 to " +
                            std::to_string(kMostTimeLimitMillis)));
    return false;
  }
  spec.time_limit = milliseconds(millis);
  return true;
}

void CallerApi::Complete(const std::shared_ptr<HttpExchange>& exchange) {
  CallSpec spec;
  if (!ReadHeaders(*exchange, spec)) return;
  OpenCall call{.exchange = exchange,
                .body = {.method = exchange->method(),
                         .path = exchange->path(),
                         .content_type = exchange->Header("Content-Type"),
                         .body = exchange->TakeBody()}};
  auto parsed = ParseCompletion(call.body.body);
  auto* request = ValueOf(parsed);
  if (request == nullptr) {
    SendRefusal(*exchange,
                Invalid(Reason::kInvalidRequest, ToString(ErrorOf(parsed))));
    return;
  }
  call.model = request->call.model;
  call.prompt = std::move(request->prompt);
  call.stream = request->stream;
  spec.call = std::move(request->call);
  // Kept only where it may have to travel to the id's home.
  if (spec.may_repeat()) call.body.body.clear();
  Submit(std::move(call), std::move(spec));
}

void CallerApi::CallService(const std::shared_ptr<HttpExchange>& exchange) {
  CallSpec spec;
  if (!ReadHeaders(*exchange, spec)) return;
  const std::string rest = exchange->path().substr(kServicesPath.size());
  const std::size_t slash = rest.find('/');
  const std::string service = rest.substr(0, slash);
  spec.call = ServiceCall{.service = service};
  OpenCall call{
      .exchange = exchange,
      .body = {.method = exchange->method(),
               .path = slash == std::string::npos ? "/" : rest.substr(slash),
               .content_type = exchange->Header("Content-Type"),
               .body = exchange->TakeBody()}};
  Submit(std::move(call), std::move(spec));
}

void CallerApi::Submit(OpenCall call, CallSpec spec) {
  const RequestKey key = NewKey();
  call.id = spec.id;
  call.exchange->OnClosed([this, key] { feed_(CallerGone{.key = key}); });
  calls_[key] = std::move(call);
  feed_(scaleshed::Submit{.key = key, .spec = std::move(spec)});
}

void CallerApi::KeepForwarded(RequestKey key, const CallSpec& spec,
                              CallBody body) {
  OpenCall call{.exchange = nullptr, .body = std::move(body), .id = spec.id};
  if (std::holds_alternative<ModelCall>(spec.call)) {
    auto parsed = ParseCompletion(call.body.body);
    if (auto* request = ValueOf(parsed)) {
      call.model = request->call.model;
      call.prompt = std::move(request->prompt);
    }
  }
  calls_[key] = std::move(call);
}

CallBody CallerApi::BodyOf(RequestKey key) const {
  const auto it = calls_.find(key);
  return it == calls_.end() ? CallBody() : it->second.body;
}

std::string CallerApi::PromptOf(RequestKey key) const {
  const auto it = calls_.find(key);
  return it == calls_.end() ? std::string() : it->second.prompt;
}

const std::string& CallerApi::IdOf(RequestKey key) const {
  static const std::string kNone;
  const auto it = calls_.find(key);
  return it == calls_.end() ? kNone : it->second.id;
}

void CallerApi::OnChunk(const ReplyChunk& chunk) {
  const auto it = calls_.find(chunk.key);
  if (it == calls_.end() || it->second.exchange == nullptr) return;
  OpenCall& call = it->second;
  if (!call.stream) {
    call.text += chunk.text;
    return;
  }
  if (!call.started) {
    call.started = true;
    call.exchange->StartStream(200, {{"Content-Type", "text/event-stream"},
                                     {"Cache-Control", "no-cache"}});
  }
  call.exchange->SendChunk(
      EventData(CompletionChunkJson(call.model, chunk.text)));
}

void CallerApi::OnFinal(const ReplyFinal& reply) {
  const auto it = calls_.find(reply.key);
  if (it == calls_.end() || it->second.exchange == nullptr) return;
  SendFinal(it->second, reply.final);
}

void CallerApi::SendFinal(OpenCall& call, const Final& final) const {
  HttpExchange& exchange = *call.exchange;
  const bool done = final.outcome == Outcome::kDone;
  if (call.started) {
    // The status is long gone; the last event tells the outcome, and only a
    // whole answer ends with [DONE].
    exchange.SendChunk("event: outcome\n" + EventData(FinalJson(final)));
    if (done) exchange.SendChunk(EventData("[DONE]"));
    exchange.EndStream();
    return;
  }
  if (done && final.status != 0) {
    HttpHeaders headers{{"X-Outcome", "done"}};
    if (!final.content_type.empty())
      headers["Content-Type"] = final.content_type;
    exchange.Reply(final.status, headers, final.body);
    return;
  }
  // A copy of a call that is done has no text any more, only the outcome.
  const bool has_text = done && !call.model.empty() && !call.text.empty();
  if (has_text) {
    exchange.Reply(200, FinalHeaders(final),
                   CompletionJson(call.model, call.text, final) + "\n");
    return;
  }
  SendRefusal(exchange, final);
}

void CallerApi::ExplainCall(HttpExchange& exchange) const {
  CallSpec spec;
  if (!ReadHeaders(exchange, spec)) return;
  ModelCall call{.model = exchange.Query("model"),
                 .adapter = exchange.Query("adapter"),
                 .max_tokens = 1};
  const std::string tokens = exchange.Query("prompt_tokens");
  std::from_chars(tokens.data(), tokens.data() + tokens.size(),
                  call.prompt_tokens);
  if (call.prompt_tokens < 1) {
    SendRefusal(exchange,
                Invalid(Reason::kInvalidRequest,
                        "prompt_tokens must be a whole number over 0"));
    return;
  }
  spec.call = call;
  exchange.Reply(200, JsonHeaders(),
                 ExplanationJson(Explain(state_, spec)) + "\n");
}

}  // namespace scaleshed

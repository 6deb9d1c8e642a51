#include "internal/backend_client.h"

#include <utility>

#include "scaleshed/runtime/http_query.h"
#include "scaleshed/wire/engine_json.h"

namespace scaleshed {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr Duration kControlTimeout = seconds(1);
// The engine keeps the time limit; this only frees our side when it does not.
constexpr Duration kStreamGrace = seconds(1);
// Bytes of one line of a stream; an engine that sends more without a line end
// sends no such stream.
constexpr std::size_t kMaxLineBytes = 1024 * 1024;

HttpHeaders JsonHeaders() { return {{"Content-Type", "application/json"}}; }

AttemptError FromHttp(HttpError error) {
  return IsUnsent(error) ? AttemptError::kNotSent : AttemptError::kCut;
}

// What an answer other than 200 says of an attempt. Only a refusal that can be
// read confirms that nothing has started.
AttemptFailed ReadRefusal(AttemptId attempt, const HttpResponse& response) {
  AttemptFailed failed{.attempt = attempt, .detail = response.body};
  const auto refusal = ParseEngineRefusal(response.body);
  if (const auto* it = ValueOf(refusal)) {
    failed.error = it->error;
    failed.retry_after = it->retry_after;
    failed.detail = it->message;
  } else if (response.status == kBadRequest) {
    failed.error = AttemptError::kRejected;
  }
  return failed;
}

}  // namespace

std::string BackendClient::AddressOf(const std::string& backend) const {
  const auto service = state_.service_of.find(backend);
  if (service == state_.service_of.end()) return "";
  const Pool& pool = state_.pools.at(service->second);
  const auto it = pool.find(backend);
  return it == pool.end() ? "" : it->second.instance().address;
}

std::string BackendClient::StreamPath(const Incarnation& holder,
                                      AttemptId attempt) const {
  return TargetWithQuery("/v1/streams", {{"holder", ToString(holder)},
                                         {"attempt", std::to_string(attempt)}});
}

void BackendClient::OpenCall(AttemptId attempt, HttpCall call) {
  call.on_chunk = [this, attempt](const std::string& bytes) {
    OnBytes(attempt, bytes);
  };
  call.on_done = [this, attempt](const HttpResult& result) {
    OnStreamDone(attempt, result);
  };
  // The entry has to stand before the call starts, as that can fail at once.
  streams_[attempt] = OpenStream();
  const HttpClient::CallId id = http_.Start(std::move(call));
  const auto it = streams_.find(attempt);
  if (it != streams_.end()) it->second.call = id;
}

void BackendClient::Start(const StartStream& effect, std::string prompt) {
  const EngineStreamRequest request{.attempt = effect.attempt,
                                    .holder = state_.options.self.incarnation,
                                    .call = effect.call,
                                    .prompt = std::move(prompt),
                                    .priority = effect.priority,
                                    .time_left = effect.time_left,
                                    .offset = effect.offset,
                                    .checksum = effect.checksum,
                                    .rank = effect.rank,
                                    .group_size = effect.group_size,
                                    .hold = effect.hold};
  OpenCall(effect.attempt, HttpCall{.address = AddressOf(effect.engine),
                                    .method = "POST",
                                    .path = "/v1/streams",
                                    .headers = JsonHeaders(),
                                    .body = EngineStreamRequestJson(request),
                                    .timeout = effect.time_left + kStreamGrace,
                                    .on_chunk = {},
                                    .on_done = {}});
}

void BackendClient::Resume(const ResumeStream& effect) {
  Close(effect.attempt);
  OpenCall(effect.attempt,
           HttpCall{.address = AddressOf(effect.engine),
                    .method = "GET",
                    .path = StreamPath(state_.options.self.incarnation,
                                       effect.attempt) +
                            "&offset=" + std::to_string(effect.offset),
                    .timeout = Duration::zero(),
                    .on_chunk = {},
                    .on_done = {}});
}

void BackendClient::OnBytes(AttemptId attempt, const std::string& bytes) {
  auto it = streams_.find(attempt);
  if (it == streams_.end()) return;
  std::string text = std::move(it->second.partial_line) + bytes;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = text.find('\n', start);
    if (end == std::string::npos) break;
    OnLine(attempt, text.substr(start, end - start));
    start = end + 1;
    // A line can end its stream.
    it = streams_.find(attempt);
    if (it == streams_.end()) return;
  }
  it->second.partial_line = text.substr(start);
  if (it->second.partial_line.size() <= kMaxLineBytes) return;
  Close(attempt);
  feed_(AttemptFailed{.attempt = attempt,
                      .error = AttemptError::kCut,
                      .detail = "a line of the stream has no end"});
}

void BackendClient::OnLine(AttemptId attempt, const std::string& line) {
  if (line.empty()) return;
  const auto parsed = ParseStreamLine(line);
  const StreamLine* value = ValueOf(parsed);
  if (value == nullptr) return;
  const auto of = std::visit([](const auto& it) { return it.attempt; }, *value);
  // A line of another stream has no business on this connection.
  if (of != attempt) return;
  std::visit(
      Overloaded{
          [&](const FrameLine& it) {
            feed_(StreamFrame{.attempt = attempt,
                              .offset = it.offset,
                              .text = it.text,
                              .checksum = it.checksum});
          },
          [&](const EndLine& it) {
            Close(attempt);
            feed_(StreamEnd{.attempt = attempt,
                            .tokens = it.tokens,
                            .checksum = it.checksum});
          },
          [&](const ErrorLine& it) {
            Close(attempt);
            feed_(AttemptFailed{.attempt = attempt,
                                .error = it.error,
                                .detail = "the engine ended the stream"});
          },
      },
      *value);
}

void BackendClient::OnStreamDone(AttemptId attempt, const HttpResult& result) {
  streams_.erase(attempt);
  const HttpResponse* response = ValueOf(result);
  if (response == nullptr) {
    feed_(AttemptFailed{.attempt = attempt,
                        .error = FromHttp(ErrorOf(result)),
                        .detail = "connection"});
    return;
  }
  if (response->status != kOk) {
    feed_(ReadRefusal(attempt, *response));
    return;
  }
  feed_(AttemptFailed{.attempt = attempt,
                      .error = AttemptError::kCut,
                      .detail = "the stream has no end"});
}

void BackendClient::Close(AttemptId attempt) {
  const auto it = streams_.find(attempt);
  if (it == streams_.end()) return;
  http_.Cancel(it->second.call);
  streams_.erase(it);
}

void BackendClient::Hold(const PlaceHold& effect) {
  const EngineHoldRequest request{.hold = effect.hold,
                                  .holder = state_.options.self.incarnation,
                                  .tokens = effect.tokens,
                                  .valid_for = effect.valid_for};
  HttpCall call{.address = AddressOf(effect.engine),
                .method = "POST",
                .path = "/v1/holds",
                .headers = JsonHeaders(),
                .body = EngineHoldRequestJson(request),
                .timeout = kControlTimeout,
                .on_chunk = {},
                .on_done = {}};
  call.on_done = [this, hold = effect.hold](const HttpResult& result) {
    const HttpResponse* response = ValueOf(result);
    if (response == nullptr) {
      feed_(AttemptFailed{.attempt = hold,
                          .error = FromHttp(ErrorOf(result)),
                          .detail = "hold"});
      return;
    }
    const auto state = ParseHoldState(response->body);
    const auto* it = ValueOf(state);
    feed_(HoldAnswer{.hold = hold,
                     .state = it == nullptr ? HoldState::kRefused : *it});
  };
  http_.Start(std::move(call));
}

void BackendClient::Cancel(const CancelAttempt& effect) {
  if (effect.holder == state_.options.self.incarnation) Close(effect.attempt);
  HttpCall call{.address = AddressOf(effect.backend),
                .method = "DELETE",
                .path = StreamPath(effect.holder, effect.attempt),
                .timeout = kControlTimeout,
                .on_chunk = {},
                .on_done = {}};
  call.on_done = [this, effect](const HttpResult& result) {
    const HttpResponse* response = ValueOf(result);
    const bool confirmed = response != nullptr && response->status == kOk;
    feed_(CancelAnswer{.holder = effect.holder,
                       .attempt = effect.attempt,
                       .confirmed = confirmed});
  };
  http_.Start(std::move(call));
}

void BackendClient::CallService(const SendService& effect, const CallBody& body,
                                const std::string& id) {
  HttpHeaders headers;
  if (!body.content_type.empty()) headers["Content-Type"] = body.content_type;
  if (!id.empty()) headers["Idempotency-Key"] = id;
  HttpCall call{.address = AddressOf(effect.backend),
                .method = body.method,
                .path = body.path,
                .headers = std::move(headers),
                .body = body.body,
                .timeout = effect.time_left + kStreamGrace,
                .on_chunk = {},
                .on_done = {}};
  call.on_done = [this, attempt = effect.attempt](const HttpResult& result) {
    OnServiceDone(attempt, result);
  };
  http_.Start(std::move(call));
}

void BackendClient::OnServiceDone(AttemptId attempt, const HttpResult& result) {
  const HttpResponse* response = ValueOf(result);
  if (response == nullptr) {
    feed_(AttemptFailed{.attempt = attempt,
                        .error = FromHttp(ErrorOf(result)),
                        .detail = "connection"});
    return;
  }
  const auto refusal = ParseEngineRefusal(response->body);
  if (response->status == kUnavailable && ValueOf(refusal) != nullptr) {
    feed_(ReadRefusal(attempt, *response));
    return;
  }
  const auto type = response->headers.find("content-type");
  feed_(ServiceAnswer{
      .attempt = attempt,
      .status = response->status,
      .content_type = type == response->headers.end() ? "" : type->second,
      .body = response->body});
}

void BackendClient::PollReports(Duration timeout) {
  for (const auto& [service, pool] : state_.pools) {
    for (const auto& [name, backend] : pool) {
      if (!polled_.contains(name)) Poll(name, timeout);
    }
  }
}

void BackendClient::Poll(const std::string& backend, Duration timeout) {
  polled_.insert(backend);
  HttpCall call{.address = AddressOf(backend),
                .method = "GET",
                .path = "/v1/report",
                .timeout = timeout,
                .on_chunk = {},
                .on_done = {}};
  call.on_done = [this, backend](const HttpResult& result) {
    polled_.erase(backend);
    const HttpResponse* response = ValueOf(result);
    if (response != nullptr && response->status == kOk) {
      auto report = ParseReport(response->body);
      if (auto* it = ValueOf(report)) {
        feed_(ReportArrived{.backend = backend, .report = std::move(*it)});
      }
    }
  };
  http_.Start(std::move(call));
}

}  // namespace scaleshed

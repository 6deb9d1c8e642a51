#include "internal/backend_calls.h"

#include <utility>

#include "scaleshed/platform/messages.h"
#include "scaleshed/runtime/log.h"

namespace scaleshed {
namespace {

// A living backend server takes a connection within milliseconds; one that is
// cut off says nothing.
constexpr Duration kLifeWithin = milliseconds(300);

// Another daemon takes a connection within milliseconds; one that is gone or
// cut off says nothing.
constexpr Duration kRelayConnectTimeout = milliseconds(300);

// Bytes of one event of a stream. A server that sends more without the blank
// line that ends an event sends no stream of events.
constexpr std::size_t kMaxEventBytes = 1024 * 1024;

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

constexpr std::string_view kOfAnother = "answer_of_another_request";

// Why an answer's head is not that of the request's own answer; empty if it is.
std::string FaultOf(const platform::AnswerHead& head,
                    const std::string& request_id) {
  // Each attempt has a connection of its own, so a refusal without an id can
  // only be meant for it.
  const bool refusal = head.kind == serving::AnswerKind::kNotRun ||
                       head.kind == serving::AnswerKind::kReplaced;
  const bool unnamed = refusal && head.request_id.empty();
  if (head.request_id != request_id && !unnamed) {
    return std::string(kOfAnother);
  }
  if (head.encoded) return "encoded_body";
  if (head.kind == serving::AnswerKind::kSuccess && !head.sealed) {
    return "no_seal";
  }
  return "";
}

// Whether an answer's head speaks for the backend server that was asked. That
// its body can't be used takes nothing from that.
bool IsOwnWord(const platform::AnswerHead& head, const std::string& fault) {
  return head.kind != serving::AnswerKind::kReplaced && fault != kOfAnother;
}

// Whether a connection stood and was open until the call's time ran out, or
// brought bytes.
bool IsConnected(HttpError error) {
  return error == HttpError::kTimeout || IsSpoiled(error);
}

// The status of an answer, or why there is none.
std::string OutcomeText(const HttpResult& result) {
  const auto* response = ValueOf(result);
  if (response != nullptr) return std::to_string(response->status);
  return std::string(NameIn(kHttpErrorNames, ErrorOf(result)));
}

}  // namespace

BackendCalls::BackendCalls(EventLoop& loop, std::string peer_address, Feed feed)
    : http_(loop),
      orders_(loop),
      peer_address_(std::move(peer_address)),
      feed_(std::move(feed)) {}

void BackendCalls::Start(const serving::StartAttempt& effect,
                         const HttpRequest& request) {
  const AttemptId id = effect.attempt;
  HttpCall call = platform::WorkerRequest(request, effect);
  call.on_connecting = [this, id] {
    feed_(serving::AttemptConnecting{.attempt = id});
  };
  call.on_late_connect = [this, id] {
    feed_(serving::AttemptConnected{.attempt = id});
  };
  StartCall(id, request, effect.stream, !effect.resume_after.empty(),
            /*relayed=*/false, std::move(call));
}

void BackendCalls::Relay(const serving::StartRelay& effect,
                         const HttpRequest& request) {
  HttpRequest relayed = platform::RelayedRequest(request, effect);
  RelayEnvelope envelope{
      .origin = peer_address_,
      .method = std::move(relayed.method),
      .target = std::move(relayed.target),
      .headers = {relayed.headers.begin(), relayed.headers.end()},
      .body = std::move(relayed.body)};
  HttpCall call{.address = effect.to,
                .method = "POST",
                .path = kRelayPath,
                .headers = {{"Content-Type", "application/x-protobuf"}},
                .body = EncodeRelay(std::move(envelope)),
                // The reducer ends attempts.
                .timeout = Duration::zero(),
                .connect_timeout = kRelayConnectTimeout,
                .on_head = {},
                .on_chunk = {},
                .on_done = {}};
  StartCall(effect.attempt, request, effect.stream,
            !effect.resume_after.empty(), /*relayed=*/true, std::move(call));
}

void BackendCalls::StartCall(AttemptId id, const HttpRequest& request,
                             bool stream, bool resumed, bool relayed,
                             HttpCall call) {
  Attempt& attempt = attempts_[id];
  const serving::RequestMetadata metadata = platform::ReadRequest(request);
  attempt.request_id = metadata.id;
  attempt.resumed = resumed || !metadata.last_event_id.empty();
  attempt.stream = stream;
  attempt.relayed = relayed;
  call.on_head = [this, id](const HttpResponse& head) { OnHead(id, head); };
  if (stream) {
    call.on_chunk = [this, id](const std::string& it) { OnBytes(id, it); };
  }
  call.on_done = [this, id](HttpResult it) { OnDone(id, std::move(it)); };
  attempt.call = http_.Start(std::move(call));
}

void BackendCalls::Cancel(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  http_.Cancel(it->second.call);
  attempts_.erase(it);
}

const HttpResponse* BackendCalls::AnswerOf(AttemptId attempt) const {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : &it->second.answer;
}

void BackendCalls::TellFailed(AttemptId attempt, serving::AttemptError error,
                              const std::string& detail, bool has_bytes) {
  Cancel(attempt);
  feed_(serving::AttemptFailed{.attempt = attempt,
                               .error = error,
                               .detail = detail,
                               .has_bytes = has_bytes});
}

void BackendCalls::OnHead(AttemptId attempt, const HttpResponse& head) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  it->second.answer = head;
  if (it->second.relayed) {
    if (!TakeRelayOutcome(attempt, it->second.answer)) {
      TellFailed(attempt, serving::AttemptError::kInterrupted, "no_outcome");
      return;
    }
    if (it->second.refused) return;
  }
  const platform::AnswerHead answer = platform::ReadAnswer(head);
  const std::string fault = FaultOf(answer, it->second.request_id);
  // The relay heeds what the server says of itself.
  if (!it->second.relayed && IsOwnWord(answer, fault)) TellWord(attempt, head);
  if (!fault.empty()) {
    TellFailed(attempt, serving::AttemptError::kInterrupted, fault);
  }
}

bool BackendCalls::TakeRelayOutcome(AttemptId attempt, HttpResponse& head) {
  if (head.headers.Count(kRelayOutcomeHeader) != 1) return false;
  const auto outcome = ParseRelayOutcome(head.headers.Get(kRelayOutcomeHeader),
                                         head.headers.Get(kRelayRetryHeader));
  if (!outcome) return false;
  head.headers.Remove(kRelayOutcomeHeader);
  if (outcome->refusal) attempts_.at(attempt).refused = outcome;
  return true;
}

void BackendCalls::OnRelayRefusal(AttemptId attempt, int status) {
  const RelayOutcome outcome = *attempts_.at(attempt).refused;
  attempts_.erase(attempt);
  feed_(serving::RelayRefused{
      .attempt = attempt,
      .reason = *outcome.refusal,
      .may_have_run = status == kBadGateway || status == kGatewayTimeout,
      .retry_after = outcome.retry_after});
}

void BackendCalls::TellWord(AttemptId attempt, const HttpResponse& head) {
  const platform::AnswerWord read = platform::ReadWord(head);
  if (!read.fault.empty()) {
    LogInfo("server_word_unreadable",
            {{"request", attempts_.at(attempt).request_id},
             {"attempt", std::to_string(attempt)},
             {"fault", read.fault}});
  }
  feed_(serving::ResponseHeadReceived{
      .attempt = attempt,
      .signals = read.word,
      .rate_limit_unreadable = read.limit_unknown});
}

void BackendCalls::OnBytes(AttemptId attempt, const std::string& bytes) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  it->second.splitter.Add(bytes);
  // Telling an event may end the attempt.
  while (attempts_.contains(attempt)) {
    auto event = attempts_.at(attempt).splitter.Next();
    if (!event) break;
    attempts_.at(attempt).has_event = true;
    feed_(serving::StreamEvent{.attempt = attempt,
                               .id = std::move(event->id),
                               .bytes = std::move(event->bytes)});
  }
  const auto current = attempts_.find(attempt);
  const bool is_too_long =
      current != attempts_.end() &&
      current->second.splitter.rest().size() > kMaxEventBytes;
  if (is_too_long) {
    TellFailed(attempt, serving::AttemptError::kInterrupted, "event_too_long");
  }
}

void BackendCalls::OnDone(AttemptId attempt, HttpResult result) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  auto* response = ValueOf(result);
  if (response == nullptr) {
    const HttpError error = ErrorOf(result);
    TellFailed(attempt,
               IsUnsent(error) ? serving::AttemptError::kNotSent
                               : serving::AttemptError::kInterrupted,
               std::string(NameIn(kHttpErrorNames, error)),
               /*has_bytes=*/IsSpoiled(error));
    return;
  }
  if (it->second.refused) {
    OnRelayRefusal(attempt, response->status);
    return;
  }
  if (it->second.relayed && !TakeRelayOutcome(attempt, *response)) {
    TellFailed(attempt, serving::AttemptError::kInterrupted, "no_outcome");
    return;
  }
  platform::AnswerHead head = platform::ReadAnswer(*response);
  // A relay passes on what ran, and refuses what didn't.
  if (it->second.relayed && head.kind != serving::AnswerKind::kSuccess)
    head.kind = serving::AnswerKind::kFailure;
  const bool is_stream_answer =
      it->second.stream && head.kind == serving::AnswerKind::kSuccess;
  if (is_stream_answer && !it->second.splitter.rest().empty()) {
    TellFailed(attempt, serving::AttemptError::kInterrupted,
               "unfinished_event");
    return;
  }
  // A process that ends closes its connections in good order. Only a stream
  // that goes on after its last event is complete without any.
  const bool is_empty = !it->second.has_event && !it->second.resumed;
  if (is_stream_answer && is_empty && response->ended_by_close) {
    TellFailed(attempt, serving::AttemptError::kInterrupted, "no_event");
    return;
  }
  it->second.answer = std::move(*response);
  const int status = it->second.answer.status;
  feed_(serving::AttemptAnswered{.attempt = attempt,
                                 .kind = head.kind,
                                 .status = status,
                                 .refusing_address = head.at_fault});
  // What is to be passed on of the answer has been.
  attempts_.erase(attempt);
}

void BackendCalls::Reserve(const serving::ReserveMemory& order) {
  HttpCall call = platform::ReserveOrder(order);
  call.on_done = [this, order](const HttpResult& result) {
    const auto* response = ValueOf(result);
    const bool granted = response != nullptr && platform::IsReserved(*response);
    LogInfo("reserve", {{"attempt", std::to_string(order.attempt)},
                        {"address", order.address},
                        {"ticket", order.reservation_id},
                        {"tokens", std::to_string(order.tokens)},
                        {"status", OutcomeText(result)}});
    // No answer is no refusal: the order may still be carried out.
    if (response == nullptr) return;
    feed_(serving::MemoryReservationAnswered{.attempt = order.attempt,
                                             .helper_index = order.helper_index,
                                             .granted = granted});
  };
  orders_.Start(std::move(call));
}

void BackendCalls::Release(const serving::ReleaseMemory& order) {
  HttpCall call = platform::ReleaseOrder(order);
  call.on_done = [order](const HttpResult& result) {
    LogInfo("release", {{"address", order.address},
                        {"ticket", order.reservation_id},
                        {"status", OutcomeText(result)}});
  };
  orders_.Start(std::move(call));
}

void BackendCalls::AskReport(const serving::FetchEngineReport& question) {
  HttpCall call = platform::ReportCall(question);
  call.on_done = [this, question](const HttpResult& result) {
    const auto* response = ValueOf(result);
    const auto report = response == nullptr
                            ? std::nullopt
                            : platform::ReadReport(*response, question.backend);
    if (report) {
      feed_(*report);
      return;
    }
    LogInfo("no_report",
            {{"address", question.address}, {"why", OutcomeText(result)}});
  };
  orders_.Start(std::move(call));
}

void BackendCalls::AskHealth(const serving::CheckHealth& question) {
  HttpCall call = platform::HealthCall(question);
  call.on_done = [this, question](const HttpResult& result) {
    const auto* response = ValueOf(result);
    if (response != nullptr) {
      feed_(platform::ReadHealth(*response, question.backend));
      return;
    }
    LogInfo("no_health",
            {{"address", question.address}, {"why", OutcomeText(result)}});
  };
  orders_.Start(std::move(call));
}

// Any answer will do: what counts is whether anybody listens there. The time
// to connect is shorter than that of the call, so a call that ends by its own
// time has connected.
void BackendCalls::AskLife(const serving::ProbeLiveness& question) {
  HttpCall call = platform::ReportCall(
      {.backend = question.backend, .address = question.address});
  call.connect_timeout = kLifeWithin;
  call.on_done = [this, question](const HttpResult& result) {
    auto sign = serving::ProbeResult::kInconclusive;
    if (ValueOf(result) != nullptr) {
      sign = serving::ProbeResult::kAlive;
    } else if (ErrorOf(result) == HttpError::kRefused) {
      sign = serving::ProbeResult::kRefused;
    } else if (IsConnected(ErrorOf(result))) {
      sign = serving::ProbeResult::kConnected;
    }
    feed_(serving::LivenessProbed{.backend = question.backend, .result = sign});
  };
  orders_.Start(std::move(call));
}

}  // namespace scaleshed

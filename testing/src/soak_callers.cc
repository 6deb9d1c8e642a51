#include "internal/soak_callers.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "scaleshed/testing/fleet_stand_ins.h"

namespace scaleshed::testing {

// Of the stand-ins' configuration (FleetConfiguration).
struct SoakCallers::Kind {
  const char* path;
  const char* service;
  std::string_view deadly_part = {};
  bool once = false;
  bool stream = false;
  bool reads_late = false;
  bool in_pieces = false;
};

namespace {

constexpr Duration kLookUpEvery = milliseconds(300);
constexpr int kLookUps = 4;  // at a time, at daemons that are drawn
// An address is used for so long after it was last named.
constexpr Duration kKept = seconds(3);
constexpr int kDeadlineMs = 4000;
// A daemon answers at the deadline, or a little later.
constexpr Duration kGivenUp = milliseconds(kDeadlineMs + 1500);
constexpr std::size_t kMostConnections = 300;
constexpr int kEvents = 5;  // of a stream of the stand-ins

std::string WholeStream() {
  std::string text;
  for (int i = 1; i <= kEvents; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) +
            "\n\n";
  }
  return text;
}

// The parts of a prompt, most of them shared with others.
std::string PartsOf(std::uint64_t id, std::string_view deadly_part) {
  constexpr std::uint64_t kMiddleParts = 6;
  std::string parts = "c0:40,";
  if (!deadly_part.empty()) parts += std::string(deadly_part) + ":10,";
  return parts + "a" + std::to_string(id % kMiddleParts) + ":100,e" +
         std::to_string(id) + ":860";
}

// Longer in all than the idle time of the soak's configurations, and each
// within it.
constexpr std::size_t kBodyPieces = 4;
constexpr Duration kBodyGap = milliseconds(300);
// Longer than a daemon keeps a connection that is to be closed.
constexpr Duration kReadAfter = milliseconds(1600);

// At most `n` pieces; the last one has what is left.
std::vector<std::string> Split(const std::string& text, std::size_t n) {
  const std::size_t length = text.size() / n;
  std::vector<std::string> pieces;
  for (std::size_t i = 0; i + 1 < n; ++i)
    pieces.push_back(text.substr(i * length, length));
  pieces.push_back(text.substr((n - 1) * length));
  return pieces;
}

AnswerEnd EndOf(const KeptConnection& connection, const HttpResult& result) {
  constexpr int kOk = 200;
  if (const auto* response = ValueOf(result)) {
    return response->status == kOk ? AnswerEnd::kWhole : AnswerEnd::kStatus;
  }
  if (ErrorOf(result) == HttpError::kTimeout) return AnswerEnd::kTimedOut;
  if (connection.has_answer_begun()) return AnswerEnd::kCut;
  return connection.has_sent_due() ? AnswerEnd::kClosed : AnswerEnd::kUnsent;
}

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

SoakCallers::SoakCallers(EventLoop& loop, std::uint64_t seed,
                         SoakLedger& ledger, AnswerLedger& answers,
                         std::vector<std::string> look_ups)
    : loop_(loop),
      ledger_(ledger),
      answers_(answers),
      look_ups_(std::move(look_ups)),
      random_(seed),
      http_(loop),
      timer_(loop, [this] { SendDue(); }),
      look_up_timer_(loop, [this] { LookUp(); }) {
  look_up_timer_.Every(kLookUpEvery);
}

void SoakCallers::Begin(double requests_per_second) {
  pause_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / requests_per_second));
  due_ = loop_.Now();
  SendDue();
}

void SoakCallers::LookUp() {
  const Time old = loop_.Now() - kKept;
  std::erase_if(named_, [&](const auto& it) { return it.second < old; });
  // Each names those of its own data centre.
  for (int i = 0; i < kLookUps; ++i) AskAddresses();
}

void SoakCallers::AskAddresses() {
  http_.Start({.address = look_ups_[random_() % look_ups_.size()],
               .path = "/v1/resolve?name=h&region=r&zone=dc-0",
               .timeout = seconds(1),
               .connect_timeout = milliseconds(500),
               .on_done = [this](const HttpResult& result) {
                 const auto* response = ValueOf(result);
                 if (response == nullptr) return;
                 const auto body =
                     nlohmann::json::parse(response->body, nullptr, false);
                 if (!body.is_object() || !body.contains("addresses")) return;
                 for (const auto& it : body["addresses"]) {
                   named_[it.get<std::string>()] = loop_.Now();
                 }
               }});
}

KeptConnection& SoakCallers::Connection() {
  // Callers come and go, so that new ones find daemons that are new.
  constexpr std::size_t kLeavesOneIn = 40;
  connections_.remove_if([&](const auto& it) {
    if (!it->IsFree()) return it->IsOver();
    return loop_.Now() - it->free_since() > longest_idle_ ||
           random_() % kLeavesOneIn == 0;
  });
  std::vector<KeptConnection*> free;
  for (const auto& it : connections_) {
    if (it->IsFree()) free.push_back(it.get());
  }
  // Mostly one that is open; new ones spread over all that look-ups name.
  constexpr std::size_t kNewOneIn = 3;
  const bool full = connections_.size() >= kMostConnections;
  const bool opens = random_() % kNewOneIn == 0 && !full;
  if (!free.empty() && !opens) return *free[random_() % free.size()];
  const auto to = std::next(
      named_.begin(), static_cast<std::ptrdiff_t>(random_() % named_.size()));
  connections_.push_back(std::make_unique<KeptConnection>(loop_, to->first));
  return *connections_.back();
}

// Poisson arrivals; those that are due together are sent together.
void SoakCallers::SendDue() {
  std::exponential_distribution<double> draw(
      1 / static_cast<double>(pause_.count()));
  while (due_ <= loop_.Now()) {
    if (!named_.empty()) Send();
    due_ += Duration(static_cast<Duration::rep>(draw(random_)));
  }
  timer_.Once(due_ - loop_.Now());
}

void SoakCallers::SendDeadly() {
  if (named_.empty()) return;
  Send({.path = "/chat/deadly", .service = "llm", .stream = true},
       std::string(kDeadlyBody));
}

void SoakCallers::SendDeadlyPart() {
  if (named_.empty()) return;
  Send({.path = "/chat/deadly-part",
        .service = "llm",
        .deadly_part = kDeadlyPart,
        .stream = true},
       "question " + std::to_string(last_id_));
}

void SoakCallers::Send() {
  static constexpr Kind kKinds[] = {
      {.path = "/chat/a", .service = "llm", .stream = true},
      {.path = "/chat/b", .service = "llm", .stream = true},
      {.path = "/plain/safe/a", .service = "app"},
      {.path = "/plain/unsafe/a", .service = "app", .once = true}};
  // No two are of one content, but for those that are meant to be.
  const std::string body = "question " + std::to_string(last_id_);
  if (Draw(readers_)) {
    return Send(
        {.path = "/plain/safe/large", .service = "app", .reads_late = true},
        body);
  }
  Kind kind = kKinds[random_() % std::size(kKinds)];
  kind.in_pieces = Draw(bodies_);
  Send(kind, body);
}

bool SoakCallers::Draw(const Slow& slow) {
  if (loop_.Now() >= slow.until) return false;
  const double u = std::uniform_real_distribution<double>(0, 1)(random_);
  if (u >= slow.share) return false;
  ++slow_;
  return true;
}

void SoakCallers::Ended(const std::string& id, const KeptConnection& connection,
                        const HttpResult& result) {
  const auto* response = ValueOf(result);
  answers_.Ended(loop_.Now(), id, EndOf(connection, result),
                 response == nullptr ? 0 : response->status);
}

void SoakCallers::Send(const Kind& kind, const std::string& body) {
  const std::string id = "soak-" + std::to_string(++last_id_);
  std::string bytes =
      std::string("POST ") + kind.path +
      " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
      "\r\nApi-Key: k1\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
      "\r\n";
  if (kind.stream) {
    bytes += "X-Model: m\r\nX-Token-Usage: 1000,200\r\nX-Prefix-Hash: " +
             PartsOf(last_id_, kind.deadly_part) + "\r\n";
  }
  const bool closes = kind.reads_late && last_id_ % 2 == 0;
  if (closes) bytes += "Connection: close\r\n";
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  ledger_.Sent(loop_.Now(), kind.service, id, kind.once);
  ++waiting_;
  KeptConnection& connection = Connection();
  sends_[id] = {.daemon = connection.address(), .at = loop_.Now()};
  answers_.Sent(loop_.Now(), id, connection.address(),
                loop_.Now() + milliseconds(kDeadlineMs));
  KeptRequest request{.timeout = kGivenUp};
  if (kind.reads_late) request.read_after = kReadAfter;
  if (kind.in_pieces) {
    request.gap = kBodyGap;
    request.pieces = Split(body, kBodyPieces);
    request.pieces.insert(request.pieces.begin(), bytes);
  } else {
    request.pieces = {bytes + body};
  }
  request.timeout += request.read_after + request.gap * kBodyPieces;
  connection.Ask(std::move(request),
                 [this, kind, id, &connection,
                  outcome = sent_(connection.address())](const HttpResult& it) {
                   --waiting_;
                   const auto* response = ValueOf(it);
                   constexpr int kOk = 200;
                   outcome(response != nullptr && response->status == kOk);
                   Ended(id, connection, it);
                   Check(kind, id, it);
                 });
}

void SoakCallers::Break(const std::string& id, const std::string& what) {
  broken_.push_back(id + ": " + what);
}

void SoakCallers::Check(const Kind& kind, const std::string& id,
                        const HttpResult& result) {
  const auto* response = ValueOf(result);
  constexpr int kOk = 200;
  constexpr int kFirstServerError = 500;
  if (response == nullptr) {
    if (ErrorOf(result) == HttpError::kInvalid) Break(id, "no HTTP answer");
    ++failed_;
  } else if (response->status == kOk) {
    ++answered_;
    tell_(DaemonOf(id), *response);
    const std::string seal = response->headers.Get("X-Response-Seal");
    const std::string plain = FakeWorker::BodyOf(
        seal.substr(std::string("seal-of-").size()), kind.path);
    if (response->headers.Get("X-Request-Id") != id) {
      Break(id, "the answer of " + response->headers.Get("X-Request-Id"));
    } else if (response->body != (kind.stream ? WholeStream() : plain)) {
      constexpr std::size_t kMostShown = 500;
      Break(id, "not the whole answer, " +
                    std::to_string(response->body.size()) +
                    " bytes: " + response->body.substr(0, kMostShown));
    }
  } else if (IsPromise(response->status)) {
    ++refused_;
    ledger_.PromisedNotRun(id);
  } else {
    ++failed_;
    const bool deadly = std::string_view(kind.path).starts_with("/chat/deadly");
    if (response->status < kFirstServerError && !deadly) {
      Break(id, "denied with " + std::to_string(response->status));
    }
  }
}

void SoakCallers::Tell(SoakReport& report) const {
  report.requests = last_id_;
  report.answered = answered_;
  report.refused = refused_;
  report.failed = failed_;
  report.slow = slow_;
  report.broken.insert(report.broken.end(), broken_.begin(), broken_.end());
}

}  // namespace scaleshed::testing

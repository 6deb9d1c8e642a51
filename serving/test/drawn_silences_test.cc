// One request at a time whose servers are silent, go on, fail and decline in
// drawn orders, as its daemon and its client see it.

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

constexpr int kEvents = 4;  // of a whole stream
constexpr Duration kDeadline = seconds(15);

class DrawnSilences {
 public:
  explicit DrawnSilences(unsigned seed)
      : random_(seed), route_(Draw(2) == 0 ? "stream" : "safe") {
    daemon_.Observe([this](const Effects& effects) {
      for (const Effect& it : effects) Apply(it);
    });
    daemon_.SendRequest(route_);
  }

  void Run() {
    while (!ended_ && daemon_.now() < kStart + 2 * kDeadline) Step();
    CHECK(ended_);
    CHECK(standing_.empty());
    CHECK(daemon_.state().attempts.empty());
    CHECK(daemon_.state().requests.empty());
    CHECK(runs_ <= 2);
  }

 private:
  struct Sent {
    StartAttempt start;
    int next = 1;  // event
    bool answered = false;
  };

  std::size_t Draw(std::size_t n) { return random_() % n; }

  void Apply(const Effect& effect) {
    if (const auto* sent = std::get_if<StartAttempt>(&effect)) {
      const int next =
          sent->resume_after.empty() ? 1 : std::stoi(sent->resume_after) + 1;
      standing_[sent->attempt] = {.start = *sent, .next = next};
      ++runs_;
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
      standing_.erase(cancel->attempt);
    } else if (const auto* event = std::get_if<ForwardEvent>(&effect)) {
      CHECK(event->bytes == std::to_string(++forwarded_));
    } else if (std::holds_alternative<DeliverAnswer>(effect)) {
      CHECK_FALSE(ended_);
      CHECK(forwarded_ == 0);
      ended_ = true;
    } else if (std::holds_alternative<EndStream>(effect)) {
      CHECK(forwarded_ == kEvents);
      ended_ = true;
    } else if (std::holds_alternative<AbortResponse>(effect) ||
               std::holds_alternative<Refuse>(effect)) {
      ended_ = true;
      // Those that the daemon cancelled with this end count too.
      CHECK((stood_before_ == 0 || daemon_.now() >= kStart + kDeadline));
    }
  }

  void Step() {
    stood_before_ = standing_.size();
    const std::size_t what = Draw(10);
    if (standing_.empty() || what < 5) {
      const Duration passes = milliseconds(100 + Draw(1400));
      daemon_.ConfirmStore();
      daemon_.AdvanceTime(passes);
      return;
    }
    const auto it = std::next(standing_.begin(),
                              static_cast<std::ptrdiff_t>(Draw(stood_before_)));
    const Sent sent = it->second;
    if (what < 8) {
      Progress(it->second);
      return;
    }
    // The attempt ends by itself.
    standing_.erase(it);
    --stood_before_;
    what == 8 || sent.answered ? Fail(sent) : Decline(sent);
  }

  // The server goes on.
  void Progress(Sent& sent) {
    const AttemptId attempt = sent.start.attempt;
    if (route_ == "stream" && sent.next <= kEvents) {
      const std::string n = std::to_string(sent.next++);
      sent.answered = true;
      daemon_.Feed(StreamEvent{.attempt = attempt, .id = n, .bytes = n});
      return;
    }
    standing_.erase(attempt);
    daemon_.Feed(AttemptAnswered{
        .attempt = attempt, .kind = AnswerKind::kSuccess, .status = 200});
  }

  void Fail(const Sent& sent) {
    const AttemptId attempt = sent.start.attempt;
    if (Draw(2) == 0 || sent.answered) {
      daemon_.Feed(AttemptFailed{.attempt = attempt,
                                 .error = AttemptError::kInterrupted,
                                 .detail = "cut"});
    } else {
      daemon_.Feed(AttemptAnswered{
          .attempt = attempt, .kind = AnswerKind::kFailure, .status = 500});
    }
  }

  void Decline(const Sent& sent) {
    --runs_;
    daemon_.Feed(AttemptAnswered{.attempt = sent.start.attempt,
                                 .kind = AnswerKind::kNotRun,
                                 .status = 503});
  }

  std::mt19937 random_;
  std::string route_;
  Daemon daemon_;
  std::map<AttemptId, Sent> standing_;  // neither cancelled nor ended
  std::size_t stood_before_ = 0;
  int runs_ = 0;  // that no server declined
  int forwarded_ = 0;
  bool ended_ = false;
};

// Guards against answers that are cut, doubled or out of order, attempts that
// nobody ends, and too many runs, where servers fall silent and go on.
TEST_CASE("Drawn silences end no request whose attempt stands") {
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    INFO("seed " << seed);
    DrawnSilences(seed).Run();
  }
}

}  // namespace
}  // namespace scaleshed::serving::test

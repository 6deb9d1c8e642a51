// Draws sequences of requests and failures, and checks the promises as
// invariants after every event. RapidCheck shrinks a sequence that breaks one.
// RC_PARAMS="seed=S max_success=N" chooses other sequences (scripts/soak).

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <ostream>
#include <string>
#include <vector>

#include "scaleshed/testing/world.h"

namespace scaleshed::testing {

// What can be drawn. Everything else about a step follows from its numbers.
enum class Drawn {
  kRun,
  kPrompt,
  kSignOff,
  kFault,
  kLink,
  kPlatform,
  kAccept,
  kPeer,
  kDaemon,
  kHangUp,
};
inline constexpr NameTable<Drawn, 10> kDrawnNames{{
    {Drawn::kRun, "run"},
    {Drawn::kPrompt, "prompt"},
    {Drawn::kSignOff, "sign_off"},
    {Drawn::kFault, "fault"},
    {Drawn::kLink, "link"},
    {Drawn::kPlatform, "platform"},
    {Drawn::kAccept, "accept"},
    {Drawn::kPeer, "peer"},
    {Drawn::kDaemon, "daemon"},
    {Drawn::kHangUp, "hang_up"},
}};

struct DrawnStep {
  Drawn kind = Drawn::kRun;
  int first = 0;
  int second = 0;
};

std::ostream& operator<<(std::ostream& out, const DrawnStep& step) {
  return out << NameIn(kDrawnNames, step.kind) << "(" << step.first << ", "
             << step.second << ")";
}

namespace {

constexpr int kMostNumber = 1000;

rc::Gen<DrawnStep> AnyStep() {
  const auto kind = rc::gen::weightedElement<Drawn>({
      {8, Drawn::kRun},
      {8, Drawn::kPrompt},
      {6, Drawn::kSignOff},
      {6, Drawn::kFault},
      {4, Drawn::kLink},
      {1, Drawn::kPlatform},
      {1, Drawn::kAccept},
      {2, Drawn::kPeer},
      {2, Drawn::kDaemon},
      {1, Drawn::kHangUp},
  });
  const auto number = rc::gen::inRange(0, kMostNumber);
  return rc::gen::build<DrawnStep>(rc::gen::set(&DrawnStep::kind, kind),
                                   rc::gen::set(&DrawnStep::first, number),
                                   rc::gen::set(&DrawnStep::second, number));
}

template <typename T>
const T& Pick(const std::vector<T>& values, int number) {
  return values[static_cast<std::size_t>(number) % values.size()];
}

// Carries out drawn steps on a world.
class Player {
 public:
  Player()
      : world_({.engines = {{.name = "e1"}, {.name = "e2"}, {.name = "e3"}},
                .services = {"s1", "s2"},
                .peers = {"b"},
                .accounts = {}}) {}

  void Play(const DrawnStep& step) {
    switch (step.kind) {
      case Drawn::kRun:
        world_.Run(milliseconds(1 + step.first * step.first / 500));
        return;
      case Drawn::kPrompt:
        SendPrompt(step);
        return;
      case Drawn::kSignOff:
        SendSignOff(step);
        return;
      case Drawn::kFault:
        Fault(step);
        return;
      case Drawn::kLink:
        Link(step);
        return;
      case Drawn::kPlatform:
        world_.Apply(PlatformStep{
            .mode = Pick<PlatformMode>({PlatformMode::kUp, PlatformMode::kDown,
                                        PlatformMode::kLoseAnswers},
                                       step.first)});
        return;
      case Drawn::kAccept:
        world_.Apply(
            AcceptStep{.revision = static_cast<std::uint64_t>(step.first % 8)});
        return;
      case Drawn::kPeer:
        Peer(step);
        return;
      case Drawn::kDaemon:
        Daemon(step);
        return;
      case Drawn::kHangUp:
        if (!sent_.empty()) {
          world_.Apply(HangUpStep{.request = Pick(sent_, step.first)});
        }
        return;
    }
  }

  std::vector<std::string> Finish() {
    world_.Settle();
    return world_.violations();
  }

 private:
  void SendPrompt(const DrawnStep& step) {
    const std::vector<std::int64_t> lengths{500,     1500,    4000,   20'000,
                                            100'000, 350'000, 900'000};
    const std::vector<int> limits{300, 2000, 20'000, 120'000};
    SendStep send{.name = "prompt" + std::to_string(sent_.size()),
                  .prompt_tokens = Pick(lengths, step.first),
                  .max_tokens = 1 + step.second % 60,
                  .time_limit = milliseconds(Pick(limits, step.second))};
    sent_.push_back(send.name);
    world_.Send(send);
  }

  void SendSignOff(const DrawnStep& step) {
    const std::vector<std::string> homes{"self", "self", "self", "old", "b"};
    const std::vector<int> limits{200, 3000, 20'000};
    SendStep send{
        .name = "sign-off" + std::to_string(sent_.size()),
        .service = "s1",
        .time_limit = milliseconds(Pick(limits, step.second)),
        .id = Pick(homes, step.first) + "/" + std::to_string(step.second % 4)};
    sent_.push_back(send.name);
    world_.Send(send);
  }

  void Fault(const DrawnStep& step) {
    const std::vector<std::string> targets{"e1", "e2", "e3", "s1", "s2"};
    const std::vector<FaultKind> kinds{FaultKind::kKill,   FaultKind::kStart,
                                       FaultKind::kFreeze, FaultKind::kThaw,
                                       FaultKind::kCut,    FaultKind::kLeave};
    const std::string& target = Pick(targets, step.first);
    const FaultKind kind = Pick(kinds, step.second);
    const bool is_service = target.front() == 's';
    if (is_service && kind == FaultKind::kCut) return;
    // Only what is dead can be started.
    if (kind == FaultKind::kStart) {
      world_.Apply(FaultStep{.kind = FaultKind::kKill, .target = target});
    }
    world_.Apply(FaultStep{.kind = kind, .target = target});
  }

  void Link(const DrawnStep& step) {
    const std::vector<std::string> targets{"e1", "e2", "e3", "s1", "s2"};
    world_.Apply(
        LinkStep{.target = Pick(targets, step.first),
                 .lose_frames = step.second % 3,
                 .lose_cancels = step.second / 3 % 3,
                 .lose_answers = step.second / 9 % 2,
                 .double_frames = step.second / 18 % 2 == 1,
                 .cross_frames = step.second / 36 % 2 == 1,
                 .delay_frames = milliseconds(step.second / 72 % 4 * 700)});
  }

  void Peer(const DrawnStep& step) {
    const std::vector<PeerSays> says{PeerSays::kAlive, PeerSays::kLeaving,
                                     PeerSays::kRestart, PeerSays::kSilent,
                                     PeerSays::kForward};
    if (world_.state() == nullptr) return;
    world_.Apply(PeerStep{.peer = "b",
                          .says = Pick(says, step.first),
                          .id = "self/" + std::to_string(step.second % 4),
                          .service = "s1"});
  }

  void Daemon(const DrawnStep& step) {
    const bool dead = world_.state() == nullptr || world_.exited();
    const std::vector<FaultKind> kinds{FaultKind::kFreeze, FaultKind::kThaw,
                                       FaultKind::kKill, FaultKind::kStop};
    const FaultKind kind = dead ? FaultKind::kStart : Pick(kinds, step.first);
    world_.Apply(FaultStep{.kind = kind, .target = "daemon"});
  }

  World world_;
  std::vector<std::string> sent_;
};

TEST_CASE("Promises hold under random failures") {
  // Without other wishes every run draws the same sequences.
  setenv("RC_PARAMS", "seed=20261202 max_success=600 max_size=60",
         /*overwrite=*/0);
  const bool held = rc::check("promises hold", [] {
    const auto steps = *rc::gen::container<std::vector<DrawnStep>>(AnyStep());
    Player player;
    for (const DrawnStep& it : steps) player.Play(it);
    const std::vector<std::string> violations = player.Finish();
    if (!violations.empty()) RC_FAIL(violations.front());
  });
  CHECK(held);
}

// Seed 7000025, shrunk: the refusal of an engine to a daemon that was killed
// was taken for an answer to its successor's first call, which then ran twice.
TEST_CASE("An answer to a dead daemon doesn't reach its successor") {
  Player player;
  for (const DrawnStep& it : std::vector<DrawnStep>{{Drawn::kFault, 0, 0},
                                                    {Drawn::kPrompt, 0, 0},
                                                    {Drawn::kDaemon, 730, 0},
                                                    {Drawn::kDaemon, 0, 0},
                                                    {Drawn::kRun, 0, 0},
                                                    {Drawn::kPeer, 459, 0}}) {
    player.Play(it);
  }
  const std::vector<std::string> violations = player.Finish();
  INFO((violations.empty() ? "" : violations.front()));
  CHECK(violations.empty());
}

}  // namespace
}  // namespace scaleshed::testing

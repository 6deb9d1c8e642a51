#include "internal/configuration_prober.h"

#include <algorithm>
#include <utility>

namespace scaleshed::testing {
namespace {

constexpr int kDeadlineMs = 1000;
constexpr Duration kGivenUp = milliseconds(kDeadlineMs + 500);

}  // namespace

ConfigurationProber::ConfigurationProber(EventLoop& loop,
                                         std::vector<std::string> daemons,
                                         ConfigurationLedger& ledger,
                                         SoakLedger& requests)
    : loop_(loop),
      daemons_(std::move(daemons)),
      ledger_(ledger),
      requests_(requests),
      http_(loop),
      timer_(loop, [this] { AskAll(); }) {}

void ConfigurationProber::AskAll() {
  const int newest = ledger_.newest();
  // Every second round under a key that was dropped lately, or longer ago.
  constexpr int kOldest = 4;
  ++round_;
  const bool dropped = round_ % 2 == 0;
  const int version = dropped ? newest - 1 - round_ / 2 % kOldest : newest;
  for (const std::string& it : daemons_) Ask(it, version);
}

void ConfigurationProber::Ask(const std::string& daemon, int version) {
  const std::string id = "probe-" + std::to_string(++last_id_);
  const Time sent = loop_.Now();
  requests_.Sent(sent, "app", id, /*once=*/true);
  tell_(id, daemon);
  ++waiting_;
  http_.Start({.address = daemon,
               .method = "POST",
               .path = "/plain/unsafe/probe",
               .headers = {{"Host", "h"},
                           {"X-Request-Id", id},
                           {"X-Deadline-Ms", std::to_string(kDeadlineMs)},
                           {"Api-Key", ConfigurationLedger::KeyOf(version)}},
               .body = id,
               .timeout = kGivenUp,
               .on_done = [this, sent, daemon, version](HttpResult result) {
                 --waiting_;
                 const auto* answer = ValueOf(result);
                 if (answer == nullptr) return;
                 ledger_.Answered(sent, daemon, version, answer->status);
               }});
}

}  // namespace scaleshed::testing

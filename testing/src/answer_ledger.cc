#include "scaleshed/testing/answer_ledger.h"

#include <algorithm>

namespace scaleshed::testing {
namespace {

constexpr int kBadGateway = 502;

bool Overlaps(const std::pair<Time, Time>& span, Time from, Time until) {
  return span.first <= until && from <= span.second;
}

std::string MillisText(Duration it) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(it).count()) +
         " ms";
}

}  // namespace

void AnswerLedger::Sent(Time now, const std::string& id,
                        const std::string& daemon, Time deadline) {
  requests_[id] = {.sent = now, .deadline = deadline, .daemon = daemon};
}

void AnswerLedger::Taken(Time now, const std::string& id,
                         const std::string& server, const std::string& sender) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  it->second.taken = now;
  it->second.server = server;
  it->second.senders.insert(sender);
}

void AnswerLedger::Ended(Time now, const std::string& id, AnswerEnd end,
                         int status) {
  const auto found = requests_.extract(id);
  if (found.empty()) return;
  const Request& request = found.mapped();
  const bool is_excused = IsDisturbed(request.daemon, request.sent - kGrace);
  if (is_excused) return;
  const std::string name(NameIn(kAnswerEndNames, end));
  if (end == AnswerEnd::kClosed && !MayHaveCrossed(request, now))
    Break(id, request, now, name);
  const bool is_taken = !request.server.empty();
  if (!is_taken || IsSenderDisturbed(request) ||
      AreServersDisturbed(request.sent, now))
    return;
  ++checked_;
  if (now >= request.deadline) return;
  if (end == AnswerEnd::kCut) Break(id, request, now, name);
  if (end == AnswerEnd::kStatus && status == kBadGateway)
    Break(id, request, now, std::to_string(status));
}

void AnswerLedger::DaemonDisturbed(Time now, const std::string& daemon) {
  disturbed_[daemon] = now;
}

void AnswerLedger::NotLooking(Time from, Time until) {
  if (until - from >= kLookGap) look_gaps_.emplace_back(from, until);
}

void AnswerLedger::ServersDisturbed(Time from, Time until) {
  server_faults_.emplace_back(from, until);
}

bool AnswerLedger::IsDisturbed(const std::string& daemon, Time since) const {
  const auto it = disturbed_.find(daemon);
  return it != disturbed_.end() && it->second >= since;
}

bool AnswerLedger::AnyIsDisturbed(Time since) const {
  return std::any_of(disturbed_.begin(), disturbed_.end(),
                     [&](const auto& it) { return it.second >= since; });
}

bool AnswerLedger::IsSenderDisturbed(const Request& request) const {
  const Time since = request.sent - kGrace;
  return std::any_of(request.senders.begin(), request.senders.end(),
                     [&](const std::string& it) {
                       return it.empty() ? AnyIsDisturbed(since)
                                         : IsDisturbed(it, since);
                     });
}

bool AnswerLedger::AreServersDisturbed(Time from, Time until) const {
  return std::any_of(server_faults_.begin(), server_faults_.end(),
                     [&](const auto& it) { return Overlaps(it, from, until); });
}

bool AnswerLedger::MayHaveCrossed(const Request& request, Time now) const {
  const bool is_taken = !request.server.empty();
  return !is_taken &&
         std::any_of(look_gaps_.begin(), look_gaps_.end(), [&](const auto& it) {
           return Overlaps(it, request.sent, now);
         });
}

void AnswerLedger::Break(const std::string& id, const Request& request,
                         Time now, const std::string& end) {
  std::string text = "answer: " + id + " at " + request.daemon + " ended (" +
                     end + ") " + MillisText(now - request.sent) +
                     " after it was sent";
  if (!request.server.empty()) {
    text += ", and " + MillisText(now - request.taken) + " after " +
            request.server + " took it";
  }
  broken_.push_back(text);
}

}  // namespace scaleshed::testing

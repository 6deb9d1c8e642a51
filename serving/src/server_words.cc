#include <cstdio>

#include "internal/steps.h"

namespace scaleshed::serving::internal {
namespace {

std::string RateText(double per_second) {
  char buf[32];
  (void)std::snprintf(buf, sizeof(buf), "%.3g", per_second);
  return buf;
}

void LogLimit(State& state, const Request& request, const std::string& what,
              double per_second, const std::string& before) {
  Log(state, "server_limit",
      {{"backend", request.backend_name},
       {"life", std::to_string(request.backend)},
       {"what", what},
       {"per_second", RateText(per_second)},
       {"before", before},
       {"request", request.facts.id},
       {"sent_ms_ago", Millis(state.now - request.sent_at)}});
}

void TakeLimit(State& state, const Request& request, const ServerWord& word) {
  const auto known = state.limits.find(request.backend);
  const bool is_new = known == state.limits.end();
  const double before = is_new ? 0 : known->second.per_second;
  if (word.limit) {
    const bool changed = is_new || before != *word.limit;
    state.limits[request.backend] = {.per_second = *word.limit,
                                     .heard = state.now};
    if (!changed) return;
    LogLimit(state, request, is_new ? "named" : "changed", *word.limit,
             is_new ? "" : RateText(before));
    return;
  }
  // Of a request that was sent before the limit was heard, the answer may have
  // been begun before it was named.
  if (is_new || request.sent_at <= known->second.heard) return;
  LogLimit(state, request, "ended", before, RateText(before));
  state.limits.erase(known);
}

}  // namespace

void OnAnswerBegun(State& state, const AnswerBegun& event) {
  const auto found = state.attempts.find(event.attempt);
  if (found == state.attempts.end()) return;
  TakeLimit(state, state.requests.at(found->second), event.word);
}

}  // namespace scaleshed::serving::internal

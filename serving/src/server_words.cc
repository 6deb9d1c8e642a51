#include <cstdio>

#include "internal/steps.h"

namespace scaleshed::serving::internal {
namespace {

std::string RateText(std::optional<double> per_second) {
  if (!per_second) return "";
  char buf[32];
  (void)std::snprintf(buf, sizeof(buf), "%.3g", *per_second);
  return buf;
}

// Nothing: it is known to name none.
std::optional<double> KnownRate(const State& state, BackendId life) {
  const auto it = state.limits.find(life);
  return it == state.limits.end() ? std::nullopt : it->second.named.per_second;
}

void TakeLimitWord(State& state, const Request& request,
                   std::optional<double> named) {
  const auto before = KnownRate(state, request.backend);
  if (!before && !named) return;
  // Of a request that was sent before the limit was heard, the answer may have
  // been begun before it was named.
  const bool older =
      !named && request.sent_at <= state.limits.at(request.backend).named.heard;
  if (older) return;
  TakeLimit(
      state,
      {.backend = request.backend, .per_second = named, .heard = state.now},
      /*own=*/true);
  if (before == named) return;
  const std::string what = !before ? "named" : !named ? "ended" : "changed";
  Log(state, "server_limit",
      {{"backend", request.backend_name},
       {"life", std::to_string(request.backend)},
       {"what", what},
       {"per_second", RateText(named)},
       {"before", RateText(before)},
       {"request", request.facts.id},
       {"sent_ms_ago", Millis(state.now - request.sent_at)}});
}

void TakeLeaving(State& state, const Request& request) {
  if (!state.leaving.try_emplace(request.backend, state.now).second) return;
  Log(state, "server_leaving",
      {{"backend", request.backend_name},
       {"life", std::to_string(request.backend)},
       {"request", request.facts.id}});
}

void TakeRest(State& state, const Request& request, Duration rest) {
  Time& until = state.rests[request.backend];
  const bool is_new = until <= state.now;
  until = std::max(until, state.now + rest);
  Log(state, "server_rest",
      {{"backend", request.backend_name},
       {"life", std::to_string(request.backend)},
       {"what", is_new ? "asked" : "renewed"},
       {"for_ms", Millis(until - state.now)},
       {"request", request.facts.id}});
}

}  // namespace

void OnAnswerBegun(State& state, const AnswerBegun& event) {
  const auto found = state.attempts.find(event.attempt);
  if (found == state.attempts.end()) return;
  const Request& request = state.requests.at(found->second);
  const ServerWord& word = event.word;
  if (word.limit || !event.limit_unknown) {
    TakeLimitWord(state, request, word.limit);
  }
  if (word.leaving) TakeLeaving(state, request);
  if (word.rest > Duration::zero()) TakeRest(state, request, word.rest);
}

}  // namespace scaleshed::serving::internal

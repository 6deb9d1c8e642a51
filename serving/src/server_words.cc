#include <algorithm>
#include <cstdio>

#include "internal/steps.h"

namespace scaleshed::serving::internal {
namespace {

// That a server leaves is told with whole snapshots for so long.
constexpr Duration kTellFor = seconds(10);
// Once its entry is gone, which may have lapsed only.
constexpr Duration kForgetAfter = seconds(60);
// Others prefer other servers for so long to one that wants rest of this
// daemon.
constexpr Duration kLongestAvoided = seconds(1);

std::string RateText(std::optional<double> per_second) {
  if (!per_second) return "";
  char buf[32];
  (void)std::snprintf(buf, sizeof(buf), "%.3g", *per_second);
  return buf;
}

void TakeLimitWord(State& state, const Request& request,
                   std::optional<double> named) {
  const auto before = LimitOf(state, request.backend);
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
       {"life", ContentText(request.backend)},
       {"what", what},
       {"per_second", RateText(named)},
       {"before", RateText(before)},
       {"request", request.facts.id},
       {"sent_ms_ago", Millis(state.now - request.sent_at)}});
}

void TakeRest(State& state, const Request& request, Duration rest) {
  Time& until = state.rests[request.backend];
  const bool is_new = until <= state.now;
  until = std::max(until, state.now + rest);
  Log(state, "server_rest",
      {{"backend", request.backend_name},
       {"life", ContentText(request.backend)},
       {"what", is_new ? "asked" : "renewed"},
       {"for_ms", Millis(until - state.now)},
       {"request", request.facts.id}});
  Backend* backend = FindBackend(state, request.backend);
  if (backend == nullptr) return;
  AvoidResting(state, *backend, std::min(rest, kLongestAvoided));
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
  if (word.leaving) {
    TakeLeaving(state, request.backend, request.facts.id, /*own=*/true);
  }
  if (word.rest > Duration::zero()) TakeRest(state, request, word.rest);
}

void TakeLeaving(State& state, BackendId life, const std::string& request,
                 bool own) {
  const auto [known, is_new] = state.leaving.try_emplace(
      life, KnownLeaving{.heard = state.now, .news = own});
  if (!is_new) return;
  state.changed = true;
  const Backend* backend = FindBackend(state, life);
  Log(state, "server_leaving",
      {{"backend", backend == nullptr ? "" : backend->server.id},
       {"life", ContentText(life)},
       {"heard_of", own ? "itself" : "peer"},
       {"request", request}});
  NoteGone(state, life, own ? "its answer" : "a daemon that it answered");
}

bool IsResting(const State& state, BackendId life) {
  const auto it = state.rests.find(life);
  return it != state.rests.end() && it->second > state.now;
}

std::set<BackendId> RestingServers(const State& state) {
  std::set<BackendId> resting;
  for (const auto& [life, until] : state.rests) {
    if (until > state.now) resting.insert(life);
  }
  return resting;
}

bool RefusedForRest(State& state, Request& request,
                    const std::vector<const Backend*>& open) {
  Time first = Time::max();
  for (const Backend* it : open) {
    if (!IsResting(state, it->id)) return false;
    first = std::min(first, state.rests.at(it->id));
  }
  if (open.empty()) return false;
  Log(state, "all_rest",
      {{"request", request.facts.id},
       {"service", request.service},
       {"servers", std::to_string(open.size())},
       {"left_ms", Millis(first - state.now)}});
  RefuseRequest(state, request, Refusal::kResting, first - state.now);
  return true;
}

void ForgetRests(State& state) {
  std::erase_if(state.rests, [&](const auto& it) {
    if (it.second > state.now) return false;
    const Backend* backend = FindBackend(state, it.first);
    Log(state, "server_rest",
        {{"backend", backend == nullptr ? "" : backend->server.id},
         {"life", ContentText(it.first)},
         {"what", "over"}});
    return true;
  });
}

std::vector<BackendId> LeavingToTell(State& state, bool news) {
  std::vector<BackendId> leaving;
  for (auto& [life, it] : state.leaving) {
    const bool tells = state.now - it.heard < kTellFor;
    if (news ? it.news : tells) leaving.push_back(life);
    if (news) it.news = false;
  }
  return leaving;
}

void ForgetLeaving(State& state) {
  std::erase_if(state.leaving, [&](const auto& it) {
    return state.now - it.second.heard > kForgetAfter &&
           FindBackend(state, it.first) == nullptr;
  });
}

}  // namespace scaleshed::serving::internal

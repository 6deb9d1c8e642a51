#include "scaleshed/testing/engine_model.h"

#include <algorithm>

#include "scaleshed/wire/caller_json.h"

namespace scaleshed::testing {
namespace {

constexpr double kGroupOverhead = 1.1;
constexpr std::size_t kMostCacheEvents = 256;
constexpr std::size_t kMostSnapshots = 64;
constexpr Duration kRefusedRetry = milliseconds(50);

EngineModel::Key KeyOf(const Incarnation& holder, AttemptId attempt) {
  return {ToString(holder), attempt};
}

}  // namespace

std::string EngineModel::AnswerToken(const std::string& prompt,
                                     const std::vector<std::uint64_t>& prefixes,
                                     std::int64_t index) {
  const std::uint64_t seed = !prompt.empty()     ? HashBytes(prompt)
                             : !prefixes.empty() ? prefixes.back()
                                                 : 0;
  const std::uint64_t hash = HashBytes(std::to_string(index), seed);
  return " " + ChecksumText(hash & 0xffffff);
}

std::string EngineModel::Answer(const std::string& prompt,
                                std::int64_t tokens) {
  std::string answer;
  for (std::int64_t it = 0; it < tokens; ++it) {
    answer += AnswerToken(prompt, {}, it);
  }
  return answer;
}

Duration EngineModel::PrefillOf(const EngineStreamRequest& request,
                                std::int64_t cached) const {
  const Duration alone = PrefillTime(
      options_.cost, request.call.prompt_tokens + request.offset, cached);
  if (request.group_size == 1) return alone;
  return Duration(static_cast<std::int64_t>(static_cast<double>(alone.count()) *
                                            kGroupOverhead /
                                            request.group_size));
}

Duration EngineModel::ExpectedLife(const EngineStreamRequest& request) const {
  return PrefillOf(request, 0) +
         DecodeTime(options_.cost, request.call.max_tokens);
}

std::int64_t EngineModel::LiveStreamTokens() const {
  std::int64_t tokens = 0;
  for (const auto& [key, stream] : streams_) tokens += stream.tokens;
  return tokens;
}

std::int64_t EngineModel::HeldTokens() const {
  std::int64_t tokens = 0;
  for (const auto& [key, hold] : holds_) {
    if (hold.granted) tokens += hold.tokens;
  }
  return tokens;
}

std::int64_t EngineModel::UsedTokens() const {
  return LiveStreamTokens() + HeldTokens();
}

std::optional<EngineRefusal> EngineModel::CheckRoom(
    const EngineStreamRequest& request, std::int64_t tokens, Time now) const {
  if (leaving_) {
    return EngineRefusal{.error = AttemptError::kLeaving, .message = "leaving"};
  }
  if (tokens > options_.memory_tokens) {
    return EngineRefusal{.error = AttemptError::kRejected,
                         .message = "larger than this engine's memory"};
  }
  if (UsedTokens() + tokens > options_.memory_tokens) {
    return EngineRefusal{.error = AttemptError::kRefused,
                         .retry_after = kRefusedRetry,
                         .message = "no memory"};
  }
  // Memory that is draining for a hold goes only to what ends before the rest
  // of it is there.
  Duration drained{};
  bool pending = false;
  for (const auto& [key, hold] : holds_) pending = pending || !hold.granted;
  if (!pending) return std::nullopt;
  for (const auto& [key, stream] : streams_) {
    const auto left = stream.request.call.max_tokens - stream.offset;
    drained = std::max(drained,
                       stream.prefill_left + DecodeTime(options_.cost, left));
  }
  (void)now;
  if (ExpectedLife(request) <= drained) return std::nullopt;
  return EngineRefusal{.error = AttemptError::kRefused,
                       .retry_after = kRefusedRetry,
                       .message = "draining for a hold"};
}

EngineModel::StartResult EngineModel::Start(const EngineStreamRequest& request,
                                            Time now) {
  now_ = std::max(now_, now);
  const Key key = KeyOf(request.holder, request.attempt);
  if (streams_.contains(key)) {
    return EngineRefusal{.error = AttemptError::kRejected,
                         .message = "this attempt has already started"};
  }
  const std::int64_t whole =
      request.call.prompt_tokens + request.call.max_tokens;
  std::int64_t tokens = (whole + request.group_size - 1) / request.group_size;
  const auto hold = holds_.find(KeyOf(request.holder, request.hold));
  if (request.hold != 0 && (hold == holds_.end() || !hold->second.granted)) {
    return EngineRefusal{.error = AttemptError::kRefused,
                         .message = "the hold has expired"};
  }
  if (request.hold != 0) {
    tokens = hold->second.tokens;
    holds_.erase(hold);
  } else if (auto refusal = CheckRoom(request, tokens, now)) {
    return *refusal;
  }
  ++started_;
  const std::int64_t cached =
      request.group_size == 1 ? CachedTokens(request.call.prefixes) : 0;
  streams_[key] = Stream{.request = request,
                         .tokens = tokens,
                         .prefill_left = PrefillOf(request, cached),
                         .order = ++next_order_,
                         .offset = request.offset,
                         .checksum = request.checksum,
                         .deadline = now + request.time_left};
  if (request.group_size == 1) Cache(request.call.prefixes);
  if (!step_end_) BeginStep(now);
  return Started{};
}

HoldState EngineModel::Hold(const EngineHoldRequest& request, Time now) {
  now_ = std::max(now_, now);
  const Key key = KeyOf(request.holder, request.hold);
  const auto known = holds_.find(key);
  if (known != holds_.end()) {
    known->second.expires = now + request.valid_for;
    GrantHolds();
    return known->second.granted ? HoldState::kGranted : HoldState::kPending;
  }
  // A hold that has become a stream is asked for again only by a late message.
  if (streams_.contains(key) || leaving_) return HoldState::kRefused;
  if (request.tokens > options_.memory_tokens) return HoldState::kRefused;
  HoldEntry& hold = holds_[key];
  hold = HoldEntry{.tokens = request.tokens,
                   .granted = false,
                   .order = ++next_order_,
                   .expires = now + request.valid_for};
  GrantHolds();
  return hold.granted ? HoldState::kGranted : HoldState::kPending;
}

void EngineModel::GrantHolds() {
  std::vector<HoldEntry*> pending;
  for (auto& [key, hold] : holds_) {
    if (!hold.granted) pending.push_back(&hold);
  }
  std::sort(pending.begin(), pending.end(),
            [](const auto* a, const auto* b) { return a->order < b->order; });
  for (HoldEntry* it : pending) {
    // In order: a small hold must not starve a large one before it.
    if (UsedTokens() + it->tokens > options_.memory_tokens) return;
    it->granted = true;
  }
}

bool EngineModel::Cancel(const Key& key) {
  streams_.erase(key);
  holds_.erase(key);
  GrantHolds();
  return true;
}

void EngineModel::Disconnect(const Key& key, Time now) {
  const auto it = streams_.find(key);
  if (it == streams_.end()) return;
  it->second.connected = false;
  it->second.disconnected = now;
}

bool EngineModel::Resume(const Key& key, std::int64_t offset,
                         std::vector<Output>& out) {
  const auto it = streams_.find(key);
  if (it == streams_.end()) return false;
  Stream& stream = it->second;
  stream.connected = true;
  // Everything is generated again from where this engine began, as the checksum
  // is chained.
  std::uint64_t checksum = stream.request.checksum;
  for (std::int64_t n = stream.request.offset; n < stream.offset; ++n) {
    const std::string text =
        AnswerToken(stream.request.prompt, stream.request.call.prefixes, n);
    checksum = ChainChecksum(checksum, text);
    if (n < offset) continue;
    out.push_back({key, FrameLine{.attempt = key.second,
                                  .offset = n,
                                  .text = text,
                                  .checksum = checksum}});
  }
  return true;
}

void EngineModel::BeginStep(Time now) {
  prefilling_.reset();
  decoding_.clear();
  const Stream* first = nullptr;
  for (const auto& [key, stream] : streams_) {
    if (stream.prefill_left > Duration::zero()) {
      const auto rank = [](const Stream& it) {
        return std::pair(it.request.priority, it.order);
      };
      if (first == nullptr || rank(stream) < rank(*first)) {
        first = &stream;
        prefilling_ = key;
      }
    } else if (stream.request.rank == 0) {
      decoding_.push_back(key);
    }
  }
  if (!prefilling_ && decoding_.empty()) {
    step_end_.reset();
    return;
  }
  Duration length{};
  if (prefilling_) {
    chunk_ = std::min(first->prefill_left, options_.prefill_chunk);
    length += chunk_;
  }
  if (!decoding_.empty()) {
    // Decoding is bound by memory and rides along with the prefill, which is
    // bound by arithmetic; each stream adds a little.
    length = std::max(length, options_.decode_step) +
             options_.decode_per_stream * static_cast<int>(decoding_.size());
  }
  step_end_ = now + length;
}

void EngineModel::Emit(const Key& key, Stream& stream,
                       std::vector<Output>& out) {
  const std::string text = AnswerToken(
      stream.request.prompt, stream.request.call.prefixes, stream.offset);
  stream.checksum = ChainChecksum(stream.checksum, text);
  if (stream.connected) {
    out.push_back({key, FrameLine{.attempt = key.second,
                                  .offset = stream.offset,
                                  .text = text,
                                  .checksum = stream.checksum}});
  }
  ++stream.offset;
}

void EngineModel::EndStep(std::vector<Output>& out) {
  if (prefilling_) {
    const auto it = streams_.find(*prefilling_);
    if (it != streams_.end()) {
      Stream& stream = it->second;
      stream.prefill_left -= chunk_;
      const bool read = stream.prefill_left <= Duration::zero();
      if (read && stream.request.rank == 0) decoding_.push_back(*prefilling_);
    }
  }
  for (const Key& key : decoding_) {
    const auto it = streams_.find(key);
    if (it == streams_.end()) continue;
    Stream& stream = it->second;
    if (stream.offset < stream.request.call.max_tokens) Emit(key, stream, out);
    if (stream.offset < stream.request.call.max_tokens) continue;
    // An unread end is kept for a resume until the linger has passed.
    if (!stream.connected) continue;
    out.push_back({key, EndLine{.attempt = key.second,
                                .tokens = stream.offset,
                                .checksum = stream.checksum}});
    streams_.erase(it);
  }
  GrantHolds();
}

void EngineModel::Expire(Time now, std::vector<Output>& out) {
  for (auto it = streams_.begin(); it != streams_.end();) {
    const Stream& stream = it->second;
    const bool late = now >= stream.deadline;
    const bool left =
        !stream.connected && now - stream.disconnected >= options_.linger;
    if (late && stream.connected) {
      out.push_back({it->first, ErrorLine{.attempt = it->first.second,
                                          .error = AttemptError::kTimeLimit}});
    }
    it = late || left ? streams_.erase(it) : std::next(it);
  }
  std::erase_if(holds_,
                [&](const auto& it) { return now >= it.second.expires; });
  GrantHolds();
}

std::vector<EngineModel::Output> EngineModel::Advance(Time now) {
  std::vector<Output> out;
  while (step_end_ && *step_end_ <= now) {
    const Time end = *step_end_;
    EndStep(out);
    Expire(end, out);
    BeginStep(end);
  }
  now_ = std::max(now_, now);
  Expire(now_, out);
  if (!step_end_) BeginStep(now_);
  return out;
}

std::optional<Time> EngineModel::NextEvent() const {
  std::optional<Time> next = step_end_;
  const auto consider = [&](Time it) {
    next = next ? std::min(*next, it) : it;
  };
  for (const auto& [key, stream] : streams_) {
    consider(stream.deadline);
    if (!stream.connected) consider(stream.disconnected + options_.linger);
  }
  for (const auto& [key, hold] : holds_) consider(hold.expires);
  return next;
}

void EngineModel::NoteCacheEvent(std::uint64_t hash) {
  ++cache_sequence_;
  cache_events_.push_back(hash);
  if (cache_events_.size() > kMostCacheEvents) cache_events_.pop_front();
}

std::int64_t EngineModel::CachedTokens(
    const std::vector<std::uint64_t>& prefixes) {
  for (std::size_t it = prefixes.size(); it > 0; --it) {
    const auto found = cache_index_.find(prefixes[it - 1]);
    if (found == cache_index_.end()) continue;
    cache_.splice(cache_.end(), cache_, found->second);
    return PrefixTokens(it - 1);
  }
  return 0;
}

void EngineModel::Cache(const std::vector<std::uint64_t>& prefixes) {
  for (std::size_t it = 0; it < prefixes.size(); ++it) {
    if (cache_index_.contains(prefixes[it])) continue;
    const std::int64_t tokens =
        it == 0 ? PrefixTokens(0) : PrefixTokens(it) - PrefixTokens(it - 1);
    if (tokens > options_.cache_tokens) break;
    cache_.emplace_back(prefixes[it], tokens);
    cache_index_[prefixes[it]] = std::prev(cache_.end());
    cached_tokens_ += tokens;
    NoteCacheEvent(prefixes[it]);
  }
  while (cached_tokens_ > options_.cache_tokens) {
    const auto [hash, tokens] = cache_.front();
    cache_.pop_front();
    cache_index_.erase(hash);
    cached_tokens_ -= tokens;
    NoteCacheEvent(hash);
  }
}

Report EngineModel::Snapshot() const {
  Report report{.incarnation = options_.incarnation,
                .leaving = leaving_,
                .used_tokens = LiveStreamTokens(),
                .held_tokens = 0,
                .memory_tokens = options_.memory_tokens,
                .active = static_cast<std::int64_t>(streams_.size())};
  for (const auto& [key, stream] : streams_) {
    report.backlog[static_cast<std::size_t>(stream.request.priority)] +=
        std::max(stream.prefill_left, Duration::zero());
    report.entries.push_back(
        {.attempt = key.second, .holder = *ParseIncarnation(key.first)});
  }
  for (const auto& [key, hold] : holds_) {
    report.held_tokens += hold.tokens;
    report.entries.push_back(
        {.attempt = key.second, .holder = *ParseIncarnation(key.first)});
  }
  report.cache_sequence = cache_sequence_;
  report.cache_first = cache_sequence_ + 1 - cache_events_.size();
  for (const std::uint64_t it : cache_events_) {
    auto& list =
        cache_index_.contains(it) ? report.cache_added : report.cache_removed;
    list.push_back(it);
  }
  return report;
}

Report EngineModel::MakeReport(Time now) {
  snapshots_.emplace_back(now, Snapshot());
  if (snapshots_.size() > kMostSnapshots) snapshots_.pop_front();
  while (snapshots_.size() > 1 &&
         snapshots_[1].first + options_.report_lag <= now) {
    snapshots_.pop_front();
  }
  Report report = snapshots_.front().second;
  report.leaving = leaving_;
  return report;
}

}  // namespace scaleshed::testing

#ifndef SCALESHED_TESTING_ENGINE_MODEL_H_
#define SCALESHED_TESTING_ENGINE_MODEL_H_

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "scaleshed/core/fleet.h"
#include "scaleshed/wire/engine_json.h"

namespace scaleshed::testing {

struct EngineModelOptions {
  std::string name;
  std::uint64_t incarnation = 1;
  std::int64_t memory_tokens = 400'000;
  std::int64_t cache_tokens = 100'000;
  // The true costs, in the same terms as the template's estimates.
  ModelTemplate cost;
  // A step of continuous batching reads at most this much prefill.
  Duration prefill_chunk = milliseconds(25);
  Duration decode_step = milliseconds(18);
  Duration decode_per_stream = Duration(150);
  // A stream whose connection broke is kept for so long.
  Duration linger = seconds(5);
  // Reports show the state of so long ago.
  Duration report_lag = milliseconds(200);
};

// The timing and memory of one model engine in virtual time: continuous
// batching with chunked prefill by priority, a prefix cache of limited memory,
// holds that expire, streams that can be resumed and cancelled, late reports.
//
// The answer to a prompt depends on the prompt only, so that a test knows it,
// and engines agree on it. Serves the fake_engine process and the scripted
// driver alike. Not thread safe.
class EngineModel {
 public:
  // One life of one stream or hold: the holder's text and its number.
  using Key = std::pair<std::string, AttemptId>;
  struct Output {
    Key key;
    StreamLine line;
  };
  struct Started {};
  using StartResult = std::variant<Started, EngineRefusal>;

  explicit EngineModel(EngineModelOptions options)
      : options_(std::move(options)) {}

  StartResult Start(const EngineStreamRequest& request, Time now);
  HoldState Hold(const EngineHoldRequest& request, Time now);
  // Frees a stream or hold. True also where there was none (any more).
  bool Cancel(const Key& key);
  // The stream's connection broke, or is there again from `offset` on. False
  // where the stream is not known.
  void Disconnect(const Key& key, Time now);
  bool Resume(const Key& key, std::int64_t offset, std::vector<Output>& out);

  // Does everything that is due by `now`.
  std::vector<Output> Advance(Time now);
  std::optional<Time> NextEvent() const;

  Report MakeReport(Time now);
  void SetLeaving(bool leaving) { leaving_ = leaving; }

  std::int64_t UsedTokens() const;
  std::int64_t HeldTokens() const;
  std::int64_t LiveStreamTokens() const;
  std::size_t streams() const { return streams_.size(); }
  std::uint64_t started() const { return started_; }

  // Token `index` of the answer to a prompt.
  static std::string AnswerToken(const std::string& prompt,
                                 const std::vector<std::uint64_t>& prefixes,
                                 std::int64_t index);
  static std::string Answer(const std::string& prompt, std::int64_t tokens);

 private:
  struct Stream {
    EngineStreamRequest request;
    std::int64_t tokens = 0;
    Duration prefill_left{};
    std::uint64_t order = 0;
    std::int64_t offset = 0;
    std::uint64_t checksum = 0;
    Time deadline{};
    bool connected = true;
    Time disconnected{};
  };
  struct HoldEntry {
    std::int64_t tokens = 0;
    bool granted = false;
    std::uint64_t order = 0;
    Time expires{};
  };

  std::optional<EngineRefusal> CheckRoom(const EngineStreamRequest& request,
                                         std::int64_t tokens, Time now) const;
  Duration ExpectedLife(const EngineStreamRequest& request) const;
  Duration PrefillOf(const EngineStreamRequest& request,
                     std::int64_t cached) const;
  void GrantHolds();
  void BeginStep(Time now);
  void EndStep(std::vector<Output>& out);
  void Emit(const Key& key, Stream& stream, std::vector<Output>& out);
  void Expire(Time now, std::vector<Output>& out);
  std::int64_t CachedTokens(const std::vector<std::uint64_t>& prefixes);
  void Cache(const std::vector<std::uint64_t>& prefixes);
  void NoteCacheEvent(std::uint64_t hash);
  Report Snapshot() const;

  EngineModelOptions options_;
  bool leaving_ = false;
  std::map<Key, Stream> streams_;
  std::map<Key, HoldEntry> holds_;
  std::uint64_t next_order_ = 0;
  std::uint64_t started_ = 0;
  Time now_{};

  // The step that is running.
  std::optional<Time> step_end_;
  std::optional<Key> prefilling_;
  Duration chunk_{};
  std::vector<Key> decoding_;

  // Least recently used first.
  std::list<std::pair<std::uint64_t, std::int64_t>> cache_;
  std::unordered_map<std::uint64_t, decltype(cache_)::iterator> cache_index_;
  std::int64_t cached_tokens_ = 0;
  std::deque<std::uint64_t> cache_events_;
  std::uint64_t cache_sequence_ = 0;
  std::deque<std::pair<Time, Report>> snapshots_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_ENGINE_MODEL_H_

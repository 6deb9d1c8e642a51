#ifndef SCALESHED_CORE_ID_LEDGER_H_
#define SCALESHED_CORE_ID_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "scaleshed/core/call.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// Remembers every id of a call that may not be repeated, for as long as such an
// id may still be accepted, so that none starts twice.
//
// Ids carry the block (minute) in which they were handed out. Ids of a block
// older than the retention are refused for good, and only then forgotten, so
// that forgetting can never let an id run again. An id that was refused once is
// kept too: "not run" stays true for it even when a copy arrives later.
//
// Not thread safe. Owned by the reducer's state.
class IdLedger {
 public:
  // The block is still open, and the id has not been seen.
  struct New {};
  // The id is running under `key`.
  struct InFlight {
    RequestKey key = 0;
  };
  // The id has ended; `final` is repeated to whoever asks.
  struct Finished {
    const Final* final = nullptr;
  };
  // The block is closed, or not open yet: whether the id ran is not known.
  struct Expired {};
  using Standing = std::variant<New, InFlight, Finished, Expired>;

  explicit IdLedger(std::int64_t retention_blocks)
      : retention_blocks_(retention_blocks) {}

  Standing Find(const std::string& id, std::int64_t block,
                std::int64_t current_block) const;
  void Begin(const std::string& id, std::int64_t block, RequestKey key);
  // Keeps `final`, less a body of more than `kMaxKeptBody` bytes.
  void Finish(const std::string& id, const Final& final);
  // Forgets what is older than the retention.
  void Expire(std::int64_t current_block);

  // All ids that are known and ended, for a successor to read.
  std::map<std::string, Outcome> FinishedIds() const;
  std::size_t size() const { return entries_.size(); }

  static constexpr std::size_t kMaxKeptBody = 64 * 1024;

 private:
  struct Entry {
    std::int64_t block = 0;
    std::variant<RequestKey, Final> state;
  };

  std::int64_t retention_blocks_;
  // The highest block that was ever closed. It never falls, so that a clock set
  // back can't reopen a block whose ids are forgotten.
  std::int64_t closed_block_ = -1;
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace scaleshed

#endif  // SCALESHED_CORE_ID_LEDGER_H_

#include "scaleshed/core/id_ledger.h"

#include <algorithm>

namespace scaleshed {
namespace {

// A caller's look-up may have come from an instance whose clock is ahead.
constexpr std::int64_t kBlocksAhead = 2;

}  // namespace

IdLedger::Standing IdLedger::Find(const std::string& id, std::int64_t block,
                                  std::int64_t current_block) const {
  const auto it = entries_.find(id);
  if (it != entries_.end()) {
    const auto* key = std::get_if<RequestKey>(&it->second.state);
    if (key != nullptr) return InFlight{.key = *key};
    return Finished{.final = &std::get<Final>(it->second.state)};
  }
  const std::int64_t oldest =
      std::max(closed_block_ + 1, current_block - retention_blocks_);
  if (block < oldest || block > current_block + kBlocksAhead) return Expired{};
  return New{};
}

void IdLedger::Begin(const std::string& id, std::int64_t block,
                     RequestKey key) {
  entries_[id] = Entry{.block = block, .state = key};
}

void IdLedger::Finish(const std::string& id, const Final& final) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return;
  Final kept = final;
  if (kept.body.size() > kMaxKeptBody) {
    kept.body.clear();
    kept.message = "the answer was too large to keep";
  }
  it->second.state = std::move(kept);
}

void IdLedger::Expire(std::int64_t current_block) {
  const std::int64_t newly_closed = current_block - retention_blocks_ - 1;
  if (newly_closed <= closed_block_) return;
  closed_block_ = newly_closed;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool running = std::holds_alternative<RequestKey>(it->second.state);
    const bool closed = it->second.block <= closed_block_;
    it = closed && !running ? entries_.erase(it) : std::next(it);
  }
}

std::map<std::string, Outcome> IdLedger::FinishedIds() const {
  std::map<std::string, Outcome> ids;
  for (const auto& [id, entry] : entries_) {
    const auto* final = std::get_if<Final>(&entry.state);
    if (final != nullptr) ids[id] = final->outcome;
  }
  return ids;
}

}  // namespace scaleshed

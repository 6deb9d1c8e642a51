#include "scaleshed/runtime/connection_budget.h"

#include "internal/server_connection.h"
#include "internal/shedding.h"

namespace scaleshed {

void ConnectionBudget::Replace(std::uint64_t before, std::uint64_t after) {
  held_ += after - before;
  if (before > kSmallBytes) held_by_large_ -= before;
  if (after > kSmallBytes) held_by_large_ += after;
}

bool ConnectionBudget::IsOver(std::uint64_t bytes) const {
  const bool is_large = bytes > kSmallBytes;
  return held_ > options_.max_bytes ||
         (is_large && held_by_large_ > max_large_bytes());
}

void ConnectionBudget::Shed(std::uint64_t bytes, Time now) {
  // Answers are sent on without telling.
  for (internal::ServerConnection* it : connections_) it->UpdateCharge();
  while (IsOver(bytes)) {
    std::vector<internal::ServerConnection*> open;
    std::vector<internal::ConnectionLoad> loads;
    for (internal::ServerConnection* it : connections_) {
      open.push_back(it);
      loads.push_back(it->Load(now));
    }
    const bool only_large = held_ <= options_.max_bytes;
    const auto choice = internal::ChooseForMemory(loads, only_large);
    if (!choice) return;
    Count(choice->reason);
    open[choice->index]->Shed(choice->reason);
  }
}

}  // namespace scaleshed

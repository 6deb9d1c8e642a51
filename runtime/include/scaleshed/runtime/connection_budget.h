#ifndef SCALESHED_RUNTIME_CONNECTION_BUDGET_H_
#define SCALESHED_RUNTIME_CONNECTION_BUDGET_H_

#include <array>
#include <cstdint>
#include <memory>
#include <set>
#include <utility>

#include "scaleshed/core/types.h"

namespace scaleshed {

namespace internal {
class ServerConnection;
}  // namespace internal

// Why a client's connection gave something up for the others.
enum class ShedReason {
  kReadAhead,       // bytes behind the request in work were dropped
  kSlowRequest,     // the request came too slowly while memory was short
  kNewestRequest,   // the last one to begin while memory was short
  kUnreadAnswer,    // its client doesn't read while memory is short
  kIdle,            // at rest, and closed for a new connection
  kSlowConnection,  // a request came too slowly while connections were short
  kNewConnection,   // closed at once, as no other one could be
};
inline constexpr NameTable<ShedReason, 7> kShedReasonNames{{
    {ShedReason::kReadAhead, "read_ahead"},
    {ShedReason::kSlowRequest, "slow_request"},
    {ShedReason::kNewestRequest, "newest_request"},
    {ShedReason::kUnreadAnswer, "unread_answer"},
    {ShedReason::kIdle, "idle"},
    {ShedReason::kSlowConnection, "slow_connection"},
    {ShedReason::kNewConnection, "new_connection"},
}};

struct ConnectionBudgetOptions {
  // Bytes of requests and unsent answers, over all connections together.
  std::uint64_t max_bytes = 40 * 1024 * 1024;
};

// The memory that the clients' connections of a process may take together. One
// budget serves all HTTP servers of a process, which charge to it what their
// connections hold. Where the sum is over the budget, connections are made to
// give up what they hold, in this order: bytes that were read ahead, requests
// that come slowly, answers that aren't read, the request that began last.
//
// Requests of more than kSmallBytes may take only a part of the budget, so that
// others are still read while large ones have used up theirs.
//
// Used from the loop's thread only.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(const ConnectionBudgetOptions& options = {})
      : options_(options) {}
  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

  // What is held already stays, also where it is over the new bound.
  void SetMaxBytes(std::uint64_t max_bytes) { options_.max_bytes = max_bytes; }
  std::uint64_t max_bytes() const { return options_.max_bytes; }
  std::uint64_t held_bytes() const { return held_; }
  // Since the start of the process.
  std::uint64_t shed(ShedReason reason) const {
    return shed_[static_cast<std::size_t>(reason)];
  }

  static constexpr std::uint64_t kSmallBytes = 64 * 1024;

 private:
  friend class BudgetCharge;
  friend class HttpServer;
  friend class internal::ServerConnection;

  void Replace(std::uint64_t before, std::uint64_t after);
  std::uint64_t max_large_bytes() const { return options_.max_bytes / 4 * 3; }
  // Whether something must be given up before one more connection that holds
  // that much goes on.
  bool IsOver(std::uint64_t bytes) const;
  // Makes connections give up what they hold until `bytes` aren't over.
  void Shed(std::uint64_t bytes, Time now);
  void Count(ShedReason reason) { ++shed_[static_cast<std::size_t>(reason)]; }

  ConnectionBudgetOptions options_;
  std::uint64_t held_ = 0;
  std::uint64_t held_by_large_ = 0;
  std::set<internal::ServerConnection*> connections_;
  std::array<std::uint64_t, kShedReasonNames.size()> shed_{};
};

// Bytes that are counted in a budget as long as this lives. Without a budget
// nothing is counted.
class BudgetCharge {
 public:
  BudgetCharge() = default;
  explicit BudgetCharge(std::shared_ptr<ConnectionBudget> budget)
      : budget_(std::move(budget)) {}
  BudgetCharge(const BudgetCharge&) = delete;
  BudgetCharge& operator=(const BudgetCharge&) = delete;
  BudgetCharge(BudgetCharge&& other) noexcept
      : budget_(std::move(other.budget_)),
        bytes_(std::exchange(other.bytes_, 0)) {}
  BudgetCharge& operator=(BudgetCharge&& other) noexcept {
    Set(0);
    budget_ = std::move(other.budget_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }
  ~BudgetCharge() { Set(0); }

  void Set(std::uint64_t bytes) {
    if (budget_ != nullptr) budget_->Replace(bytes_, bytes);
    bytes_ = bytes;
  }
  std::uint64_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<ConnectionBudget> budget_;
  std::uint64_t bytes_ = 0;
};

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_CONNECTION_BUDGET_H_

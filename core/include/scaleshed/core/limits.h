#ifndef SCALESHED_CORE_LIMITS_H_
#define SCALESHED_CORE_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "scaleshed/core/fleet.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// A token bucket that holds up to one second of its rate (at least one unit).
// Not thread safe.
class TokenBucket {
 public:
  // Sets the rate, in units a second; the level is cut to the new capacity.
  void SetRate(double rate, Time now);
  // How long until `amount` can be taken. An amount over the capacity is
  // waited for until the bucket is full, and then leaves a debt.
  Duration WaitFor(double amount, Time now);
  void Take(double amount) { level_ -= amount; }
  double rate() const { return rate_; }

 private:
  void Refill(Time now);
  double Capacity() const;

  double rate_ = 0;
  double level_ = 0;
  std::optional<Time> refilled_;
};

// One instance's share of one account's limits, and what the account used.
//
// The share is the owner's grant while that is valid, and else the account's
// limit divided by the number of known instances. Not thread safe.
class AccountLimiter {
 public:
  // `instances` counts all listed instances, heard from or not.
  void SetShare(const Limits& whole, int instances, Time now);
  void Grant(const Limits& share, Time until, Time now);
  // Falls back to the even share, as after a change of the limits.
  void EndGrant() { grant_until_.reset(); }

  // Nothing where the request may go ahead, else when to come back. A request
  // that is let through has to be ended with Release().
  std::optional<Duration> Admit(std::int64_t tokens, Time now);
  void Release(std::int64_t tokens);

  // Demand for each second since the last call, for the owner.
  Limits TakeDemand(Time now);
  const Limits& share() const { return share_; }

 private:
  void Apply(const Limits& share, Time now);

  Limits even_share_;
  Limits share_;
  std::optional<Time> grant_until_;
  TokenBucket requests_;
  TokenBucket tokens_;
  std::int64_t in_flight_ = 0;
  double asked_requests_ = 0;
  double asked_tokens_ = 0;
  std::optional<Time> asked_since_;
};

// The owner's side: divides one account's limits among instances by demand.
//
// Every listed instance that has no valid grant keeps its even share reserved,
// as it may be using just that without our knowing. So the sum over all
// instances stays within the limit whoever can hear whom. A new owner knows no
// grants of the one before it, and gives even shares until those have lapsed.
// Not thread safe.
class AllowanceOwner {
 public:
  explicit AllowanceOwner(Time since) : since_(since) {}
  Limits Divide(const Limits& whole, int instances, const std::string& instance,
                const Limits& demand, Time now, Duration valid_for);

 private:
  struct Granted {
    Limits share;
    Time until;
  };
  Time since_;
  std::map<std::string, Granted> granted_;
};

}  // namespace scaleshed

#endif  // SCALESHED_CORE_LIMITS_H_

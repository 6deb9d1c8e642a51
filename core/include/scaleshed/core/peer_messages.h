#ifndef SCALESHED_CORE_PEER_MESSAGES_H_
#define SCALESHED_CORE_PEER_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "scaleshed/core/call.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

enum class MemberState { kAlive, kLeaving, kSuspect, kDead };
inline constexpr NameTable<MemberState, 4> kMemberStateNames{{
    {MemberState::kAlive, "alive"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kDead, "dead"},
}};

// What is said of one daemon. `version` rises with each thing that the daemon
// says of itself, so that it can refute a suspicion of an older version.
struct Member {
  Incarnation incarnation;
  std::string address;
  std::string peer_address;
  std::string data_centre;
  MemberState state = MemberState::kAlive;
  std::uint64_t version = 0;
  bool operator==(const Member&) const = default;
};

// A heartbeat and its answer. Both carry the sender's own entry first, then
// news of others, and the revision of the configuration in force.
struct Probe {
  std::uint64_t sequence = 0;
  bool is_ack = false;
  std::uint64_t revision = 0;
  std::vector<Member> members;
  bool operator==(const Probe&) const = default;
};

// A call that may not be repeated, passed to the only incarnation that may run
// it. `time_left` is what remains of the caller's limit.
struct ForwardCall {
  RequestKey origin_key = 0;
  Incarnation origin;
  CallSpec spec;
  Duration time_left{};
  std::string body;
  bool operator==(const ForwardCall&) const = default;
};

// Both answers name the incarnation that they are for, as another one at the
// same address may use the same key.
struct ForwardChunk {
  Incarnation origin;
  RequestKey origin_key = 0;
  std::int64_t offset = 0;
  std::string text;
  bool operator==(const ForwardChunk&) const = default;
};

struct ForwardFinal {
  Incarnation origin;
  RequestKey origin_key = 0;
  Final final;
  bool operator==(const ForwardFinal&) const = default;
};

// What an instance would like of one account's limits, and what the account's
// owner allows it, both for each second.
struct AllowanceDemand {
  std::string account;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::int64_t tokens_in_flight = 0;
  bool operator==(const AllowanceDemand&) const = default;
};

struct AllowanceGrant {
  std::string account;
  Limits share;
  Duration valid_for{};
  bool operator==(const AllowanceGrant&) const = default;
};

using PeerMessage = std::variant<Probe, ForwardCall, ForwardChunk, ForwardFinal,
                                 AllowanceDemand, AllowanceGrant>;

}  // namespace scaleshed

#endif  // SCALESHED_CORE_PEER_MESSAGES_H_

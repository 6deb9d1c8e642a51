#ifndef SCALESHED_CORE_TYPES_H_
#define SCALESHED_CORE_TYPES_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace scaleshed {

// Time inside the core is always handed in with an event; the core never reads
// a clock. It never goes back, and it counts while the machine is suspended:
// what is gone by for a while only (proofs, keys, leases, time limits) ends for
// all others meanwhile.
struct ElapsedClock;
using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<ElapsedClock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

// Identifies a request inside one daemon; never reused by an incarnation.
using RequestKey = std::uint64_t;
// Identifies one try of a request at one backend server, or one hold.
using AttemptId = std::uint64_t;

// A table of names gives every enumerator its one spelling in logs, metrics,
// JSON and YAML.
template <typename E, std::size_t N>
using NameTable = std::array<std::pair<E, std::string_view>, N>;

template <typename E, std::size_t N>
constexpr std::string_view NameIn(const NameTable<E, N>& table, E value) {
  for (const auto& [it, name] : table) {
    if (it == value) return name;
  }
  return "invalid";
}

template <typename E, std::size_t N>
constexpr std::optional<E> FindIn(const NameTable<E, N>& table,
                                  std::string_view text) {
  for (const auto& [it, name] : table) {
    if (name == text) return it;
  }
  return std::nullopt;
}

// What a caller is told at the end. `kNotRun` is said only where the request
// can never have started; `kUnknown` where it may have.
enum class Outcome { kDone, kFailed, kNotRun, kUnknown };
inline constexpr NameTable<Outcome, 4> kOutcomeNames{{
    {Outcome::kDone, "done"},
    {Outcome::kFailed, "failed"},
    {Outcome::kNotRun, "not_run"},
    {Outcome::kUnknown, "unknown"},
}};

// Why a request ended as it did.
enum class Reason {
  kNone,
  kInvalidRequest,
  kUnknownAccount,
  kNotAllowed,
  kNotReady,
  kLimit,
  kOverload,
  kNoBackend,
  kTooLong,
  kTimeLimit,
  kBackendFailed,
  kHomeGone,
  kIdExpired,
  kIdRefused,
  kStopping,
  kCallerGone,
};
inline constexpr NameTable<Reason, 16> kReasonNames{{
    {Reason::kNone, "none"},
    {Reason::kInvalidRequest, "invalid_request"},
    {Reason::kUnknownAccount, "unknown_account"},
    {Reason::kNotAllowed, "not_allowed"},
    {Reason::kNotReady, "not_ready"},
    {Reason::kLimit, "limit"},
    {Reason::kOverload, "overload"},
    {Reason::kNoBackend, "no_backend"},
    {Reason::kTooLong, "too_long"},
    {Reason::kTimeLimit, "time_limit"},
    {Reason::kBackendFailed, "backend_failed"},
    {Reason::kHomeGone, "home_gone"},
    {Reason::kIdExpired, "id_expired"},
    {Reason::kIdRefused, "id_refused"},
    {Reason::kStopping, "stopping"},
    {Reason::kCallerGone, "caller_gone"},
}};

// The class a client account pays for; lower values go first.
enum class Priority { kInteractive, kStandard, kBatch };
inline constexpr NameTable<Priority, 3> kPriorityNames{{
    {Priority::kInteractive, "interactive"},
    {Priority::kStandard, "standard"},
    {Priority::kBatch, "batch"},
}};

enum class InstanceKind { kEntry, kEngine, kService };
inline constexpr NameTable<InstanceKind, 3> kInstanceKindNames{{
    {InstanceKind::kEntry, "entry"},
    {InstanceKind::kEngine, "engine"},
    {InstanceKind::kService, "service"},
}};

enum class InstanceState { kLive, kLeaving };
inline constexpr NameTable<InstanceState, 2> kInstanceStateNames{{
    {InstanceState::kLive, "live"},
    {InstanceState::kLeaving, "leaving"},
}};

// One row of the platform's list of live and leaving instances.
struct Instance {
  std::string name;
  InstanceKind kind = InstanceKind::kEntry;
  InstanceState state = InstanceState::kLive;
  std::string data_centre;
  std::string address;             // HTTP "ip:port"
  std::string peer_address;        // ZeroMQ "ip:port"; entry instances only
  std::string service;             // model or service name; empty for entries
  std::int64_t memory_tokens = 0;  // engines only
  bool operator==(const Instance&) const = default;
};

// Names one life of one daemon. A restarted daemon has a new incarnation, and
// nothing that an earlier one held belongs to it.
struct Incarnation {
  std::string instance;
  std::uint64_t number = 0;
  bool operator==(const Incarnation&) const = default;
  auto operator<=>(const Incarnation&) const = default;
};

// "instance.number" (the number in hexadecimal), as engines and ids show it.
std::string ToString(const Incarnation& incarnation);
std::optional<Incarnation> ParseIncarnation(std::string_view text);

// The id of a request that may not be repeated: home, block (minutes since the
// epoch on the home's clock when the id was handed out) and the caller's part.
struct RequestId {
  Incarnation home;
  std::int64_t block = 0;
  std::string suffix;
};

// "instance.number.block-": what a caller puts before its own part.
std::string IdPrefix(const Incarnation& home, std::int64_t block);
std::optional<RequestId> ParseRequestId(std::string_view text);

// A stable 64-bit hash (XXH3), the same on every instance.
std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed = 0);

// Helper for std::visit with one lambda for each alternative.
template <typename... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace scaleshed

#endif  // SCALESHED_CORE_TYPES_H_

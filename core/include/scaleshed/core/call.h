#ifndef SCALESHED_CORE_CALL_H_
#define SCALESHED_CORE_CALL_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/core/fleet.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// Engines read prompts in the order of these levels, zero first, and switch
// between them while they read.
inline constexpr int kEnginePriorities = 12;

// Prefix hashes are taken at doubling lengths from this one, so that a prompt
// of a million tokens needs eleven of them.
inline constexpr std::int64_t kFirstPrefixTokens = 1024;

// A completion of a prompt by a model.
struct ModelCall {
  std::string model;
  std::string adapter;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  // Hashes of the first 1024, 2048, 4096, ... tokens of the prompt.
  std::vector<std::uint64_t> prefixes;
  bool operator==(const ModelCall&) const = default;
};

// A call of a plain service; the driver keeps method, path and body.
struct ServiceCall {
  std::string service;
  bool operator==(const ServiceCall&) const = default;
};

using Call = std::variant<ModelCall, ServiceCall>;

// Everything the core has to know of a caller's request. The body stays with
// the driver, under the request's key.
struct CallSpec {
  std::string account;
  // Set where the call may not be repeated; empty otherwise.
  std::string id;
  Duration time_limit{};
  Call call;
  bool may_repeat() const { return id.empty(); }
  bool operator==(const CallSpec&) const = default;
};

// The last thing that a caller hears of a request.
struct Final {
  Outcome outcome = Outcome::kFailed;
  Reason reason = Reason::kNone;
  std::string message;
  // When to come back; zero where that would not help.
  Duration retry_after{};
  // Model calls: tokens sent, and the checksum chained over them.
  std::int64_t tokens = 0;
  std::uint64_t checksum = 0;
  // Service calls: the backend server's own answer.
  int status = 0;
  std::string content_type;
  std::string body;
  bool operator==(const Final&) const = default;
};

// The longest known prefix of `call`, in tokens, for index `it` of
// `call.prefixes`.
constexpr std::int64_t PrefixTokens(std::size_t index) {
  return kFirstPrefixTokens << index;
}

// The checksum of an answer after one more token.
std::uint64_t ChainChecksum(std::uint64_t checksum, std::string_view token);

}  // namespace scaleshed

#endif  // SCALESHED_CORE_CALL_H_

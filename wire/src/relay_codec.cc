#include "scaleshed/wire/relay_codec.h"

#include <charconv>

#include "generated/peer.pb.h"

namespace scaleshed {
namespace {

constexpr std::string_view kServed = "served";
// A longer time is no time that a daemon asks a client to wait.
constexpr std::int64_t kMaxRetryMs = 60'000;

}  // namespace

std::string EncodeRelay(RelayEnvelope envelope) {
  wire::RelayedRequest to;
  to.set_origin(envelope.origin);
  to.set_method(envelope.method);
  to.set_target(envelope.target);
  for (const auto& [name, value] : envelope.headers) {
    wire::HeaderField& field = *to.add_headers();
    field.set_name(name);
    field.set_value(value);
  }
  to.set_body(std::move(envelope.body));
  return to.SerializeAsString();
}

std::optional<RelayEnvelope> DecodeRelay(const std::string& bytes) {
  wire::RelayedRequest from;
  if (!from.ParseFromString(bytes)) return std::nullopt;
  RelayEnvelope envelope{.origin = from.origin(),
                         .method = from.method(),
                         .target = from.target(),
                         .headers = {},
                         .body = std::move(*from.mutable_body())};
  const bool complete = !envelope.origin.empty() && !envelope.method.empty() &&
                        !envelope.target.empty();
  if (!complete) return std::nullopt;
  for (const auto& it : from.headers()) {
    envelope.headers.emplace_back(it.name(), it.value());
  }
  return envelope;
}

std::string RelayOutcomeText(const RelayOutcome& outcome) {
  return std::string(outcome.refusal
                         ? NameIn(serving::kRefusalNames, *outcome.refusal)
                         : kServed);
}

std::string RelayRetryText(const RelayOutcome& outcome) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(outcome.retry_after).count());
}

std::optional<RelayOutcome> ParseRelayOutcome(const std::string& outcome,
                                              const std::string& retry_ms) {
  if (outcome == kServed) return RelayOutcome{};
  const auto refusal = FindIn(serving::kRefusalNames, outcome);
  if (!refusal) return std::nullopt;
  std::int64_t millis = 0;
  const char* end = retry_ms.data() + retry_ms.size();
  const auto [last, ec] = std::from_chars(retry_ms.data(), end, millis);
  const bool valid =
      ec == std::errc() && last == end && millis >= 0 && millis <= kMaxRetryMs;
  return RelayOutcome{
      .refusal = refusal,
      .retry_after = valid ? milliseconds(millis) : Duration::zero()};
}

}  // namespace scaleshed

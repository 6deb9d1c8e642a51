#include "scaleshed/wire/caller_json.h"

#include <charconv>

#include "internal/json_reader.h"

namespace scaleshed {
namespace {

using internal::Dump;
using internal::Json;
using internal::JsonReader;

constexpr std::int64_t kMostAnswerTokens = 1'000'000;
constexpr std::int64_t kDefaultAnswerTokens = 16;

std::int64_t MillisOf(Duration duration) {
  // Rounded up: "come back in 0 ms" would say that there is no need to wait.
  return (duration.count() + 999) / 1000;
}

std::uint64_t ParseChecksum(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

int StatusOfRefusal(Reason reason) {
  switch (reason) {
    case Reason::kInvalidRequest:
      return 400;
    case Reason::kUnknownAccount:
      return 401;
    case Reason::kNotAllowed:
      return 403;
    case Reason::kTooLong:
      return 413;
    case Reason::kLimit:
      return 429;
    default:
      return 503;
  }
}

}  // namespace

std::int64_t CountTokens(std::string_view text) {
  const auto n = static_cast<std::int64_t>(text.size());
  return (n + kBytesPerToken - 1) / kBytesPerToken;
}

std::vector<std::uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<std::uint64_t> prefixes;
  for (std::size_t it = 0;; ++it) {
    const auto n = static_cast<std::size_t>(PrefixTokens(it) * kBytesPerToken);
    if (n > prompt.size()) return prefixes;
    prefixes.push_back(HashBytes(prompt.substr(0, n)));
  }
}

Result<CompletionRequest, WireError> ParseCompletion(std::string_view body) {
  JsonReader reader(body);
  CompletionRequest request;
  request.call.model = reader.Text("model", true);
  request.call.adapter = reader.Text("adapter", false);
  request.prompt = reader.Text("prompt", true);
  request.call.max_tokens =
      reader.Whole("max_tokens", 1, kMostAnswerTokens, kDefaultAnswerTokens);
  request.stream = reader.Flag("stream", false);
  if (request.prompt.empty()) reader.Fault("prompt", "must not be empty");
  if (reader.error()) return *reader.error();
  request.call.prompt_tokens = CountTokens(request.prompt);
  request.call.prefixes = PrefixHashes(request.prompt);
  return request;
}

std::string CompletionChunkJson(const std::string& model,
                                const std::string& text) {
  return Dump({{"object", "text_completion"},
               {"model", model},
               {"choices", {{{"index", 0}, {"text", text}}}}});
}

std::string CompletionJson(const std::string& model, const std::string& text,
                           const Final& final) {
  return Dump(
      {{"object", "text_completion"},
       {"model", model},
       {"choices", {{{"index", 0}, {"text", text}, {"finish_reason", "stop"}}}},
       {"outcome", NameIn(kOutcomeNames, final.outcome)},
       {"checksum", ChecksumText(final.checksum)},
       {"usage", {{"completion_tokens", final.tokens}}}});
}

std::string ChecksumText(std::uint64_t checksum) {
  std::array<char, 16> buf{};
  const auto [end, ec] =
      std::to_chars(buf.data(), buf.data() + buf.size(), checksum, 16);
  return ec == std::errc() ? std::string(buf.data(), end) : std::string();
}

std::string FinalJson(const Final& final) {
  return Dump({{"outcome", NameIn(kOutcomeNames, final.outcome)},
               {"reason", NameIn(kReasonNames, final.reason)},
               {"message", final.message},
               {"retry_after_ms", MillisOf(final.retry_after)},
               {"tokens", final.tokens},
               {"checksum", ChecksumText(final.checksum)}});
}

Result<Final, WireError> ParseFinal(std::string_view text) {
  JsonReader reader(text);
  const auto outcome = FindIn(kOutcomeNames, reader.Text("outcome", true));
  const auto reason = FindIn(kReasonNames, reader.Text("reason", false));
  if (!outcome) reader.Fault("outcome", "is not an outcome");
  Final final{.outcome = outcome.value_or(Outcome::kUnknown),
              .reason = reason.value_or(Reason::kNone),
              .message = reader.Text("message", false),
              .retry_after =
                  milliseconds(reader.Whole("retry_after_ms", 0, INT32_MAX, 0)),
              .tokens = reader.Whole("tokens", 0, INT64_MAX, 0),
              .checksum = ParseChecksum(reader.Text("checksum", false))};
  if (reader.error()) return *reader.error();
  return final;
}

int HttpStatusOf(const Final& final) {
  switch (final.outcome) {
    case Outcome::kDone:
      return final.status == 0 ? 200 : final.status;
    case Outcome::kNotRun:
      return StatusOfRefusal(final.reason);
    case Outcome::kFailed:
      return final.reason == Reason::kTimeLimit ? 504 : 502;
    case Outcome::kUnknown:
      break;
  }
  return 500;
}

std::string LookUpJson(const LookUpAnswer& answer) {
  return Dump({{"address", answer.address},
               {"alternates", answer.alternates},
               {"keep_ms", MillisOf(answer.keep)},
               {"id_prefix", answer.id_prefix}});
}

Result<LookUpAnswer, WireError> ParseLookUp(std::string_view text) {
  JsonReader reader(text);
  LookUpAnswer answer{
      .address = reader.Text("address", true),
      .alternates = {},
      .keep = milliseconds(reader.Whole("keep_ms", 0, INT32_MAX, 0)),
      .id_prefix = reader.Text("id_prefix", true)};
  for (const Json& it : reader.Member("alternates")) {
    if (it.is_string()) answer.alternates.push_back(it.get<std::string>());
  }
  if (reader.error()) return *reader.error();
  return answer;
}

}  // namespace scaleshed

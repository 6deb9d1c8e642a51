#ifndef SCALESHED_WIRE_CALLER_JSON_H_
#define SCALESHED_WIRE_CALLER_JSON_H_

#include <string>
#include <string_view>

#include "scaleshed/core/call.h"
#include "scaleshed/core/reducer.h"
#include "scaleshed/core/result.h"
#include "scaleshed/wire/errors.h"

namespace scaleshed {

// One token stands for this many bytes of text. The platform's tokenizers are
// the engines' own; for placing and limits an estimate is enough.
inline constexpr std::int64_t kBytesPerToken = 4;

std::int64_t CountTokens(std::string_view text);

// Hashes of the first 1024, 2048, ... tokens of `prompt`.
std::vector<std::uint64_t> PrefixHashes(std::string_view prompt);

// A request in the widely known completions JSON.
struct CompletionRequest {
  ModelCall call;
  std::string prompt;
  bool stream = false;
};

// Reads {"model", "prompt", "max_tokens", "stream", "adapter"}; other members
// are ignored, as clients send many.
Result<CompletionRequest, WireError> ParseCompletion(std::string_view body);

// One chunk of a completion, as the data of a server-sent event.
std::string CompletionChunkJson(const std::string& model,
                                const std::string& text);
// A whole completion.
std::string CompletionJson(const std::string& model, const std::string& text,
                           const Final& final);
// {"outcome", "reason", "message", "retry_after_ms", "tokens", "checksum"}.
std::string FinalJson(const Final& final);
// Reads what FinalJson() wrote, for the command line and tests.
Result<Final, WireError> ParseFinal(std::string_view text);

// The HTTP status that a final answer has where none was sent yet.
int HttpStatusOf(const Final& final);

std::string LookUpJson(const LookUpAnswer& answer);
Result<LookUpAnswer, WireError> ParseLookUp(std::string_view text);

std::string ChecksumText(std::uint64_t checksum);

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_CALLER_JSON_H_

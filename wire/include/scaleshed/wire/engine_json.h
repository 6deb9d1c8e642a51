#ifndef SCALESHED_WIRE_ENGINE_JSON_H_
#define SCALESHED_WIRE_ENGINE_JSON_H_

#include <string>
#include <string_view>
#include <variant>

#include "scaleshed/core/effects.h"
#include "scaleshed/core/events.h"
#include "scaleshed/core/result.h"
#include "scaleshed/wire/errors.h"

namespace scaleshed {

// The engines' interface (docs/ENGINES.md): both sides of it, so that daemon
// and stand-in can't drift apart.

// The body of POST /v1/streams.
struct EngineStreamRequest {
  AttemptId attempt = 0;
  Incarnation holder;
  ModelCall call;
  std::string prompt;
  int priority = 0;  // of kEnginePriorities
  Duration time_left{};
  std::int64_t offset = 0;
  std::uint64_t checksum = 0;
  int rank = 0;
  int group_size = 1;
  AttemptId hold = 0;
};

std::string EngineStreamRequestJson(const EngineStreamRequest& request);
Result<EngineStreamRequest, WireError> ParseEngineStreamRequest(
    std::string_view text);

// The body of POST /v1/holds.
struct EngineHoldRequest {
  AttemptId hold = 0;
  Incarnation holder;
  std::int64_t tokens = 0;
  Duration valid_for{};
};

std::string EngineHoldRequestJson(const EngineHoldRequest& request);
Result<EngineHoldRequest, WireError> ParseEngineHoldRequest(
    std::string_view text);
std::string HoldStateJson(HoldState state);
Result<HoldState, WireError> ParseHoldState(std::string_view text);

// One line of a stream. The end line has "end": true.
struct FrameLine {
  AttemptId attempt = 0;
  std::int64_t offset = 0;
  std::string text;
  std::uint64_t checksum = 0;
};
struct EndLine {
  AttemptId attempt = 0;
  std::int64_t tokens = 0;
  std::uint64_t checksum = 0;
};
// The stream ended without its answer.
struct ErrorLine {
  AttemptId attempt = 0;
  AttemptError error = AttemptError::kCut;
};
using StreamLine = std::variant<FrameLine, EndLine, ErrorLine>;

std::string StreamLineJson(const StreamLine& line);
Result<StreamLine, WireError> ParseStreamLine(std::string_view text);

// The body of a refusal, which says that nothing has started.
struct EngineRefusal {
  AttemptError error = AttemptError::kRefused;
  Duration retry_after{};
  std::string message;
};

std::string EngineRefusalJson(const EngineRefusal& refusal);
Result<EngineRefusal, WireError> ParseEngineRefusal(std::string_view text);

std::string ReportJson(const Report& report);
Result<Report, WireError> ParseReport(std::string_view text);

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_ENGINE_JSON_H_

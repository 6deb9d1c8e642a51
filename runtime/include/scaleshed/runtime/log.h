#ifndef SCALESHED_RUNTIME_LOG_H_
#define SCALESHED_RUNTIME_LOG_H_

#include <string>
#include <utility>
#include <vector>

namespace scaleshed {

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Sets up logging to standard output: one JSON object a line, with `time`,
// `level`, `instance` and `event` before the event's own fields, all of them
// text. Never waits for whoever reads it; what is left out is counted in a line
// `lines_left_out`. `level` is debug, info, warn or error.
void StartLog(const std::string& level, const std::string& instance);

// One line: the event's name, then its fields.
void LogInfo(const std::string& event, const LogFields& fields);
void LogWarn(const std::string& event, const LogFields& fields);
// As LogInfo, for what goes as it should. Of these only so many are written in
// a second; `routine_left_out` says how many were not.
void LogRoutine(const std::string& event, const LogFields& fields);

// The event and its fields as members of a JSON object, without its braces.
std::string JsonMembers(const std::string& event, const LogFields& fields);

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_LOG_H_

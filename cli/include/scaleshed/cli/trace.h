#ifndef SCALESHED_CLI_TRACE_H_
#define SCALESHED_CLI_TRACE_H_

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace scaleshed {

// One line of a daemon's log.
struct TraceLine {
  std::string time;  // as written; sorts by itself
  std::string instance;
  std::string event;
  std::map<std::string, std::string> fields;  // the event's own
};

// The lines of `log` that concern `request`; what is not a log line is passed
// over.
std::vector<TraceLine> ReadTrace(std::istream& log, const std::string& request);

// Brings the lines of several daemons into one order. Their clocks may differ;
// lines of one daemon keep theirs.
void SortTrace(std::vector<TraceLine>& lines);

// What became of the request and why, in a sentence for each that counts.
std::string ExplainTrace(const std::vector<TraceLine>& lines);

}  // namespace scaleshed

#endif  // SCALESHED_CLI_TRACE_H_

#include "scaleshed/cli/trace.h"

#include <algorithm>
#include <array>
#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

namespace scaleshed {
namespace {

using Json = nlohmann::json;

std::optional<TraceLine> ReadLine(const std::string& text) {
  // The line may stand behind a prefix of whoever collected it.
  const std::size_t from = text.find('{');
  if (from == std::string::npos) return std::nullopt;
  const Json json = Json::parse(text.substr(from), nullptr, false);
  if (!json.is_object()) return std::nullopt;
  TraceLine line;
  for (const auto& [name, value] : json.items()) {
    if (!value.is_string()) return std::nullopt;
    const auto word = value.get<std::string>();
    if (name == "time") {
      line.time = word;
    } else if (name == "instance") {
      line.instance = word;
    } else if (name == "event") {
      line.event = word;
    } else if (name != "level") {
      line.fields[name] = word;
    }
  }
  if (line.event.empty()) return std::nullopt;
  return line;
}

std::string Field(const TraceLine& line, const std::string& name) {
  const auto it = line.fields.find(name);
  return it == line.fields.end() ? "?" : it->second;
}

std::string ExplainSent(const TraceLine& line) {
  std::string text = "sent to " + Field(line, "backend") + " after " +
                     Field(line, "waited_ms") + " ms";
  const std::string helpers = Field(line, "helpers");
  const bool helped = helpers != "0" && helpers != "?";
  if (helped) text += ", read by " + helpers + " more";
  const std::string after = Field(line, "resume_after");
  if (!after.empty() && after != "?") text += ", goes on after event " + after;
  return text;
}

std::string ExplainLost(const TraceLine& line) {
  std::string text =
      "lost at " + Field(line, "backend") + " (" + Field(line, "why") + ")";
  const std::string forbids = Field(line, "no_repeat_for");
  if (forbids == "nothing") return text + ", sent again";
  static constexpr std::array<std::pair<std::string_view, std::string_view>, 4>
      kReasons{{{"kind", "it may run only once"},
                {"runs", "its route allows no further run"},
                {"time", "too little time was left"},
                {"budget", "the repeat budget was used up"}}};
  for (const auto& [name, reason] : kReasons) {
    if (name == forbids) text += ", not sent again: " + std::string(reason);
  }
  return text;
}

std::string ExplainStalled(const TraceLine& line) {
  const bool is_hedged = Field(line, "no_repeat_for") == "nothing";
  return "nothing from " + Field(line, "backend") + " for " +
         Field(line, "silent_ms") + " ms, " +
         (is_hedged ? "tried elsewhere too" : "left to it");
}

std::string ExplainRepeat(const TraceLine& line) {
  const bool allowed = Field(line, "allowed") == "true";
  return std::string("one more send ") + (allowed ? "allowed" : "denied") +
         ": " + Field(line, "repeats") + " repeats of " + Field(line, "room") +
         " by " + Field(line, "requests") +
         " requests, its part of the slack " + Field(line, "share") +
         " among " + Field(line, "daemons") + " daemons";
}

std::string ExplainRefused(const TraceLine& line) {
  std::string text = "answered " + Field(line, "status") + " by us (" +
                     Field(line, "why") + ") after " + Field(line, "after_ms") +
                     " ms, ";
  const bool ran = Field(line, "may_have_run") == "true";
  text += ran ? "it may have run" : "it has not run";
  if (Field(line, "why") != "evacuated") return text;
  return text + ": all servers that it may use are in evacuated data centres";
}

std::string ExplainMoved(const TraceLine& line) {
  const bool connecting = Field(line, "step") == "connecting";
  return std::string(connecting ? "not sent, as no connection stood yet: "
                                : "placed elsewhere: ") +
         "the data centre of " + Field(line, "backend") +
         " or of one that reads for it is evacuated";
}

std::string ExplainGivesUp(const TraceLine& line) {
  return "given up for load: " + Field(line, "ahead") +
         " before it, start in " + Field(line, "expected_start_ms") +
         " ms, first token in " + Field(line, "expected_first_ms") + " ms";
}

std::string ExplainLimited(const TraceLine& line) {
  return "refused for limits: all " + Field(line, "servers") + " servers of " +
         Field(line, "service") + " have named one, " + Field(line, "ahead") +
         " requests go before it, a start in " + Field(line, "expected_ms") +
         " ms";
}

std::string ExplainWarmingUp(const TraceLine& line) {
  return "refused as servers warm up: " + Field(line, "servers") +
         " servers of " + Field(line, "service") + " are cold, " +
         Field(line, "ahead") + " requests go before it, a start in " +
         Field(line, "expected_ms") + " ms";
}

std::string ExplainMissingEngines(const TraceLine& line) {
  return "refused for missing engines: its prompt needs " +
         Field(line, "needed") + ", " + Field(line, "service") + " has " +
         Field(line, "engines");
}

std::string ExplainAllRest(const TraceLine& line) {
  return "refused for rest: all " + Field(line, "servers") + " servers of " +
         Field(line, "service") + " want it, the first for " +
         Field(line, "left_ms") + " ms more";
}

std::string ExplainServerLimit(const TraceLine& line) {
  if (Field(line, "what") == "ended") {
    return Field(line, "backend") + " names no limit any more";
  }
  return Field(line, "backend") + " names a limit of " +
         Field(line, "per_second") + " a second";
}

std::string ExplainServerRest(const TraceLine& line) {
  return Field(line, "backend") + " wants no request for " +
         Field(line, "for_ms") + " ms";
}

std::string ExplainInDoubt(const TraceLine& line) {
  return "placed at " + Field(line, "backend") + " as " + Field(line, "ends") +
         " servers have ended under its content, or one may have";
}

std::string ExplainHeldForPart(const TraceLine& line) {
  return "held for its part " + Field(line, "part") + " (" +
         Field(line, "content") + "), under which " + Field(line, "ends") +
         " servers have ended";
}

std::string ExplainAnswered(const TraceLine& line) {
  return "answered whole after " + Field(line, "after_ms") + " ms, runs " +
         Field(line, "runs") + ", first token " + Field(line, "first_ms") +
         " ms after it was sent, longest pause " + Field(line, "pause_ms") +
         " ms";
}

std::string ExplainNotRun(const TraceLine& line) {
  return "not run by " + Field(line, "backend");
}

struct Explanation {
  std::string_view event;
  std::string (*explain)(const TraceLine&);
};
constexpr Explanation kExplanations[] = {
    {"sent", ExplainSent},
    {"lost", ExplainLost},
    {"stalled", ExplainStalled},
    {"goes_on",
     [](const TraceLine& line) {
       return Field(line, "backend") + " goes on with it (" +
              Field(line, "why") + ")";
     }},
    {"repeat", ExplainRepeat},
    {"refused", ExplainRefused},
    {"moved", ExplainMoved},
    {"gives_up", ExplainGivesUp},
    {"limited", ExplainLimited},
    {"warming_up", ExplainWarmingUp},
    {"missing_engines", ExplainMissingEngines},
    {"all_rest", ExplainAllRest},
    {"server_limit", ExplainServerLimit},
    {"server_rest", ExplainServerRest},
    {"in_doubt", ExplainInDoubt},
    {"held_for_part", ExplainHeldForPart},
    {"answered", ExplainAnswered},
    {"declined", ExplainNotRun},
    {"not_sent", ExplainNotRun},
    {"waits",
     [](const TraceLine& line) { return "waits for " + Field(line, "for"); }},
    {"placed",
     [](const TraceLine& line) {
       return "placed at " + Field(line, "backend") + " for " +
              Field(line, "for");
     }},
    {"relayed",
     [](const TraceLine& line) {
       return "passed to " + Field(line, "to") + " after " +
              Field(line, "waited_ms") +
              " ms: this daemon doesn't reach the servers of " +
              Field(line, "service");
     }},
    {"relay_accepted",
     [](const TraceLine& line) {
       return "taken over from " + Field(line, "from");
     }},
    {"relay_refused",
     [](const TraceLine& line) {
       const bool ran = Field(line, "may_have_run") == "true";
       return "refused by " + Field(line, "by") + " (" + Field(line, "why") +
              "), " + (ran ? "it may have run" : "it has not run");
     }},
    {"placer_silent",
     [](const TraceLine& line) {
       return "no answer where to send it from " + Field(line, "placer");
     }},
    {"placer_without_regions",
     [](const TraceLine&) {
       return std::string(
           "placed here: the placer knows no server in the allowed regions");
     }},
    {"placed_outside_regions",
     [](const TraceLine& line) {
       return "not sent to " + Field(line, "backend") +
              ": the placement is outside of the allowed regions";
     }},
    {"placer_unaware",
     [](const TraceLine& line) {
       return Field(line, "placer") +
              " did not know of a limit where it placed it, and is told";
     }},
    {"warm_up_void",
     [](const TraceLine&) -> std::string {
       return "not sent to a cold server, as the grant for it is missing or "
              "too old: placed again";
     }},
    {"server_leaving",
     [](const TraceLine& line) {
       return Field(line, "backend") + " says that it leaves";
     }},
    {"places_alone",
     [](const TraceLine&) -> std::string {
       return "no placer is known to answer: sent by what this daemon knows";
     }},
    {"broken",
     [](const TraceLine&) -> std::string {
       return "the client's connection was broken, so that the part it has "
              "can't be taken for the whole";
     }},
    {"client_gone",
     [](const TraceLine& line) {
       return "the client left while it was " + Field(line, "phase") +
              ", after " + Field(line, "after_ms") + " ms";
     }},
};

std::string Explain(const TraceLine& line) {
  for (const Explanation& it : kExplanations) {
    if (it.event == line.event) return it.explain(line);
  }
  return line.event;
}

}  // namespace

std::vector<TraceLine> ReadTrace(std::istream& log,
                                 const std::string& request) {
  std::vector<TraceLine> lines;
  std::string text;
  while (std::getline(log, text)) {
    // Cheap before the parser: logs are long, a request's lines are few.
    if (text.find(request) == std::string::npos) continue;
    auto line = ReadLine(text);
    if (line && Field(*line, "request") == request) {
      lines.push_back(std::move(*line));
    }
  }
  return lines;
}

void SortTrace(std::vector<TraceLine>& lines) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const TraceLine& a, const TraceLine& b) { return a.time < b.time; });
}

std::string ExplainTrace(const std::vector<TraceLine>& lines) {
  if (lines.empty()) return "no line of this request\n";
  std::string text;
  for (const TraceLine& it : lines) {
    text += it.time + "  " + it.instance + "  " + Explain(it) + "\n";
  }
  return text;
}

}  // namespace scaleshed

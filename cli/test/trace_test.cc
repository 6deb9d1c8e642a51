#include "scaleshed/cli/trace.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace scaleshed {
namespace {

std::string Line(const std::string& time, const std::string& instance,
                 const std::string& rest) {
  return R"({"time":")" + time + R"(","level":"INFO","instance":")" + instance +
         R"(",)" + rest + "}\n";
}

TEST_CASE("A request's lines are found among others and what is no line") {
  std::istringstream log(
      Line("1", "a", R"("event":"sent","request":"r1","backend":"w1")") +
      "not a line, though it names r1\n" + R"({"event":7,"request":"r1"})" +
      "\n" + Line("2", "a", R"("event":"sent","request":"r12")") + "  7.0 a " +
      Line("3", "a", R"("event":"answered","request":"r1","runs":"1")"));
  const auto lines = ReadTrace(log, "r1");
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].event == "sent");
  CHECK(lines[0].fields.at("backend") == "w1");
  CHECK(lines[1].instance == "a");
  CHECK(lines[1].event == "answered");
}

TEST_CASE("Lines of several daemons come in the order of their times") {
  std::vector<TraceLine> lines{{.time = "2", .instance = "b", .event = "x"},
                               {.time = "1", .instance = "a", .event = "y"},
                               {.time = "2", .instance = "b", .event = "z"}};
  SortTrace(lines);
  CHECK(lines[0].event == "y");
  CHECK(lines[1].event == "x");
  CHECK(lines[2].event == "z");
}

TEST_CASE("The outcome is told with its reason") {
  const auto explain = [](const std::string& event,
                          std::map<std::string, std::string> fields) {
    return ExplainTrace({{.time = "1",
                          .instance = "a",
                          .event = event,
                          .fields = std::move(fields)}});
  };
  CHECK(explain(
            "lost",
            {{"backend", "w"}, {"why", "cut"}, {"no_repeat_for", "budget"}}) ==
        "1  a  lost at w (cut), not sent again: the repeat budget was used "
        "up\n");
  CHECK(explain("refused", {{"status", "502"},
                            {"why", "unknown"},
                            {"after_ms", "40"},
                            {"may_have_run", "true"}}) ==
        "1  a  answered 502 by us (unknown) after 40 ms, it may have run\n");
  CHECK(explain("refused", {{"status", "503"},
                            {"why", "evacuated"},
                            {"after_ms", "1"},
                            {"may_have_run", "false"}}) ==
        "1  a  answered 503 by us (evacuated) after 1 ms, it has not run: all "
        "servers that it may use are in evacuated data centres\n");
  CHECK(explain("moved", {{"backend", "w"}, {"step", "placed"}}) ==
        "1  a  placed elsewhere: the data centre of w or of one that reads for "
        "it is evacuated\n");
  CHECK(explain("sent", {{"backend", "w"},
                         {"waited_ms", "3"},
                         {"helpers", "5"},
                         {"resume_after", "4"}}) ==
        "1  a  sent to w after 3 ms, read by 5 more, goes on after event 4\n");
  CHECK(explain("repeat", {{"allowed", "false"},
                           {"requests", "40"},
                           {"repeats", "9"},
                           {"room", "9"},
                           {"share", "young"},
                           {"daemons", "8"}}) ==
        "1  a  one more send denied: 9 repeats of 9 by 40 requests, its part "
        "of the slack young among 8 daemons\n");
  CHECK(ExplainTrace({}) == "no line of this request\n");
  CHECK(explain("limited", {{"servers", "3"},
                            {"service", "app"},
                            {"ahead", "4"},
                            {"expected_ms", "900"}}) ==
        "1  a  refused for limits: all 3 servers of app have named one, 4 "
        "requests go before it, a start in 900 ms\n");
  CHECK(explain("warming_up", {{"servers", "3"},
                               {"service", "app"},
                               {"ahead", "4"},
                               {"expected_ms", "900"}}) ==
        "1  a  refused as servers warm up: 3 servers of app are cold, 4 "
        "requests go before it, a start in 900 ms\n");
  CHECK(explain("missing_engines",
                {{"needed", "3"}, {"service", "llm"}, {"engines", "2"}}) ==
        "1  a  refused for missing engines: its prompt needs 3, llm has 2\n");
  CHECK(explain("all_rest",
                {{"servers", "2"}, {"service", "app"}, {"left_ms", "70"}}) ==
        "1  a  refused for rest: all 2 servers of app want it, the first for "
        "70 ms more\n");
  CHECK(explain("server_limit", {{"what", "ended"}, {"backend", "w"}}) ==
        "1  a  w names no limit any more\n");
  CHECK(explain("held_for_part",
                {{"part", "bad"}, {"content", "f1"}, {"ends", "3"}}) ==
        "1  a  held for its part bad (f1), under which 3 servers have ended\n");
  CHECK(explain("unheard_of", {}) == "1  a  unheard_of\n");
}

TEST_CASE("A request is followed through the daemon that it was relayed to") {
  const auto line = [](const std::string& time, const std::string& instance,
                       const std::string& event,
                       std::map<std::string, std::string> fields) {
    return TraceLine{.time = time,
                     .instance = instance,
                     .event = event,
                     .fields = std::move(fields)};
  };
  std::vector<TraceLine> lines{
      line("2", "b", "relay_accepted", {{"from", "a:2"}}),
      line("3", "a", "relay_refused",
           {{"by", "b:2"}, {"why", "overload"}, {"may_have_run", "false"}}),
      line("1", "a", "relayed",
           {{"to", "b:2"}, {"waited_ms", "4"}, {"service", "llm"}})};
  SortTrace(lines);
  CHECK(ExplainTrace(lines) ==
        "1  a  passed to b:2 after 4 ms: this daemon doesn't reach the servers "
        "of llm\n"
        "2  b  taken over from a:2\n"
        "3  a  refused by b:2 (overload), it has not run\n");
}

}  // namespace
}  // namespace scaleshed

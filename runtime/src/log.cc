#include "scaleshed/runtime/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <sstream>

#include "scaleshed/runtime/bounded_writer.h"
#include "scaleshed/runtime/event_loop.h"

namespace scaleshed {
namespace {

// Kept while standard output is not read: about a second of a loaded daemon's
// lines, and little beside its memory.
constexpr std::size_t kMostKeptBytes = 256 * 1024;
// Lines of plain successes a second. The largest daemon planned for serves 44
// requests/s with two lines each.
constexpr double kRoutinePerSecond = 200;

log4cplus::Logger& TheLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("scaleshed");
  return logger;
}

RoutineLimit& TheRoutineLimit() {
  static RoutineLimit limit(kRoutinePerSecond);
  return limit;
}

void AppendEscaped(std::string& to, const std::string& text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  for (const char it : text) {
    if (it == '"' || it == '\\') to += '\\';
    if (static_cast<unsigned char>(it) >= kFirstPrintable) {
      to += it;
      continue;
    }
    char buf[8];
    (void)std::snprintf(buf, sizeof(buf), "\\u%04x", static_cast<unsigned>(it));
    to += buf;
  }
}

void AppendMember(std::string& to, const std::string& name,
                  const std::string& value) {
  to += '"';
  AppendEscaped(to, name);
  to += "\":\"";
  AppendEscaped(to, value);
  to += '"';
}

// Standard output as log4cplus sees it.
class OutputAppender : public log4cplus::Appender {
 public:
  OutputAppender() : writer_(STDOUT_FILENO, kMostKeptBytes) {}
  ~OutputAppender() override { destructorImpl(); }
  OutputAppender(const OutputAppender&) = delete;
  OutputAppender& operator=(const OutputAppender&) = delete;

  void close() override {
    writer_.Flush();
    closed = true;
  }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    if (writer_.HasRoom()) Note("lines_left_out", writer_.TakeLeftOut(), event);
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    writer_.Write(line.str());
  }

 private:
  // A line of its own before the next one.
  void Note(const std::string& what, std::uint64_t count,
            const log4cplus::spi::InternalLoggingEvent& event) {
    if (count == 0) return;
    const log4cplus::spi::InternalLoggingEvent note(
        event.getLoggerName(), log4cplus::WARN_LOG_LEVEL,
        JsonMembers(what, {{"count", std::to_string(count)}}), __FILE__,
        __LINE__);
    std::ostringstream line;
    layout->formatAndAppend(line, note);
    writer_.Write(line.str());
  }

  BoundedWriter writer_;
};

}  // namespace

std::string JsonMembers(const std::string& event, const LogFields& fields) {
  std::string members;
  AppendMember(members, "event", event);
  for (const auto& [name, value] : fields) {
    members += ',';
    AppendMember(members, name, value);
  }
  return members;
}

void StartLog(const std::string& level, const std::string& instance) {
  static const log4cplus::Initializer kInitializer;
  log4cplus::SharedAppenderPtr appender(new OutputAppender());
  std::string name;
  AppendMember(name, "instance", instance);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      R"({"time":"%D{%Y-%m-%dT%H:%M:%S.%q}","level":"%p",)" + name + ",%m}%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  const auto& levels = log4cplus::getLogLevelManager();
  std::string upper = level;
  for (char& it : upper) it = static_cast<char>(std::toupper(it));
  root.setLogLevel(levels.fromString(upper));
}

void LogInfo(const std::string& event, const LogFields& fields) {
  LOG4CPLUS_INFO(TheLogger(), JsonMembers(event, fields));
}

void LogWarn(const std::string& event, const LogFields& fields) {
  LOG4CPLUS_WARN(TheLogger(), JsonMembers(event, fields));
}

void LogRoutine(const std::string& event, const LogFields& fields) {
  if (!TheRoutineLimit().Allows(ElapsedNow())) return;
  const std::uint64_t left_out = TheRoutineLimit().TakeLeftOut();
  if (left_out > 0) {
    LogInfo("routine_left_out", {{"count", std::to_string(left_out)}});
  }
  LogInfo(event, fields);
}

}  // namespace scaleshed

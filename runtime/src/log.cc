#include "scaleshed/runtime/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace scaleshed {
namespace {

log4cplus::Logger& TheLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("scaleshed");
  return logger;
}

std::string Line(const std::string& event, const LogFields& fields) {
  std::string line = "event=" + event;
  for (const auto& [name, value] : fields) {
    line += " " + name + "=\"";
    for (const char it : value) {
      if (it == '"' || it == '\\') line += '\\';
      line += it == '\n' ? ' ' : it;
    }
    line += '"';
  }
  return line;
}

}  // namespace

void StartLog(const std::string& level, const std::string& instance) {
  static const log4cplus::Initializer kInitializer;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true, /*immediate=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p instance=" + instance + " %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  const auto& levels = log4cplus::getLogLevelManager();
  std::string upper = level;
  for (char& it : upper) it = static_cast<char>(std::toupper(it));
  root.setLogLevel(levels.fromString(upper));
}

void LogInfo(const std::string& event, const LogFields& fields) {
  LOG4CPLUS_INFO(TheLogger(), Line(event, fields));
}

void LogWarn(const std::string& event, const LogFields& fields) {
  LOG4CPLUS_WARN(TheLogger(), Line(event, fields));
}

}  // namespace scaleshed

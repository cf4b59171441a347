#include "drumlanding/base/log.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace drumlanding::base {
namespace {

std::atomic<LogLevel> MinLevel{LogLevel::Info};
std::atomic<LogFormat> Format{LogFormat::Text};

spdlog::level::level_enum toSpdlogLevel(LogLevel level) {
  switch (level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warning:
    return spdlog::level::warn;
  case LogLevel::Error:
    return spdlog::level::err;
  }
  return spdlog::level::err;
}

spdlog::logger &sink() {
  static const auto logger = [] {
    auto made = spdlog::stderr_logger_mt("drumlanding");
    made->set_level(spdlog::level::trace);
    return made;
  }();
  return *logger;
}

} // namespace

void configureLogging(LogLevel minLevel, LogFormat format) {
  MinLevel.store(minLevel);
  Format.store(format);
  if (format == LogFormat::JsonLines)
    sink().set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})");
  else
    sink().set_pattern("%Y-%m-%dT%H:%M:%S.%e %L %v");
}

bool Log::isEnabled(LogLevel level) { return level >= MinLevel.load(); }

void Log::write(LogLevel level, std::string_view message) const {
  if (Format.load() == LogFormat::Text) {
    sink().log(toSpdlogLevel(level), "[{}] {}", Component, message);
    return;
  }
  // Messages may contain text that callers chose, so both fields are escaped.
  const auto replace = nlohmann::json::error_handler_t::replace;
  const std::string component =
      nlohmann::json(Component).dump(-1, ' ', false, replace);
  const std::string text =
      nlohmann::json(std::string(message)).dump(-1, ' ', false, replace);
  sink().log(toSpdlogLevel(level), "\"part\":{},\"message\":{}", component,
             text);
}

} // namespace drumlanding::base

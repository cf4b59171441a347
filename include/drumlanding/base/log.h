/// Log: short messages, each with the name of the component that writes it.
///
///   const Log log("entry.route");
///   log.info("route request={} server={}", id, server);
#pragma once

#include <spdlog/fmt/fmt.h>
#include <string>
#include <string_view>
#include <utility>

namespace drumlanding::base {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogFormat { Text, JsonLines };

/// Sets the minimum level and the format of lines on standard error.
void configureLogging(LogLevel minLevel, LogFormat format);

/// The log of one component; cheap to copy.
class Log {
public:
  explicit Log(std::string component) : Component(std::move(component)) {}

  template <typename... Args>
  void debug(fmt::format_string<Args...> text, Args &&...args) const {
    if (isEnabled(LogLevel::Debug))
      write(LogLevel::Debug, fmt::format(text, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void info(fmt::format_string<Args...> text, Args &&...args) const {
    if (isEnabled(LogLevel::Info))
      write(LogLevel::Info, fmt::format(text, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void warn(fmt::format_string<Args...> text, Args &&...args) const {
    if (isEnabled(LogLevel::Warning))
      write(LogLevel::Warning, fmt::format(text, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void error(fmt::format_string<Args...> text, Args &&...args) const {
    write(LogLevel::Error, fmt::format(text, std::forward<Args>(args)...));
  }

private:
  static bool isEnabled(LogLevel level);
  void write(LogLevel level, std::string_view message) const;

  std::string Component;
};

} // namespace drumlanding::base

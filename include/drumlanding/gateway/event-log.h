/// Event log: one JSON object a line on standard output, for each decision that
/// touches a request or changes what the process believes.
///
///   EventLog log("front-1");
///   log.write("request-ended", {{"request", id}, {"status", 200}});
///
/// Writing never waits: a reader that does not read costs lines, which are
/// counted and told with the next line that gets through.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace drumlanding::gateway {

/// A named value of an event.
struct LogField {
  std::string_view Name;
  std::variant<std::string_view, std::int64_t, double, bool> Value;

  LogField(std::string_view name, std::string_view text)
      : Name(name), Value(text) {}
  LogField(std::string_view name, const std::string &text)
      : Name(name), Value(std::string_view(text)) {}
  LogField(std::string_view name, const char *text)
      : Name(name), Value(std::string_view(text)) {}
  LogField(std::string_view name, bool b) : Name(name), Value(b) {}
  LogField(std::string_view name, double d) : Name(name), Value(d) {}
  template <typename Number>
  LogField(std::string_view name, Number n)
      : Name(name), Value(static_cast<std::int64_t>(n)) {}
};

class EventLog {
public:
  /// `process` names this process in each line. `descriptor` is where lines
  /// go: standard output.
  explicit EventLog(std::string process, int descriptor = 1);

  void write(std::string_view event, std::initializer_list<LogField> fields);
  std::uint64_t dropped() const { return Dropped; }

private:
  std::string Process;
  int Descriptor;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedSinceLastLine = 0;
};

} // namespace drumlanding::gateway

/// Event log: writes one JSON object per line to standard output for every
/// decision that affects a request and every change in the process's view of
/// its environment.
///
///   EventLog log("front-1");
///   log.write("request-ended", {{"request", id}, {"status", 200}});
///
/// Writing never blocks. Lines that the reader does not keep up with are
/// dropped; their number is added to the next line that is written.
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
  /// `process` is the process name in each line. `descriptor` is the file to
  /// write to, standard output by default.
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

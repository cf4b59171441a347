#include "drumlanding/gateway/event-log.h"

#include <chrono>
#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

namespace drumlanding::gateway {
namespace {

/// A pipe that is ready for writing accepts this many bytes at once (POSIX
/// PIPE_BUF).
constexpr std::size_t MaxLineBytes = 4'096;

void addText(std::string &line, std::string_view text) {
  line += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
      line += '\\';
    if (byte < 0x20)
      line += fmt::format("\\u{:04x}", byte);
    else
      line += c;
  }
  line += '"';
}

struct ValueWriter {
  std::string &Line;
  void operator()(std::string_view text) const { addText(Line, text); }
  void operator()(std::int64_t n) const { Line += std::to_string(n); }
  void operator()(double d) const { Line += fmt::format("{:.3f}", d); }
  void operator()(bool b) const { Line += b ? "true" : "false"; }
};

void addField(std::string &line, const LogField &field) {
  line += ',';
  addText(line, field.Name);
  line += ':';
  std::visit(ValueWriter{line}, field.Value);
}

bool canWrite(int descriptor) {
  pollfd poll{descriptor, POLLOUT, 0};
  return ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
}

} // namespace

EventLog::EventLog(std::string process, int descriptor)
    : Process(std::move(process)), Descriptor(descriptor) {}

void EventLog::write(std::string_view event,
                     std::initializer_list<LogField> fields) {
  using std::chrono::milliseconds;
  const auto wall = std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
  std::string line =
      fmt::format("{{\"time_ms\":{}", wall.time_since_epoch().count());
  addField(line, {"process", Process});
  addField(line, {"event", event});
  for (const LogField &field : fields)
    addField(line, field);
  if (DroppedSinceLastLine > 0)
    addField(line, {"lines_dropped_before", DroppedSinceLastLine});
  line += "}\n";
  if (line.size() > MaxLineBytes || !canWrite(Descriptor) ||
      ::write(Descriptor, line.data(), line.size()) !=
          static_cast<ssize_t>(line.size())) {
    ++Dropped;
    ++DroppedSinceLastLine;
    return;
  }
  DroppedSinceLastLine = 0;
}

} // namespace drumlanding::gateway

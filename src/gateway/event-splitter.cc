#include "drumlanding/gateway/event-splitter.h"

#include <algorithm>
#include <charconv>

namespace drumlanding::gateway {
namespace {

/// Returns the offset after the blank line that ends the first event, or npos
/// if the event is incomplete.
std::size_t findEventEnd(std::string_view text) {
  std::size_t from = 0;
  for (;;) {
    const std::size_t line = text.find('\n', from);
    if (line == std::string_view::npos)
      return line;
    const std::string_view next = text.substr(line + 1, 2);
    if (next.starts_with('\n'))
      return line + 2;
    if (next == "\r\n")
      return line + 3;
    from = line + 1;
  }
}

std::optional<std::int64_t> parseEventId(std::string_view event) {
  std::size_t from = 0;
  while (from < event.size()) {
    const std::size_t end = std::min(event.find('\n', from), event.size());
    std::string_view line = event.substr(from, end - from);
    from = end + 1;
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    if (line.starts_with(' '))
      line.remove_prefix(1);
    std::int64_t id = 0;
    const auto [p, ec] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (ec == std::errc())
      return id;
  }
  return std::nullopt;
}

} // namespace

bool EventSplitter::isNew(std::string_view event) {
  const auto id = parseEventId(event);
  if (!id)
    return true;
  if (LastId && *id <= *LastId)
    return false;
  LastId = *id;
  ++EventCount;
  return true;
}

std::string EventSplitter::feed(std::string_view bytes) {
  Pending += bytes;
  std::string complete;
  std::string_view remaining = Pending;
  for (;;) {
    const std::size_t end = findEventEnd(remaining);
    if (end == std::string_view::npos)
      break;
    const std::string_view event = remaining.substr(0, end);
    if (isNew(event))
      complete += event;
    remaining.remove_prefix(end);
  }
  Pending = std::string(remaining);
  return complete;
}

} // namespace drumlanding::gateway

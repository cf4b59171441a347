/// Event splitter: cuts a body of server-sent events into whole events, and
/// lets each pass once.
///
///   EventSplitter splitter;
///   std::string whole = splitter.feed(bytes);    // whole, new events only
///   splitter.lastId();
///
/// An event that a broken connection has cut stays behind, so that the stream
/// can go on from another server.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace drumlanding::gateway {

class EventSplitter {
public:
  /// Takes bytes and returns the whole events among them whose ids are above
  /// all before. Events without an id pass.
  std::string feed(std::string_view bytes);

  /// Forgets a cut event: the next bytes come from another connection.
  void discardPartialEvent() { Pending.clear(); }

  /// True when an event has been begun and not ended.
  bool hasPartialEvent() const { return !Pending.empty(); }
  std::optional<std::int64_t> lastId() const { return LastId; }
  std::uint64_t eventCount() const { return EventCount; }

private:
  bool isNew(std::string_view event);

  std::string Pending;
  std::optional<std::int64_t> LastId;
  std::uint64_t EventCount = 0;
};

} // namespace drumlanding::gateway

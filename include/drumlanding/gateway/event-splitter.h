/// Event splitter: splits a stream of server-sent events into complete events
/// and drops duplicates.
///
///   EventSplitter splitter;
///   std::string events = splitter.feed(bytes);   // complete, new events only
///   splitter.lastId();
///
/// An event truncated by a lost connection is held back, so that another server
/// can resume the stream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace drumlanding::gateway {

class EventSplitter {
public:
  static constexpr std::size_t MaxEventBytes = 1 << 20;

  /// Appends bytes and returns the complete events whose ids are greater than
  /// all previous ones. Events without an id are always returned.
  std::string feed(std::string_view bytes);

  /// Discards a truncated event before bytes from another connection follow.
  void discardPartialEvent() { Pending.clear(); }

  /// Returns true if the buffer holds the start of an incomplete event.
  bool hasPartialEvent() const { return !Pending.empty(); }
  /// Returns true if the incomplete event is larger than any server may send.
  bool isTooLarge() const { return Pending.size() > MaxEventBytes; }
  std::optional<std::int64_t> lastId() const { return LastId; }
  std::uint64_t eventCount() const { return EventCount; }

private:
  bool isNew(std::string_view event);

  std::string Pending;
  std::optional<std::int64_t> LastId;
  std::uint64_t EventCount = 0;
};

} // namespace drumlanding::gateway

/// Explain: tells the story of one request from the logs of several processes.
///
///   Result<Story> story = explain(lines, "c863f8ed4a59a818");
///   print(value(story).Lines); print(value(story).Cause);
#pragma once

#include "drumlanding/base/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::ctl {

/// A line of a gateway's or sidecar's log.
struct LogLine {
  std::int64_t TimeMs = 0;
  std::string Process;
  std::string Event;
  /// All fields, these three included.
  nlohmann::json Fields;

  std::string text(std::string_view field) const;
  std::int64_t number(std::string_view field) const;
};

/// Reads a line; what stands before its first brace is passed over. None when
/// it is no line of such a log.
std::optional<LogLine> parseLogLine(std::string_view line);

/// What happened to a request.
struct RequestTrace {
  /// Its own lines, and those of its servers and processes around them, in
  /// order of time.
  std::vector<LogLine> Lines;
  /// One sentence.
  std::string Cause;
};

/// Finds the story of a request; NotFound when no line names it.
base::Result<RequestTrace> explain(std::span<const LogLine> lines,
                                   std::string_view request);

/// Returns a line as people read it: time, process, event, fields.
std::string toText(const LogLine &line);

} // namespace drumlanding::ctl

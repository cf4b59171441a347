/// Explain: finds the cause of one request's outcome in the logs of several
/// processes.
///
///   Result<RequestTrace> trace = explain(lines, "c863f8ed4a59a818");
///   print(value(trace).Lines); print(value(trace).Cause);
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

/// One JSON line of a gateway's or sidecar's log.
struct LogLine {
  std::int64_t TimeMs = 0;
  std::string Process;
  std::string Event;
  /// All fields, including the three above.
  nlohmann::json Fields;

  /// Returns a field as text; empty if it is missing.
  std::string text(std::string_view field) const;
  /// Returns a numeric field; 0 if it is missing or no number.
  std::int64_t number(std::string_view field) const;
};

/// Parses a line, skipping any prefix before the first brace. Returns none if
/// the line is not a log line with an event.
std::optional<LogLine> parseLogLine(std::string_view line);

/// The log lines of a request and the cause of its outcome.
struct RequestTrace {
  /// The request's own lines and those of its servers and processes around that
  /// time, ordered by time.
  std::vector<LogLine> Lines;
  /// The cause in one sentence.
  std::string Cause;
};

/// Builds the trace of a request; fails with NotFound if no line names it.
base::Result<RequestTrace> explain(std::span<const LogLine> lines,
                                   std::string_view request);

/// Formats a line for display: time, process, event, fields.
std::string toText(const LogLine &line);

} // namespace drumlanding::ctl

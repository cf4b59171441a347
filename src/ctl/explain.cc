#include "explain.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace drumlanding::ctl {
namespace {

using Json = nlohmann::json;
using Lines = std::span<const LogLine>;

/// Time before a request's first and after its last line in which events of its
/// servers and processes may be related to it.
constexpr std::int64_t WindowBeforeMs = 5'000;
constexpr std::int64_t WindowAfterMs = 2'000;

/// Events of a process that affect all its requests.
constexpr std::string_view ProcessEvents[] = {
    "started",        "stopping",     "stopped",       "store-lost",
    "store-regained", "config-taken", "settings-taken"};

bool isProcessEvent(const LogLine &line) {
  return std::find(std::begin(ProcessEvents), std::end(ProcessEvents),
                   line.Event) != std::end(ProcessEvents);
}

std::string jsonText(const Json &json) {
  return json.is_string() ? json.get<std::string>() : json.dump();
}

/// The processes and servers that a request's own lines name, and their times.
struct Scope {
  std::set<std::string> Processes;
  std::set<std::string> Servers;
  std::int64_t From = 0;
  std::int64_t To = 0;

  bool contains(const LogLine &line) const {
    if (line.TimeMs < From - WindowBeforeMs || line.TimeMs > To + WindowAfterMs)
      return false;
    const bool isOfServer = line.Event.starts_with("server-") &&
                            Servers.contains(line.text("server"));
    return Processes.contains(line.Process) &&
           (isOfServer || isProcessEvent(line));
  }
};

Scope makeScope(Lines requestLines) {
  Scope scope;
  scope.From = requestLines.front().TimeMs;
  scope.To = requestLines.back().TimeMs;
  for (const LogLine &line : requestLines) {
    scope.Processes.insert(line.Process);
    for (const char *field : {"server", "from", "to"})
      if (const std::string server = line.text(field); !server.empty())
        scope.Servers.insert(server);
  }
  return scope;
}

constexpr const char *RequestLimitsCause =
    "Each usable backend server of its service had reached the request rate "
    "that it allows.";

constexpr const char *SuspectCause =
    "Backend servers had ended while they ran this request, at this or another "
    "gateway: it was not sent to another one.";

const LogLine *findLast(Lines lines, std::string_view event) {
  const LogLine *last = nullptr;
  for (const LogLine &line : lines)
    if (line.Event == event)
      last = &line;
  return last;
}

/// Returns the cause for a request without an end line: its gateway ended
/// first, or the log does.
std::string causeWithoutEnd(Lines all, const LogLine &last) {
  bool isStopping = false;
  for (const LogLine &line : all) {
    if (line.Process != last.Process || line.TimeMs < last.TimeMs)
      continue;
    isStopping |= line.Event == "stopping";
    if (line.Event == "stopped")
      return fmt::format(
          "{} was stopped and reached its drain limit with {} requests open.",
          line.Process, line.number("open"));
    if (line.Event == "started" && !isStopping)
      return fmt::format("{} crashed while serving the request.", line.Process);
  }
  return "The logs end before the request.";
}

std::string causeOfBrokenStream(Lines trace, const LogLine &end) {
  const LogLine *leaving = findLast(trace, "server-leaving");
  const LogLine *begun = findLast(trace, "move-begun");
  const LogLine *continued = findLast(trace, "move-continued");
  if (continued && continued->number("status") != 200)
    return fmt::format(
        "{} did not continue the migrated generation (status {}).",
        continued->text("server"), continued->number("status"));
  if (begun && leaving)
    return fmt::format("{} left; the migration began with {} ms remaining "
                       "and was not completed in time.",
                       begun->text("from"), begun->number("ms_left"));
  if (leaving && leaving->TimeMs <= end.TimeMs)
    return fmt::format("{} left before the generation's migration began.",
                       leaving->text("server"));
  const LogLine *placed = findLast(trace, "placed");
  return fmt::format("{} closed the connection without notice ({}).",
                     placed ? placed->text("server") : "Its server",
                     end.text("how"));
}

std::string causeOfStream(Lines trace, const LogLine &end) {
  const std::string how = end.text("how");
  if (how == "whole")
    return fmt::format("It was served completely; its longest pause was {} ms.",
                       end.number("longest_pause_ms"));
  if (how == "caller left")
    return "The caller disconnected.";
  if (how == "no server")
    return "No backend server of its service was usable.";
  if (how == "request limits")
    return RequestLimitsCause;
  if (how == "suspect")
    return SuspectCause;
  if (how == "answered")
    return "Each server that it was sent to reported that it did not run it, "
           "or failed.";
  return causeOfBrokenStream(trace, end);
}

std::string causeOfCall(const LogLine &end) {
  switch (end.number("status")) {
  case 0:
    return "The caller disconnected.";
  case 401:
    return "Its API key is not in the config that the gateway had.";
  case 404:
    return "No route in the config that the gateway had matches its host and "
           "path.";
  case 502:
    if (end.text("why") == "suspect")
      return SuspectCause;
    return "It was sent and no complete response arrived: it may have run.";
  case 503:
    if (end.text("why") == "request limits")
      return RequestLimitsCause;
    if (end.text("why") == "suspect")
      return SuspectCause;
    return end.text("why") == "not admitted"
               ? "The gateway had no config, or was stopping."
               : "No server accepted it, and it did not run.";
  case 504:
    return end.number("sends") == 0
               ? "It timed out before it was sent to a server."
               : "Its route's timeout expired while a server processed it.";
  default:
    return fmt::format("A server responded with status {}.",
                       end.number("status"));
  }
}

std::string causeOf(Lines all, Lines requestLines, Lines trace) {
  if (const LogLine *end = findLast(requestLines, "stream-ended"))
    return causeOfStream(trace, *end);
  if (const LogLine *end = findLast(requestLines, "request-ended"))
    return causeOfCall(*end);
  return causeWithoutEnd(all, requestLines.back());
}

} // namespace

std::string LogLine::text(std::string_view field) const {
  const auto it = Fields.find(field);
  return it == Fields.end() ? "" : jsonText(*it);
}

std::int64_t LogLine::number(std::string_view field) const {
  const auto it = Fields.find(field);
  return it == Fields.end() || !it->is_number() ? 0 : it->get<std::int64_t>();
}

std::optional<LogLine> parseLogLine(std::string_view line) {
  const std::size_t brace = line.find('{');
  if (brace == std::string_view::npos)
    return std::nullopt;
  LogLine parsed;
  parsed.Fields = Json::parse(line.substr(brace), nullptr, false);
  if (!parsed.Fields.is_object())
    return std::nullopt;
  parsed.TimeMs = parsed.number("time_ms");
  parsed.Process = parsed.text("process");
  parsed.Event = parsed.text("event");
  if (parsed.Event.empty())
    return std::nullopt;
  return parsed;
}

base::Result<RequestTrace> explain(Lines lines, std::string_view request) {
  std::vector<LogLine> sorted(lines.begin(), lines.end());
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const LogLine &a, const LogLine &b) { return a.TimeMs < b.TimeMs; });
  std::vector<LogLine> requestLines;
  for (const LogLine &line : sorted)
    if (line.text("request") == request)
      requestLines.push_back(line);
  if (requestLines.empty())
    return base::Error{base::ErrorCode::NotFound, std::string(request),
                       "no line of these logs names this request"};
  const Scope scope = makeScope(requestLines);
  RequestTrace trace;
  for (const LogLine &line : sorted)
    if (line.text("request") == request || scope.contains(line))
      trace.Lines.push_back(line);
  trace.Cause = causeOf(sorted, requestLines, trace.Lines);
  return trace;
}

std::string toText(const LogLine &line) {
  constexpr std::int64_t Second = 1'000;
  std::string text =
      fmt::format("{}.{:03} {} {}", line.TimeMs / Second, line.TimeMs % Second,
                  line.Process, line.Event);
  for (const auto &[name, field] : line.Fields.items())
    if (name != "time_ms" && name != "process" && name != "event")
      text += fmt::format(" {}={}", name, jsonText(field));
  return text;
}

} // namespace drumlanding::ctl

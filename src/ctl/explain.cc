#include "explain.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace drumlanding::ctl {
namespace {

using Json = nlohmann::json;
using Lines = std::span<const LogLine>;

/// What a server or process did so long before the request began, or after it
/// ended, may have to do with it.
constexpr std::int64_t BeforeMs = 5'000;
constexpr std::int64_t AfterMs = 2'000;

/// Events of a process that touch all its requests.
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

/// What a request's own lines say of who dealt with it, and when.
struct Scope {
  std::set<std::string> Processes;
  std::set<std::string> Servers;
  std::int64_t From = 0;
  std::int64_t To = 0;

  bool contains(const LogLine &line) const {
    if (line.TimeMs < From - BeforeMs || line.TimeMs > To + AfterMs)
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

const LogLine *findLast(Lines lines, std::string_view event) {
  const LogLine *last = nullptr;
  for (const LogLine &line : lines)
    if (line.Event == event)
      last = &line;
  return last;
}

/// A request without an end: its gateway ended first, or the log does.
std::string causeWithoutEnd(Lines all, const LogLine &last) {
  bool isStopping = false;
  for (const LogLine &line : all) {
    if (line.Process != last.Process || line.TimeMs < last.TimeMs)
      continue;
    isStopping |= line.Event == "stopping";
    if (line.Event == "stopped")
      return fmt::format("{} was stopped, and its time was up with {} open.",
                         line.Process, line.number("open"));
    if (line.Event == "started" && !isStopping)
      return fmt::format("{} died while it served the request.", line.Process);
  }
  return "The logs end before the request does.";
}

std::string causeOfBrokenStream(Lines trace, const LogLine &end) {
  const LogLine *leaving = findLast(trace, "server-leaving");
  const LogLine *begun = findLast(trace, "move-begun");
  const LogLine *continued = findLast(trace, "move-continued");
  if (continued && continued->number("status") != 200)
    return fmt::format("{} did not take up the moved generation (status {}).",
                       continued->text("server"), continued->number("status"));
  if (begun && leaving)
    return fmt::format("{} left; the move began with {} ms left and was not "
                       "done in time.",
                       begun->text("from"), begun->number("ms_left"));
  if (leaving && leaving->TimeMs <= end.TimeMs)
    return fmt::format("{} left, and the generation's turn to move had not "
                       "come.",
                       leaving->text("server"));
  const LogLine *placed = findLast(trace, "placed");
  return fmt::format("{} broke the connection without notice ({}).",
                     placed ? placed->text("server") : "Its server",
                     end.text("how"));
}

std::string causeOfStream(Lines trace, const LogLine &end) {
  const std::string how = end.text("how");
  if (how == "whole")
    return fmt::format("It was served whole; its longest pause was {} ms.",
                       end.number("longest_pause_ms"));
  if (how == "caller left")
    return "The caller left.";
  if (how == "no server")
    return "No backend server of its service was usable.";
  if (how == "answered")
    return "Each server that it met said that it did not run it, or failed.";
  return causeOfBrokenStream(trace, end);
}

std::string causeOfCall(const LogLine &end) {
  switch (end.number("status")) {
  case 0:
    return "The caller left.";
  case 401:
    return "Its key is not in the config that the gateway had.";
  case 404:
    return "No route has its host and path in the config that the gateway had.";
  case 502:
    return "It was sent, and no whole answer came: it may have run.";
  case 503:
    return end.text("why") == "not admitted"
               ? "The gateway had no config, or was stopping."
               : "No server took it, and it did not run.";
  case 504:
    return end.number("sends") == 0
               ? "Its time was up before a server was reached."
               : "Its route's time was up while a server worked on it.";
  default:
    return fmt::format("A server answered with status {}.",
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

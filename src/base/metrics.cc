#include "drumlanding/base/metrics.h"

#include "drumlanding/base/invariant.h"

#include <fstream>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

namespace drumlanding::base {
namespace {

struct MetricDescription {
  std::string_view Name;
  std::string_view Help;
};

/// The metrics of all programs; docs/OPERATORS.md repeats this list.
constexpr MetricDescription MetricDescriptions[] = {
    {"drumlanding_requests_total", "Requests ended, by kind and verdict."},
    {"drumlanding_refusals_total", "Refusals, by verdict and reason."},
    {"drumlanding_attempts_total", "Attempts sent to agents."},
    {"drumlanding_tokens_total", "Tokens passed on."},
    {"drumlanding_control_bytes", "Bytes of control messages, by direction."},
    {"drumlanding_rejected_messages",
     "Messages from peers without the shared key, or malformed."},
    {"drumlanding_control_connections_closed",
     "Control connections closed without an authentic message."},
    {"drumlanding_invariant_failures", "Failures, by invariant."},
    {"drumlanding_open_streams", "Streams open now."},
    {"drumlanding_known_servers", "Backend servers known, by state."},
    {"drumlanding_running", "Generations on the engine now."},
    {"drumlanding_waiting", "Generations waiting for the engine now."},
    {"drumlanding_yields_total", "Generations that had to yield."},
    {"drumlanding_preemptions_total",
     "Generations the engine itself preempted."},
    {"drumlanding_document_version", "Version in force, by document."},
    {"drumlanding_first_token_seconds", "Time to first token."},
    {"drumlanding_token_gap_seconds", "Time between tokens."},
    {"drumlanding_platform_calls_total", "Calls of the platform's service."},
    {"drumlanding_stall_seconds_total",
     "Time of gaps between tokens that were longer than a second."},
    {"drumlanding_gateway_calls_total",
     "Calls ended, by route and status; status 0: the caller left."},
    {"drumlanding_gateway_call_seconds", "Time of calls, by route."},
    {"drumlanding_gateway_streams_total",
     "Streams ended, by route and how they ended."},
    {"drumlanding_gateway_first_event_seconds",
     "Time to a stream's first event, by route."},
    {"drumlanding_gateway_longest_pause_seconds",
     "Longest pause between a stream's events, by route."},
    {"drumlanding_gateway_stream_seconds", "Time of whole streams, by route."},
    {"drumlanding_gateway_moves_total",
     "Steps of moves of generations, by step and whether they were done."},
    {"drumlanding_gateway_retries_total",
     "Second sends asked of the retry budget, by service and whether granted."},
    {"drumlanding_gateway_limits_reached_total",
     "Requests that did not fit a server's limit, by service and whether they "
     "were placed elsewhere."},
    {"drumlanding_gateway_open_requests", "Requests being answered now."},
    {"drumlanding_gateway_peers", "Other gateways heard of lately."},
    {"drumlanding_gateway_list_age_seconds",
     "Age of the list of backend servers."},
    {"drumlanding_gateway_config_age_seconds",
     "Time since the store last confirmed the config."},
    {"drumlanding_gateway_log_lines_dropped",
     "Lines of the log that nobody read in time."},
    {"drumlanding_requests_evicted_total",
     "Connections closed while a request arrived, by the limit reached."},
    {"process_resident_memory_bytes", "Resident memory."},
    {"process_cpu_seconds_total", "Processor time, user and system."},
};

std::string findHelp(std::string_view name) {
  for (const MetricDescription &row : MetricDescriptions)
    if (row.Name == name)
      return std::string(row.Help);
  return "Not described.";
}

double residentBytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double processorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto toSeconds = [](const timeval &t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime);
}

const prometheus::Histogram::BucketBoundaries HistogramBuckets = {
    0.005, 0.01, 0.02, 0.046, 0.1, 0.2, 0.4, 0.78, 1.5, 3, 6, 12, 30};

} // namespace

struct Metrics::State {
  std::mutex Lock;
  prometheus::Registry Registry;
  std::map<std::string, prometheus::Family<prometheus::Counter> *, std::less<>>
      Counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *, std::less<>>
      Gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram> *,
           std::less<>>
      Histograms;
};

Metrics::Metrics() : S(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, const MetricLabels &labels,
                    double amount) {
  const std::lock_guard guard(S->Lock);
  auto it = S->Counters.find(name);
  if (it == S->Counters.end()) {
    auto &family = prometheus::BuildCounter()
                       .Name(std::string(name))
                       .Help(findHelp(name))
                       .Register(S->Registry);
    it = S->Counters.emplace(name, &family).first;
  }
  it->second->Add(labels).Increment(amount);
}

void Metrics::set(std::string_view name, double value,
                  const MetricLabels &labels) {
  const std::lock_guard guard(S->Lock);
  auto it = S->Gauges.find(name);
  if (it == S->Gauges.end()) {
    auto &family = prometheus::BuildGauge()
                       .Name(std::string(name))
                       .Help(findHelp(name))
                       .Register(S->Registry);
    it = S->Gauges.emplace(name, &family).first;
  }
  it->second->Add(labels).Set(value);
}

void Metrics::observe(std::string_view name, double seconds,
                      const MetricLabels &labels) {
  const std::lock_guard guard(S->Lock);
  auto it = S->Histograms.find(name);
  if (it == S->Histograms.end()) {
    auto &family = prometheus::BuildHistogram()
                       .Name(std::string(name))
                       .Help(findHelp(name))
                       .Register(S->Registry);
    it = S->Histograms.emplace(name, &family).first;
  }
  it->second->Add(labels, HistogramBuckets).Observe(seconds);
}

std::string Metrics::text() {
  for (int i = 0; i <= static_cast<int>(Invariant::Last); ++i) {
    const auto which = static_cast<Invariant>(i);
    set("drumlanding_invariant_failures",
        static_cast<double>(invariantFailures(which)),
        {{"invariant", std::string(toString(which))}});
  }
  set("process_resident_memory_bytes", residentBytes());
  set("process_cpu_seconds_total", processorSeconds());
  return prometheus::TextSerializer().Serialize(S->Registry.Collect());
}

} // namespace drumlanding::base

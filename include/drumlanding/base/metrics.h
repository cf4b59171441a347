/// Metrics: prometheus-cpp counters and gauges by name.
///
///   Metrics metrics;
///   metrics.count("drumlanding_requests_total", {{"verdict", "ran"}});
///   std::string page = metrics.text();
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace drumlanding::base {

using MetricLabels = std::map<std::string, std::string>;

/// The metrics of one process. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds `amount` to a counter. Its help text is taken from the list in
  /// metrics.cc, where each metric must be listed.
  void count(std::string_view name, const MetricLabels &labels = {},
             double amount = 1);

  /// Sets a gauge.
  void set(std::string_view name, double value,
           const MetricLabels &labels = {});

  /// Records a time in seconds in a histogram.
  void observe(std::string_view name, double seconds,
               const MetricLabels &labels = {});

  /// Returns all metrics in Prometheus' text format, after an update of those
  /// of invariants, memory and CPU time.
  std::string text();

private:
  struct State;
  std::unique_ptr<State> S;
};

} // namespace drumlanding::base

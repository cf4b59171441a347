/// Journal: what the soak knows of its run: the faults that were injected and
/// when, what ran on the servers, and the promises that were broken.
#pragma once

#include "drumlanding/base/clock.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::soak {

/// One run of an attempt on a server.
struct Execution {
  std::string Server;
  base::Instant StartedAt{};
};

class Journal {
public:
  Journal() : StartedAt(now()) {}

  /// A server that leaves gets nothing new after this, as the gateways' flag
  /// --drain_ms says, and a little for what is on its way.
  static constexpr base::milliseconds LeavePropagationTime{1'300};
  /// Trouble is over for a gateway when there was none for so long.
  static constexpr base::milliseconds RecoveryTime{3'000};

  static base::Instant now() { return base::SystemClock().now().Steady; }

  /// Notes a fault that holds from now on, and returns its number.
  std::size_t beginFault(std::string description, bool isPlanned);
  void endFault(std::size_t number);
  /// True when an unplanned fault held at any time of [from, to].
  bool hasUnplannedFault(base::Instant from, base::Instant to) const;
  /// The same, with planned work.
  bool hasFaultOrPlannedWork(base::Instant from, base::Instant to) const;
  std::size_t faults() const { return Faults.size(); }

  /// Notes that a server begins to work on an attempt.
  void recordStart(const std::string &attempt, const std::string &server,
                   bool isIdempotent);
  /// Notes that a caller was told that an attempt did not run, and never will.
  void recordNotRun(const std::string &attempt);
  bool hasStarted(const std::string &attempt) const {
    return Executions.contains(attempt);
  }

  /// Notes work that came to a server after the store had taken that it leaves;
  /// a breach when nothing but planned work went on.
  void recordStartAfterLeaving(const std::string &attempt,
                               const std::string &server, base::Instant since);

  /// Which server is at an address; empty when none is up there.
  std::function<std::string(const std::string &address)> ServerAt;

  void recordViolation(std::string_view promise,
                       const std::string &description);
  std::size_t violations() const { return Violations; }

  /// Prints a line with the seconds since the start.
  void print(const std::string &line) const;

private:
  struct Fault {
    std::string Description;
    bool IsPlanned = false;
    base::Instant From{};
    base::Instant To = base::Instant::max();
  };

  base::Instant StartedAt;
  std::vector<Fault> Faults;
  std::map<std::string, std::vector<Execution>> Executions;
  std::map<std::string, base::Instant> ReportedNotRun;
  std::size_t Violations = 0;
};

} // namespace drumlanding::soak

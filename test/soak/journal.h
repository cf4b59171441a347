/// Journal: the record of a soak run: injected faults and their times, attempts
/// that ran on servers, and violated promises.
#pragma once

#include "drumlanding/base/clock.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::soak {

/// One execution of an attempt on a server.
struct Execution {
  std::string Server;
  base::Instant StartedAt{};
};

class Journal {
public:
  Journal() : StartedAt(now()) {}

  /// A leaving server receives no new work after this time: the gateways' flag
  /// --drain_ms (1 s in the soak) and a margin for requests in flight.
  static constexpr base::milliseconds LeavePropagationTime{1'300};
  /// Gateways have recovered when this time has passed since the last fault.
  static constexpr base::milliseconds RecoveryTime{3'000};

  /// Requests with this prefix of the path end each server that gets them.
  static constexpr std::string_view DeadlyPath = "/often/deadly-";

  static base::Instant now() { return base::SystemClock().now().Steady; }

  /// Records a fault that is active from now on, and returns its number.
  std::size_t beginFault(std::string description, bool isPlanned);
  void endFault(std::size_t number);
  /// Returns true if an unplanned fault was active at any time in [from, to].
  bool hasUnplannedFault(base::Instant from, base::Instant to) const;
  /// Returns true if a fault or planned work was active in [from, to].
  bool hasFaultOrPlannedWork(base::Instant from, base::Instant to) const;
  std::size_t faults() const { return Faults.size(); }
  /// Returns how many faults of gateways, and restarts of them, were active at
  /// any time in [from, to]. A fault of all gateways counts as all of them.
  int gatewayFaults(base::Instant from, base::Instant to, int gateways) const;

  /// Records that a server starts to work on an attempt.
  void recordStart(const std::string &attempt, const std::string &server,
                   bool isIdempotent);
  /// Records that a request ended a server, and reports a violation if it has
  /// ended more than three, and one for each gateway that was killed, paused
  /// or restarted meanwhile.
  void recordServerEnd(const std::string &path, const std::string &server,
                       int gateways);
  /// Records that a caller received a response that states that the attempt did
  /// not run and never will.
  void recordNotRun(const std::string &attempt);
  bool hasStarted(const std::string &attempt) const {
    return Executions.contains(attempt);
  }

  /// Reports a violation if an attempt reached a server more than
  /// `LeavePropagationTime` after the store had accepted that it is leaving,
  /// and no unplanned fault was active.
  void recordStartAfterLeaving(const std::string &attempt,
                               const std::string &server, base::Instant since);

  /// Returns the id of the server at an address; empty if none is up there.
  std::function<std::string(const std::string &address)> ServerAt;

  /// Counts and prints a violated promise.
  void recordViolation(std::string_view promise,
                       const std::string &description);
  std::size_t violations() const { return Violations; }

  /// Prints a line prefixed with the seconds since the start.
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
  /// Times of the servers' ends by the path of the request.
  std::map<std::string, std::vector<base::Instant>> ServerEnds;
  std::size_t Violations = 0;
};

} // namespace drumlanding::soak

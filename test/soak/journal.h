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
struct Run {
  std::string Server;
  base::Instant StartedAt{};
};

class Journal {
public:
  Journal() : StartedAt(now()) {}

  /// A server that leaves gets nothing new after this, as the gateways' flag
  /// --drain_ms says, and a little for what is on its way.
  static constexpr base::milliseconds LeaveBound{1'300};
  /// Trouble is over for a gateway when there was none for so long.
  static constexpr base::milliseconds CalmAfter{3'000};

  static base::Instant now() { return base::SystemClock().now().Steady; }

  /// Notes a fault that holds from now on, and returns its number.
  std::size_t beginFault(std::string what, bool isPlanned);
  void endFault(std::size_t number);
  /// True when an unplanned fault held at any time of [from, to].
  bool hasFault(base::Instant from, base::Instant to) const;
  /// The same, with planned work.
  bool hasAnything(base::Instant from, base::Instant to) const;
  std::size_t faults() const { return Faults.size(); }

  /// Notes that a server begins to work on an attempt.
  void began(const std::string &attempt, const std::string &server,
             bool mayRepeat);
  /// Notes that a caller was told that an attempt did not run, and never will.
  void promisedNotRun(const std::string &attempt);
  bool hasRun(const std::string &attempt) const {
    return Runs.contains(attempt);
  }

  /// Notes work that came to a server after the store had taken that it leaves;
  /// a breach when nothing but planned work went on.
  void workAfterLeaving(const std::string &attempt, const std::string &server,
                        base::Instant since);

  /// Which server is at an address; empty when none is up there.
  std::function<std::string(const std::string &address)> ServerAt;

  void broken(std::string_view promise, const std::string &what);
  std::size_t violations() const { return Violations; }

  /// Prints a line with the seconds since the start.
  void print(const std::string &line) const;

private:
  struct Fault {
    std::string What;
    bool IsPlanned = false;
    base::Instant From{};
    base::Instant To = base::Instant::max();
  };

  base::Instant StartedAt;
  std::vector<Fault> Faults;
  std::map<std::string, std::vector<Run>> Runs;
  std::map<std::string, base::Instant> Promised;
  std::size_t Violations = 0;
};

} // namespace drumlanding::soak

#include "journal.h"

#include <algorithm>
#include <cstdio>

namespace drumlanding::soak {

std::size_t Journal::beginFault(std::string what, bool isPlanned) {
  print("fault " + what);
  Faults.push_back({std::move(what), isPlanned, now()});
  return Faults.size() - 1;
}

void Journal::endFault(std::size_t number) {
  Faults[number].To = now();
  print("ended " + Faults[number].What);
}

bool Journal::hasFault(base::Instant from, base::Instant to) const {
  return std::any_of(Faults.begin(), Faults.end(), [&](const Fault &fault) {
    return !fault.IsPlanned && fault.From <= to && fault.To >= from;
  });
}

bool Journal::hasAnything(base::Instant from, base::Instant to) const {
  return std::any_of(Faults.begin(), Faults.end(), [&](const Fault &fault) {
    return fault.From <= to && fault.To >= from;
  });
}

void Journal::began(const std::string &attempt, const std::string &server,
                    bool mayRepeat) {
  std::vector<Run> &runs = Runs[attempt];
  runs.push_back({server, now()});
  if (runs.size() > 1 && !mayRepeat)
    broken("runs at most once",
           attempt + " ran on " + runs[0].Server + " and on " + server);
  if (Promised.contains(attempt))
    broken("not run is true", attempt + " runs on " + server +
                                  " after its caller was told that it did not");
}

void Journal::promisedNotRun(const std::string &attempt) {
  Promised[attempt] = now();
  if (const auto it = Runs.find(attempt); it != Runs.end())
    broken("not run is true", attempt + " had run on " + it->second[0].Server);
}

void Journal::workAfterLeaving(const std::string &attempt,
                               const std::string &server, base::Instant since) {
  const base::Instant at = now();
  if (at - since > LeaveBound && !hasFault(since - CalmAfter, at))
    broken("no work for a leaving server",
           attempt + " came to " + server + " " +
               std::to_string(base::toMs(at - since)) + " ms after");
}

void Journal::broken(std::string_view promise, const std::string &what) {
  ++Violations;
  print("BROKEN " + std::string(promise) + ": " + what);
}

void Journal::print(const std::string &line) const {
  const auto ms = base::toMs(now() - StartedAt);
  std::printf("%8.3f %s\n", static_cast<double>(ms) / 1000, line.c_str());
  std::fflush(stdout);
}

} // namespace drumlanding::soak

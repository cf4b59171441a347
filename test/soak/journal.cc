#include "journal.h"

#include <algorithm>
#include <cstdio>

namespace drumlanding::soak {

std::size_t Journal::beginFault(std::string description, bool isPlanned) {
  print("fault " + description);
  Faults.push_back({std::move(description), isPlanned, now()});
  return Faults.size() - 1;
}

void Journal::endFault(std::size_t number) {
  Faults[number].To = now();
  print("ended " + Faults[number].Description);
}

bool Journal::hasUnplannedFault(base::Instant from, base::Instant to) const {
  return std::any_of(Faults.begin(), Faults.end(), [&](const Fault &fault) {
    return !fault.IsPlanned && fault.From <= to && fault.To >= from;
  });
}

bool Journal::hasFaultOrPlannedWork(base::Instant from,
                                    base::Instant to) const {
  return std::any_of(Faults.begin(), Faults.end(), [&](const Fault &fault) {
    return fault.From <= to && fault.To >= from;
  });
}

int Journal::gatewayFaults(base::Instant from, base::Instant to,
                           int gateways) const {
  int count = 0;
  for (const Fault &fault : Faults) {
    if (fault.From > to || fault.To < from)
      continue;
    const std::string &name = fault.Description;
    if (name == "kill all gateways")
      count += gateways;
    else if (name == "kill a gateway" || name == "pause a gateway" ||
             name == "restart a gateway")
      ++count;
  }
  return count;
}

void Journal::recordServerEnd(const std::string &path,
                              const std::string &server, int gateways) {
  constexpr std::size_t MaxEnds = 3;
  std::vector<base::Instant> &ends = ServerEnds[path];
  ends.push_back(now());
  const int returned =
      gatewayFaults(ends.front() - RecoveryTime, ends.back(), gateways);
  if (ends.size() > MaxEnds + static_cast<std::size_t>(returned))
    recordViolation("a request ends three servers at most",
                    path + " ended " + std::to_string(ends.size()) +
                        ", the last one " + server);
}

void Journal::recordStart(const std::string &attempt, const std::string &server,
                          bool isIdempotent) {
  std::vector<Execution> &executions = Executions[attempt];
  executions.push_back({server, now()});
  if (executions.size() > 1 && !isIdempotent)
    recordViolation("runs at most once", attempt + " ran on " +
                                             executions[0].Server + " and on " +
                                             server);
  if (ReportedNotRun.contains(attempt))
    recordViolation("not run is true",
                    attempt + " runs on " + server +
                        " after its caller received a not-run response");
}

void Journal::recordNotRun(const std::string &attempt) {
  ReportedNotRun[attempt] = now();
  if (const auto it = Executions.find(attempt); it != Executions.end())
    recordViolation("not run is true",
                    attempt + " had run on " + it->second[0].Server);
}

void Journal::recordStartAfterLeaving(const std::string &attempt,
                                      const std::string &server,
                                      base::Instant since) {
  const base::Instant at = now();
  if (at - since > LeavePropagationTime &&
      !hasUnplannedFault(since - RecoveryTime, at))
    recordViolation("no work for a leaving server",
                    attempt + " reached " + server + " " +
                        std::to_string(base::toMs(at - since)) +
                        " ms after the store accepted that it leaves");
}

void Journal::recordViolation(std::string_view promise,
                              const std::string &description) {
  ++Violations;
  print("BROKEN " + std::string(promise) + ": " + description);
}

void Journal::print(const std::string &line) const {
  const auto ms = base::toMs(now() - StartedAt);
  std::printf("%8.3f %s\n", static_cast<double>(ms) / 1000, line.c_str());
  std::fflush(stdout);
}

} // namespace drumlanding::soak

/// Runs the production scheduler and router against the engine model on a
/// virtual clock and measures the latency that callers would see. It opens no
/// sockets, starts no processes, and does not simulate the rest of a cluster.
///
///   PolicyResult r = simulatePolicy(options);
///   print(r.PreemptionsPerThousand);
#pragma once

#include "drumlanding/agent/scheduler.h"
#include "drumlanding/entry/router.h"
#include "engine-model.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::tools {

enum class PolicyKind {
  Own,         ///< The production scheduler and router.
  Greedy,      ///< Submits every job at once; the engine preempts the newest.
  Reserve,     ///< Reserves a fixed maximum for each generation.
  Oracle,      ///< Own admission, with the true output length of every job.
  RandomRoute, ///< Own admission, random routing.
  LeastLoaded, ///< Own admission, routing to the least reported load.
};

enum class PolicyFault { None, EngineReclaimed, ReportStalled, KvOutage };

enum class LengthSource { Lernwerk, Pwani, Mixed, Drift, File };

struct PolicyOptions {
  PolicyKind Policy = PolicyKind::Own;
  /// Offered tokens as a multiple of the throughput that the engines reach
  /// when overloaded under the greedy baseline.
  double Load = 1;
  /// Tokens per second of one engine at load 1; 0 to measure it first.
  double SaturationTokensPerSecond = 0;
  std::uint64_t Seed = 1;
  LengthSource Lengths = LengthSource::Lernwerk;
  /// Output lengths to draw from with LengthSource::File.
  std::vector<std::uint32_t> FileLengths;
  int EngineCount = 1;
  base::milliseconds ReportLag{500};
  PolicyFault Fault = PolicyFault::None;
  /// Virtual duration of the run, and its beginning that is not measured.
  base::seconds SimulatedTime{600};
  base::seconds WarmUp{60};
  int OrganisationCount = 10;
  /// The first organisation multiplies its request rate by this in the second
  /// half.
  double BurstFactor = 1;
  /// Index of the only organisation to measure; -1 for all, -2 for all except
  /// the first, whose rate BurstFactor multiplies.
  int MeasuredOrganisation = -1;
  double StallWeight = 1;
  double GapWeight = 1;
  /// Requests with a longer predicted wait are refused.
  base::milliseconds MaxQueueWait{20'000};
  agent::SchedulerOptions Scheduling;
  EngineOptions Engine;
  /// Fraction of the prompts that share a prefix, and the number of prefixes.
  double SharedPrefixFraction = 0.5;
  int PrefixCount = 40;
};

struct PolicyResult {
  std::uint64_t Requests = 0;
  std::uint64_t Refused = 0;
  double PreemptionsPerThousand = 0;
  /// Sum of the token gaps in which a request was yielded or preempted, divided
  /// by the number of requests.
  double StallMsPerRequest = 0;
  double MaxStallS = 0;
  double GapP50Ms = 0;
  double GapP99Ms = 0;
  double GapP999Ms = 0;
  double FirstTokenP95Ms = 0;
  double TokensPerSecond = 0;
  /// Jain's fairness index of the organisations' tokens per share.
  double Fairness = 0;
};

PolicyResult simulatePolicy(const PolicyOptions &options);

/// Measures PolicyOptions::SaturationTokensPerSecond with one engine under the
/// greedy baseline.
double saturatedTokensPerSecond(const PolicyOptions &options);

std::string_view toString(PolicyKind kind);
std::string_view toString(LengthSource source);

} // namespace drumlanding::tools

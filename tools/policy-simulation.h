/// Policy run: drives the real scheduler and router against the engine model
/// on a virtual clock, and measures what callers would feel. No sockets and no
/// processes; small, and not a simulator of a cluster.
///
///   PolicyResult r = runPolicy(options);
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
  Own,
  Greedy,      ///< Everything to the engine at once; newest preempted first.
  Reserve,     ///< A fixed maximum for each generation.
  Oracle,      ///< Knows every length.
  RandomRoute, ///< Own admission, random routing.
  LeastLoaded, ///< Own admission, least reported load.
};

enum class PolicyFault { None, EngineReclaimed, ReportStalled, KvOutage };

enum class LengthSource { Lernwerk, Pwani, Mixed, Drift, File };

struct PolicyOptions {
  PolicyKind Policy = PolicyKind::Own;
  /// Offered tokens as a part of what the engines produce on their own when
  /// they are offered more than they can take (the greedy baseline).
  double Load = 1;
  /// Tokens a second of load 1 for one engine; 0 measures it first.
  double SaturationTokensPerSecond = 0;
  std::uint64_t Seed = 1;
  LengthSource Lengths = LengthSource::Lernwerk;
  /// Output lengths of LengthSource::File.
  std::vector<std::uint32_t> FileLengths;
  int EngineCount = 1;
  base::milliseconds ReportLag{500};
  PolicyFault Fault = PolicyFault::None;
  /// Virtual time in which requests arrive, and the part that is not measured.
  base::seconds ArrivalTime{600};
  base::seconds WarmUp{60};
  int OrganisationCount = 10;
  /// One organisation sends this many times its part, from the middle on.
  double BurstFactor = 1;
  /// The organisation whose figures are given; -1 for all, -2 for all but the
  /// one that bursts.
  int MeasuredOrganisation = -1;
  double StallWeight = 1;
  double GapWeight = 1;
  /// Requests are refused when their predicted wait is longer.
  base::milliseconds MaxQueueWait{20'000};
  agent::SchedulerOptions Scheduling;
  EngineOptions Engine;
  /// Part of the prompts that share a beginning, and how many beginnings.
  double SharedPrefixFraction = 0.5;
  int PrefixCount = 40;
};

struct PolicyResult {
  std::uint64_t Requests = 0;
  std::uint64_t Refused = 0;
  double PreemptionsPerThousand = 0;
  /// Time off the engine between two tokens, for each request.
  double StallMsPerRequest = 0;
  double MaxStallS = 0;
  double GapP50Ms = 0;
  double GapP99Ms = 0;
  double GapP999Ms = 0;
  double FirstTokenP95Ms = 0;
  double TokensPerSecond = 0;
  /// Jain's index over the organisations' tokens per share.
  double Fairness = 0;
};

PolicyResult simulatePolicy(const PolicyOptions &options);

/// Measures PolicyOptions::Saturation.
double saturatedTokensPerSecond(const PolicyOptions &options);

std::string_view toString(PolicyKind kind);
std::string_view toString(LengthSource source);

} // namespace drumlanding::tools

// policy-bench: compares the scheduling and routing policy with baselines on a
// virtual clock. Prints one line of ratios, own policy to greedy, for each
// combination of lengths, load and seed.
#include "policy-simulation.h"

#include "drumlanding/base/settings.h"

#include <cstdio>
#include <fstream>
#include <future>
#include <gflags/gflags.h>
#include <map>

DEFINE_string(policy, "all",
              "[what] own, greedy, reserve, oracle, random-route, "
              "least-loaded, or all");
DEFINE_string(
    load, "1.0",
    "[what] loads, as multiples of the saturated throughput, separated "
    "by commas");
DEFINE_string(seed, "1", "[what] seeds, separated by commas");
DEFINE_string(lengths, "lernwerk",
              "[what] lernwerk, pwani, mixed, drift, or a file with one "
              "output length per line; several separated by commas");
DEFINE_int32(engines, 1, "[what] number of engines, 1 to 64");
DEFINE_int32(report_lag, 500, "[what] delay of the load reports, milliseconds");
DEFINE_string(fault, "none",
              "[what] none, engine-reclaimed, report-stalled, kv-outage");
DEFINE_int32(time, 600, "[what] virtual duration in seconds");
DEFINE_double(burst, 1,
              "[what] factor on the request rate of the first "
              "organisation in the second half");
DEFINE_int32(only_organisation, -1,
             "[what] index of the only organisation to measure; -1 for all, "
             "-2 for all except the first, which --burst applies to");
DEFINE_double(stall_weight, 1, "[contract] weight of stalls");
DEFINE_double(gap_weight, 1, "[contract] weight of gaps");
DEFINE_double(risk, -1, "[policy] risk factor; -1 for the default");
DEFINE_double(risk_per_yield, -1,
              "[policy] risk added by a yield; -1 for "
              "the default");
DEFINE_double(overdrawn, -1,
              "[policy] fraction of the capacity for organisations above "
              "their share; -1 for the default");
DEFINE_int32(horizon, -1,
             "[policy] maximum horizon in tokens; -1 for the "
             "default");
DEFINE_int32(step_target, -1,
             "[policy] step target in milliseconds; -1 for the default");
DEFINE_string(csv, "", "[output] CSV file to write; empty for none");
DEFINE_bool(ratios_only, false, "[output] print only the lines of ratios");

namespace {

using namespace drumlanding;
using namespace drumlanding::tools;

constexpr std::string_view Flags[] = {"policy",       "load",
                                      "seed",         "lengths",
                                      "engines",      "report_lag",
                                      "fault",        "time",
                                      "burst",        "only_organisation",
                                      "stall_weight", "gap_weight",
                                      "risk",         "risk_per_yield",
                                      "overdrawn",    "horizon",
                                      "step_target",  "csv",
                                      "ratios_only"};

constexpr PolicyKind Policies[] = {
    PolicyKind::Greedy,      PolicyKind::Reserve, PolicyKind::RandomRoute,
    PolicyKind::LeastLoaded, PolicyKind::Oracle,  PolicyKind::Own};

double parseNumber(const std::string &flag, const std::string &text) {
  try {
    return std::stod(text);
  } catch (const std::exception &) {
    base::exitOnBadSettings(
        base::invalid(flag, "value '" + text + "' is not a number"));
  }
}

void setLengths(PolicyOptions &o, const std::string &name) {
  for (LengthSource source : {LengthSource::Lernwerk, LengthSource::Pwani,
                              LengthSource::Mixed, LengthSource::Drift})
    if (name == toString(source)) {
      o.Lengths = source;
      return;
    }
  o.Lengths = LengthSource::File;
  std::ifstream file(name);
  std::uint32_t length = 0;
  while (file >> length)
    o.FileLengths.push_back(std::max(length, 1U));
  if (o.FileLengths.empty())
    base::exitOnBadSettings(base::invalid(
        "--lengths", "expected lernwerk, pwani, mixed, drift or a file with "
                     "one length per line, got '" +
                         name + "'"));
}

PolicyOptions makeOptions(const std::string &lengths) {
  PolicyOptions o;
  setLengths(o, lengths);
  if (FLAGS_engines < 1 || FLAGS_engines > 64)
    base::exitOnBadSettings(
        base::invalid("--engines", "must be between 1 and 64"));
  o.EngineCount = FLAGS_engines;
  o.ReportLag = base::milliseconds(FLAGS_report_lag);
  o.SimulatedTime = base::seconds(FLAGS_time);
  o.BurstFactor = FLAGS_burst;
  o.MeasuredOrganisation = FLAGS_only_organisation;
  o.StallWeight = FLAGS_stall_weight;
  o.GapWeight = FLAGS_gap_weight;
  if (FLAGS_risk >= 0)
    o.Scheduling.RiskFactor = FLAGS_risk;
  if (FLAGS_risk_per_yield >= 0)
    o.Scheduling.RiskPerYield = FLAGS_risk_per_yield;
  if (FLAGS_overdrawn >= 0)
    o.Scheduling.OverShareCapacityFraction = FLAGS_overdrawn;
  if (FLAGS_horizon >= 0)
    o.Scheduling.MaxHorizon = static_cast<std::uint32_t>(FLAGS_horizon);
  if (FLAGS_step_target >= 0)
    o.Scheduling.StepTarget = base::milliseconds(FLAGS_step_target);
  const std::map<std::string, PolicyFault> faults = {
      {"none", PolicyFault::None},
      {"engine-reclaimed", PolicyFault::EngineReclaimed},
      {"report-stalled", PolicyFault::ReportStalled},
      {"kv-outage", PolicyFault::KvOutage}};
  const auto it = faults.find(FLAGS_fault);
  if (it == faults.end())
    base::exitOnBadSettings(base::invalid(
        "--fault", "unknown fault '" + FLAGS_fault + "'; see --help"));
  o.Fault = it->second;
  return o;
}

/// The runs and results of all policies for one load, seed and length source.
struct BenchCase {
  std::string Lengths;
  double Load = 0;
  std::uint64_t Seed = 0;
  std::map<PolicyKind, std::future<PolicyResult>> Running;
  std::map<PolicyKind, PolicyResult> Results;
};

void printRow(const BenchCase &c, PolicyKind kind, std::FILE *out,
              const char *format) {
  const PolicyResult &r = c.Results.at(kind);
  std::fprintf(out, format, c.Lengths.c_str(), c.Load,
               static_cast<unsigned long long>(c.Seed),
               std::string(toString(kind)).c_str(), r.PreemptionsPerThousand,
               r.StallMsPerRequest, r.MaxStallS, r.GapP50Ms, r.GapP99Ms,
               r.GapP999Ms, r.FirstTokenP95Ms, r.TokensPerSecond,
               static_cast<unsigned long long>(r.Refused), r.Fairness);
}

double ratio(double a, double b) {
  if (b == 0)
    return a == 0 ? 0 : 999;
  return a / b;
}

void printRatios(const BenchCase &c) {
  if (!c.Results.contains(PolicyKind::Own) ||
      !c.Results.contains(PolicyKind::Greedy))
    return;
  const PolicyResult &own = c.Results.at(PolicyKind::Own);
  const PolicyResult &greedy = c.Results.at(PolicyKind::Greedy);
  const double oracle =
      c.Results.contains(PolicyKind::Oracle)
          ? ratio(own.TokensPerSecond,
                  c.Results.at(PolicyKind::Oracle).TokensPerSecond)
          : 0;
  std::printf("ratio preemptions=%.4f stall=%.4f gap_p99=%.3f gap_p999=%.3f "
              "tokens=%.3f tokens_of_oracle=%.3f longest_stall_s=%.2f "
              "lengths=%s load=%.2f seed=%llu\n",
              ratio(own.PreemptionsPerThousand, greedy.PreemptionsPerThousand),
              ratio(own.StallMsPerRequest, greedy.StallMsPerRequest),
              ratio(own.GapP99Ms, greedy.GapP99Ms),
              ratio(own.GapP999Ms, greedy.GapP999Ms),
              ratio(own.TokensPerSecond, greedy.TokensPerSecond), oracle,
              own.MaxStallS, c.Lengths.c_str(), c.Load,
              static_cast<unsigned long long>(c.Seed));
}

std::vector<PolicyKind> selectedPolicies() {
  if (FLAGS_policy == "all")
    return {std::begin(Policies), std::end(Policies)};
  for (PolicyKind kind : Policies)
    if (FLAGS_policy == toString(kind))
      return {kind};
  base::exitOnBadSettings(base::invalid(
      "--policy", "unknown policy '" + FLAGS_policy + "'; see --help"));
}

std::vector<BenchCase> makeBenchCases() {
  std::vector<BenchCase> cases;
  for (const std::string &lengths : base::splitList(FLAGS_lengths))
    for (const std::string &load : base::splitList(FLAGS_load))
      for (const std::string &seed : base::splitList(FLAGS_seed)) {
        BenchCase c;
        c.Lengths = lengths;
        c.Load = parseNumber("--load", load);
        c.Seed = static_cast<std::uint64_t>(parseNumber("--seed", seed));
        cases.push_back(std::move(c));
      }
  return cases;
}

} // namespace

int main(int argc, char **argv) {
  const auto read = base::readSettings(
      argc, argv, "policy-bench: compares policies on a virtual clock", Flags);
  if (!ok(read))
    base::exitOnBadSettings(error(read));
  std::vector<BenchCase> cases = makeBenchCases();
  for (BenchCase &c : cases)
    for (PolicyKind kind : selectedPolicies()) {
      PolicyOptions o = makeOptions(c.Lengths);
      o.Policy = kind;
      o.Load = c.Load;
      o.Seed = c.Seed;
      c.Running[kind] =
          std::async(std::launch::async, [o] { return simulatePolicy(o); });
    }
  std::FILE *csv =
      FLAGS_csv.empty() ? nullptr : std::fopen(FLAGS_csv.c_str(), "w");
  constexpr const char *CsvRow =
      "%s,%.2f,%llu,%s,%.3f,%.3f,%.3f,%.2f,%.2f,%.2f,%.1f,%.1f,%llu,%.4f\n";
  constexpr const char *TableRow =
      "%-9s %4.2f %4llu %-12s %9.2f %9.2f %8.2f %7.1f %7.1f %7.1f %8.0f "
      "%8.0f %7llu %8.3f\n";
  if (csv)
    std::fprintf(csv, "lengths,load,seed,policy,preemptions_per_1000,"
                      "stall_ms_per_request,longest_stall_s,gap_p50_ms,"
                      "gap_p99_ms,gap_p999_ms,first_token_p95_ms,"
                      "tokens_per_s,refused,fairness\n");
  if (!FLAGS_ratios_only)
    std::printf("%-9s %4s %4s %-12s %9s %9s %8s %7s %7s %7s %8s %8s %7s "
                "%8s\n",
                "lengths", "load", "seed", "policy", "preempt/k", "stall ms",
                "longest", "gap50", "gap99", "gap99.9", "first95", "tokens/s",
                "refused", "fairness");
  for (BenchCase &c : cases) {
    for (PolicyKind kind : selectedPolicies()) {
      c.Results[kind] = c.Running.at(kind).get();
      if (!FLAGS_ratios_only)
        printRow(c, kind, stdout, TableRow);
      if (csv)
        printRow(c, kind, csv, CsvRow);
    }
    if (cases.size() > 1)
      printRatios(c);
  }
  if (csv)
    std::fclose(csv);
  if (cases.size() == 1)
    printRatios(cases.front());
  return 0;
}

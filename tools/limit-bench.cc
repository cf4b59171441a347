// Compares ways to keep one server's limit over many gateways: the product's
// ServerLimits, and an equal share of the limit for each gateway. Prints how
// much of the limit is used and the most requests in four seconds.
//
//   limit-bench --limit 3 --demand 20 --seconds 60
#include "drumlanding/base/hash.h"
#include "drumlanding/gateway/server-limits.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <gflags/gflags.h>
#include <memory>
#include <queue>

DEFINE_double(limit, 3, "requests a second that the server takes");
DEFINE_double(demand, 20, "requests a second of each gateway");
DEFINE_double(busy, 1, "fraction of the gateways that have any requests");
DEFINE_int32(seconds, 60, "simulated time");
DEFINE_double(loss, 0.01, "fraction of the reports that are lost");
DEFINE_int32(delay_ms, 10, "longest time that a report takes");
DEFINE_uint64(seed, 1, "random seed");

namespace {

using namespace drumlanding;
using base::Instant;
using base::milliseconds;
using base::seconds;
using gateway::LimitReport;
using gateway::ServerLimits;

constexpr milliseconds Step{1};
constexpr milliseconds FullReportInterval{500};
constexpr seconds Window{4};
/// The measured part begins when the limit has been known for a while.
constexpr seconds WarmUp{3};
const gateway::ServerInstance TheServer{"s1", milliseconds(1)};

enum class Fault {
  None,
  NobodyHears,  ///< No report arrives in the second third of the time.
  HalvesApart,  ///< Two halves do not hear each other in that time.
  Freeze,       ///< A tenth of the gateways freeze in that time.
  DemandReturns ///< No requests in that time.
};

struct Scenario {
  int Gateways = 3;
  bool HasReports = true;
  Fault Disturbance = Fault::None;
};

struct Result {
  double UsedFraction = 0;
  int MostInWindow = 0;
};

struct Delivery {
  Instant At;
  int From;
  int To;
  LimitReport Report;
  bool operator>(const Delivery &other) const { return At > other.At; }
};

class Simulation {
public:
  explicit Simulation(const Scenario &scenario)
      : S(scenario), Random(FLAGS_seed), LastHeard(S.Gateways) {
    for (int i = 0; i < S.Gateways; ++i) {
      Gateways.push_back(std::make_unique<ServerLimits>(Random.unit()));
      LastHeard[i].resize(S.Gateways, Now);
      Gateways[i]->AvailableShare = [this, i](Instant) { return share(i); };
      Gateways[i]->recordResponse(Now, {TheServer, Now, FLAGS_limit});
    }
  }

  Result run() {
    const Instant start = Now;
    const Instant end = start + seconds(FLAGS_seconds);
    for (; Now < end; Now += Step) {
      const double third = 3.0 * static_cast<double>((Now - start).count()) /
                           static_cast<double>((end - start).count());
      IsDisturbed = third >= 1 && third < 2;
      deliver();
      for (int i = 0; i < S.Gateways; ++i)
        step(i);
    }
    Result result;
    result.UsedFraction =
        static_cast<double>(Sends.size()) / (FLAGS_limit * FLAGS_seconds);
    auto last = Sends.begin();
    for (auto first = Sends.begin(); first != Sends.end(); ++first) {
      while (last != Sends.end() && *last < *first + Window)
        ++last;
      if (*first >= start + WarmUp)
        result.MostInWindow =
            std::max(result.MostInWindow, static_cast<int>(last - first));
    }
    return result;
  }

private:
  bool isFrozen(int i) const {
    return IsDisturbed && S.Disturbance == Fault::Freeze && i % 10 == 0;
  }

  bool hears(int to, int from) const {
    if (!IsDisturbed)
      return true;
    if (S.Disturbance == Fault::NobodyHears)
      return false;
    return S.Disturbance != Fault::HalvesApart || to % 2 == from % 2;
  }

  /// The share of the gateways that were heard lately.
  double share(int i) const {
    constexpr milliseconds MaxSilence{1'000};
    if (!S.HasReports)
      return 1.0 / S.Gateways;
    const auto heard =
        std::count_if(LastHeard[i].begin(), LastHeard[i].end(),
                      [&](Instant at) { return Now - at < MaxSilence; });
    return static_cast<double>(heard) / S.Gateways;
  }

  void deliver() {
    while (!InTransit.empty() && InTransit.top().At <= Now) {
      const Delivery d = InTransit.top();
      InTransit.pop();
      if (isFrozen(d.To))
        continue;
      LastHeard[d.To][d.From] = Now;
      Gateways[d.To]->applyReport(Now, {std::to_string(d.From), 1}, d.Report);
    }
  }

  void step(int i) {
    if (isFrozen(i))
      return;
    LastHeard[i][i] = Now;
    const bool hasDemand =
        i < FLAGS_busy * S.Gateways &&
        !(IsDisturbed && S.Disturbance == Fault::DemandReturns);
    constexpr double StepsPerSecond = seconds(1) / Step;
    if (hasDemand && Random.chance(FLAGS_demand / StepsPerSecond) &&
        Gateways[i]->hasRoom(Now, TheServer.Id)) {
      Gateways[i]->recordSend(Now, TheServer.Id);
      Sends.push_back(Now);
    }
    const auto sinceStart = Now.time_since_epoch() / Step;
    const bool isFullReport =
        (sinceStart + i) % (FullReportInterval / Step) == 0;
    const auto reports = isFullReport ? Gateways[i]->reports(Now)
                                      : Gateways[i]->takeChangedReports(Now);
    for (const LimitReport &report : reports)
      broadcast(i, report);
  }

  void broadcast(int from, const LimitReport &report) {
    if (!S.HasReports)
      return;
    for (int to = 0; to < S.Gateways; ++to) {
      if (to == from || !hears(to, from) || Random.chance(FLAGS_loss))
        continue;
      const milliseconds delay(1 +
                               static_cast<int>(Random.below(FLAGS_delay_ms)));
      InTransit.push({Now + delay, from, to, report});
    }
  }

  Scenario S;
  base::Random Random;
  Instant Now{std::chrono::hours(1)};
  bool IsDisturbed = false;
  std::vector<std::unique_ptr<ServerLimits>> Gateways;
  std::vector<std::vector<Instant>> LastHeard;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>>
      InTransit;
  std::deque<Instant> Sends;
};

void print(const char *name, Scenario scenario) {
  for (const int gateways : {3, 30, 300}) {
    scenario.Gateways = gateways;
    const Result r = Simulation(scenario).run();
    std::printf("%-28s %4d gateways  used %5.2f  most in 4 s %4d\n", name,
                gateways, r.UsedFraction, r.MostInWindow);
  }
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("allowed in 4 s: %d\n", static_cast<int>(6 * FLAGS_limit) + 5);
  print("reports", {.HasReports = true});
  print("equal shares", {.HasReports = false});
  print("reports, nobody hears", {.Disturbance = Fault::NobodyHears});
  print("reports, halves apart", {.Disturbance = Fault::HalvesApart});
  print("reports, a tenth freezes", {.Disturbance = Fault::Freeze});
  print("reports, demand returns", {.Disturbance = Fault::DemandReturns});
  return 0;
}

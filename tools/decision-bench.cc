// decision-bench: measures the CPU time of admission, token accounting, routing
// and the quarantine at two sizes each (Google Benchmark).
#include "drumlanding/agent/scheduler.h"
#include "drumlanding/entry/router.h"
#include "drumlanding/gateway/quarantine.h"

#include <benchmark/benchmark.h>

namespace {

using namespace drumlanding;
using namespace std::chrono_literals;

/// Admits one generation while `n` others run, and removes it.
void admission(benchmark::State &state) {
  const auto running = static_cast<std::uint64_t>(state.range(0));
  agent::SchedulerOptions options;
  options.CapacityTokens = running * 2'000;
  options.StepTarget = base::milliseconds(0);
  agent::Scheduler s(options);
  const base::Instant now(1h);
  agent::JobSpec spec;
  spec.MaxTokens = 20'000;
  spec.PromptTokens = 300;
  for (std::uint64_t id = 1; id <= running; ++id) {
    spec.Organisation = "o" + std::to_string(id % 10);
    s.add(now, id, spec);
  }
  for (agent::JobId id : s.decide(now).Start)
    s.recordTokens(now, id, 5);
  std::uint64_t id = running;
  for (auto _ : state) {
    s.add(now, ++id, spec);
    benchmark::DoNotOptimize(s.decide(now));
    s.remove(now, id, false);
  }
}
BENCHMARK(admission)->Arg(256)->Arg(2'560);

/// Records one token for one of `n` running generations.
void token(benchmark::State &state) {
  const auto running = static_cast<std::uint64_t>(state.range(0));
  agent::SchedulerOptions options;
  options.CapacityTokens = 1'000'000'000;
  options.StepTarget = base::milliseconds(0);
  agent::Scheduler s(options);
  const base::Instant now(1h);
  agent::JobSpec spec;
  spec.Organisation = "o";
  spec.MaxTokens = 2'000'000'000;
  for (std::uint64_t id = 1; id <= running; ++id)
    s.add(now, id, spec);
  s.decide(now);
  std::uint64_t id = 0;
  for (auto _ : state)
    s.recordTokens(now, 1 + (id++ % running), 1);
}
BENCHMARK(token)->Arg(256)->Arg(2'560);

/// Routes one request among `n` candidate servers.
void route(benchmark::State &state) {
  const entry::Router router({});
  base::Random random(1);
  const base::Instant now(1h);
  std::vector<entry::ServerView> views(
      static_cast<std::size_t>(state.range(0)));
  for (std::size_t i = 0; i < views.size(); ++i)
    views[i] = {
        base::mix64(i, 3), true, 1.5, 20'000 + i * 7, 60'000, 0, now, 0};
  std::uint64_t prefix = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(
        router.choose(views, {++prefix, 600}, now, random));
}
BENCHMARK(route)->Arg(120)->Arg(1'200);

/// Computes the fingerprint of a request with a body of `n` bytes.
void fingerprint(benchmark::State &state) {
  gateway::CallerRequest request;
  request.Http.Method = "POST";
  request.Http.Target = "/generations/7f";
  request.Body = std::make_shared<const std::string>(
      static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state)
    benchmark::DoNotOptimize(gateway::makeFingerprint(request, "tutors"));
}
BENCHMARK(fingerprint)->Arg(800)->Arg(6'000);

gateway::Quarantine makeSuspects(benchmark::State &state, base::Instant now) {
  gateway::Quarantine q(base::Random(1));
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    gateway::UnansweredRequest unanswered;
    unanswered.Fingerprint.Digest = {static_cast<std::uint8_t>(i),
                                     static_cast<std::uint8_t>(i >> 8)};
    unanswered.Server = {"s" + std::to_string(i), 1ms};
    q.recordEnd(now, unanswered);
  }
  return q;
}

/// Looks up a request among `n` suspects.
void suspectLookup(benchmark::State &state) {
  const base::Instant now(1h);
  const gateway::Quarantine q = makeSuspects(state, now);
  const gateway::RequestFingerprint unknown;
  for (auto _ : state)
    benchmark::DoNotOptimize(q.state(now, unknown));
}
BENCHMARK(suspectLookup)->Arg(32)->Arg(1'024);

/// Makes the reports for the other gateways with `n` suspects.
void suspectReports(benchmark::State &state) {
  const base::Instant now(1h);
  const gateway::Quarantine q = makeSuspects(state, now);
  for (auto _ : state)
    benchmark::DoNotOptimize(q.reports(now));
}
BENCHMARK(suspectReports)->Arg(32)->Arg(1'024);

} // namespace

BENCHMARK_MAIN();

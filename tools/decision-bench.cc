// decision-bench: measures the CPU time of admission, token accounting and
// routing at two sizes each (Google Benchmark).
#include "drumlanding/agent/scheduler.h"
#include "drumlanding/entry/router.h"

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

} // namespace

BENCHMARK_MAIN();

/// Plan leader: the entry that holds the lease writes the plans. The lease only
/// avoids duplicate work. The compare-and-swap of the plan ensures safety: a
/// leader that was paused until its lease expired fails there.
#pragma once

#include "drumlanding/plan/plan.h"
#include "platform/client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace drumlanding::entry {

/// The input of a plan.
struct PlanInput {
  std::shared_ptr<const bundle::Bundle> Bundle;
  std::vector<plan::PlannedServer> Servers;
  /// True when every usable server has loaded the models that the current plan
  /// assigns to it, so that the next plan may change another server.
  bool IsConverged = true;
};

/// Returns true when a report lists every model of an assignment, with its
/// version and adapters.
bool reportsAllModels(const wire::Report &report,
                      const plan::Assignment &assigned);

class PlanLeader {
public:
  using InputProvider = std::function<std::optional<PlanInput>()>;

  PlanLeader(const platform::Client &platform, std::string name,
             InputProvider provideInput);

  /// Never returns: acquires the lease when it is free, and writes plans while
  /// holding it.
  platform::asio::awaitable<void> run();

private:
  platform::asio::awaitable<void> acquireLease();
  platform::asio::awaitable<void> planOnce();

  const platform::Client &Platform;
  std::string Name;
  InputProvider ProvideInput;
  /// 0 while this entry does not hold the lease.
  std::uint64_t LeaseId = 0;
};

} // namespace drumlanding::entry

/// Plan keeper: the one entry that holds the lease makes the next plan. The
/// lease only saves work done twice: what counts is the compare-and-swap, so a
/// keeper that was paused past its lapse loses there.
#pragma once

#include "drumlanding/plan/plan.h"
#include "platform/client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace drumlanding::entry {

/// What a plan is made from.
struct PlanInput {
  std::shared_ptr<const bundle::Bundle> Bundle;
  std::vector<plan::PlannedServer> Servers;
  /// Every server that reports holds what the plan says: the next may move.
  bool IsConverged = true;
};

/// True when a report lists everything that an assignment names.
bool reportsAllModels(const wire::Report &report,
                      const plan::Assignment &assigned);

class PlanLeader {
public:
  using InputProvider = std::function<std::optional<PlanInput>()>;

  PlanLeader(const platform::Client &platform, std::string name,
             InputProvider provideInput);

  /// Runs for ever: takes the lease when it is free, and plans while it holds.
  platform::asio::awaitable<void> run();

private:
  platform::asio::awaitable<void> acquireLease();
  platform::asio::awaitable<void> planOnce();

  const platform::Client &Platform;
  std::string Name;
  InputProvider ProvideInput;
  /// Empty while another entry holds the lease.
  std::uint64_t LeaseId = 0;
};

} // namespace drumlanding::entry

/// Plan: the models, versions and adapters that each backend server loads. The
/// plan is one document, written by compare-and-swap; its version is the
/// fencing token of every order to an engine.
///
///   Plan next = makePlan(bundle, servers, current);
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/bundle/bundle.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::plan {

/// A model version with its adapters, as loaded by an engine.
struct LoadedModel {
  std::string Model;
  std::string Version;
  std::vector<std::string> Adapters;
  bool operator==(const LoadedModel &) const = default;
};

/// The models that one backend server must load.
struct Assignment {
  std::string Server;
  std::vector<LoadedModel> Models;
  bool operator==(const Assignment &) const = default;
};

struct Plan {
  std::uint64_t Version = 0;
  std::uint64_t BundleVersion = 0;
  /// The entry that wrote the plan, and a random number for this write. They
  /// let a writer whose answer was lost read whether its own swap succeeded.
  std::string Author;
  std::uint64_t Nonce = 0;
  /// Sorted by server name.
  std::vector<Assignment> Assignments;

  const Assignment *assignment(std::string_view server) const;
};

/// The planner's view of a backend server.
struct PlannedServer {
  std::string Name;
  std::string Service;
  bool Leaving = false;
};

/// Returns the next plan. It changes the models of at most `maxChanges` servers
/// that already have an assignment, so that the others continue to serve.
/// Returns `current` with the same version when nothing has to change.
Plan makePlan(const bundle::Bundle &bundle,
              std::span<const PlannedServer> servers, const Plan &current,
              std::size_t maxChanges = 1);

std::string serialise(const Plan &plan);
base::Result<Plan> parsePlan(std::string_view json);

} // namespace drumlanding::plan

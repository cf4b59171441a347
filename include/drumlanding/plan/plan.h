/// Plan: which backend server holds which models, versions and adapters. One
/// document, written by compare-and-swap; its version is the fence of every
/// order to an engine.
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

/// A model as an engine holds it.
struct LoadedModel {
  std::string Model;
  std::string Version;
  std::vector<std::string> Adapters;
  bool operator==(const LoadedModel &) const = default;
};

/// What one backend server must hold.
struct Assignment {
  std::string Server;
  std::vector<LoadedModel> Models;
  bool operator==(const Assignment &) const = default;
};

struct Plan {
  std::uint64_t Version = 0;
  std::uint64_t BundleVersion = 0;
  /// Who wrote it, and a number drawn for this write: a writer whose answer
  /// was lost finds out by reading whether the swap was its own.
  std::string Author;
  std::uint64_t Nonce = 0;
  /// In the order of their servers' names.
  std::vector<Assignment> Assignments;

  const Assignment *assignment(std::string_view server) const;
};

/// A backend server as the planner sees it.
struct PlannedServer {
  std::string Name;
  std::string Service;
  bool Leaving = false;
};

/// Returns the next plan: with as few moves as the bundle allows, and with at
/// most `mostMoves` loaded servers changed, so that the others serve on.
/// Returns `current` with the same version when nothing has to change.
Plan makePlan(const bundle::Bundle &bundle,
              std::span<const PlannedServer> servers, const Plan &current,
              std::size_t maxChanges = 1);

std::string serialise(const Plan &plan);
base::Result<Plan> parsePlan(std::string_view json);

} // namespace drumlanding::plan

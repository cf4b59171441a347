#include "drumlanding/plan/plan.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace drumlanding::plan {
namespace {

using base::Result;
using Json = nlohmann::json;

/// Returns the models that a server of this service should load: the newest
/// version of each of the service's models. During a roll-out some servers
/// still have the previous version.
std::vector<LoadedModel> targetModels(const bundle::Bundle &bundle,
                                      const bundle::Service &service) {
  std::vector<LoadedModel> models;
  for (const std::string &name : service.Models)
    if (const bundle::Model *model = bundle.model(name))
      models.push_back({name, model->Versions.back(), model->Adapters});
  return models;
}

/// Sorts as Plan::assignment requires for its binary search.
void sortByServer(std::vector<Assignment> &assignments) {
  std::sort(assignments.begin(), assignments.end(),
            [](const Assignment &a, const Assignment &b) {
              return a.Server < b.Server;
            });
}

Json toJson(const LoadedModel &m) {
  return {{"model", m.Model}, {"version", m.Version}, {"adapters", m.Adapters}};
}

} // namespace

const Assignment *Plan::assignment(std::string_view server) const {
  const auto it =
      std::lower_bound(Assignments.begin(), Assignments.end(), server,
                       [](const Assignment &a, std::string_view name) {
                         return a.Server < name;
                       });
  const bool isFound = it != Assignments.end() && it->Server == server;
  return isFound ? &*it : nullptr;
}

Plan makePlan(const bundle::Bundle &bundle,
              std::span<const PlannedServer> servers, const Plan &current,
              std::size_t maxChanges) {
  Plan next = current;
  next.Assignments.clear();
  std::size_t changes = 0;
  for (const PlannedServer &server : servers) {
    const bundle::Service *service = bundle.service(server.Service);
    if (!service || service->Kind != bundle::ServiceKind::Engine)
      continue;
    const Assignment *assigned = current.assignment(server.Name);
    Assignment target{server.Name, targetModels(bundle, *service)};
    const bool needsChange = assigned && !(*assigned == target);
    // A leaving server keeps its assignment: loading models on it is wasted
    // work.
    const bool mayChange = changes < maxChanges && !server.Leaving;
    if (needsChange && !mayChange)
      target = *assigned;
    if (needsChange && mayChange)
      ++changes;
    next.Assignments.push_back(std::move(target));
  }
  sortByServer(next.Assignments);
  const bool same = next.Assignments == current.Assignments &&
                    current.BundleVersion == bundle.Version;
  if (same && current.Version > 0)
    return current;
  next.Version = current.Version + 1;
  next.BundleVersion = bundle.Version;
  return next;
}

std::string serialise(const Plan &plan) {
  Json assignments = Json::array();
  for (const Assignment &a : plan.Assignments) {
    Json models = Json::array();
    for (const LoadedModel &m : a.Models)
      models.push_back(toJson(m));
    assignments.push_back({{"server", a.Server}, {"models", models}});
  }
  return Json{{"version", plan.Version},
              {"bundleVersion", plan.BundleVersion},
              {"author", plan.Author},
              {"nonce", plan.Nonce},
              {"assignments", assignments}}
      .dump();
}

Result<Plan> parsePlan(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return base::invalid("plan", "expected a JSON object");
  // Only entries write plans, so a malformed plan is rejected without locating
  // the invalid field.
  try {
    Plan plan;
    plan.Version = json.at("version").get<std::uint64_t>();
    plan.BundleVersion = json.at("bundleVersion").get<std::uint64_t>();
    plan.Author = json.at("author").get<std::string>();
    plan.Nonce = json.at("nonce").get<std::uint64_t>();
    for (const Json &a : json.at("assignments")) {
      Assignment assignment{a.at("server").get<std::string>(), {}};
      for (const Json &m : a.at("models"))
        assignment.Models.push_back(
            {m.at("model").get<std::string>(),
             m.at("version").get<std::string>(),
             m.at("adapters").get<std::vector<std::string>>()});
      plan.Assignments.push_back(std::move(assignment));
    }
    sortByServer(plan.Assignments);
    return plan;
  } catch (const Json::exception &e) {
    return base::invalid("plan", e.what());
  }
}

} // namespace drumlanding::plan

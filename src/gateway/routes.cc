#include "drumlanding/gateway/routes.h"

#include <algorithm>
#include <cctype>

namespace drumlanding::gateway {
namespace {

/// Returns a host in lower case without its port.
std::string normaliseHost(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string normalised(host);
  for (char &c : normalised)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return normalised;
}

bool isLonger(const Route *a, const Route *b) {
  return a->PathPrefix.size() > b->PathPrefix.size();
}

} // namespace

const Service *Config::service(std::string_view name) const {
  const auto it =
      std::find_if(Services.begin(), Services.end(),
                   [&](const Service &s) { return s.Name == name; });
  return it == Services.end() ? nullptr : &*it;
}

RouteTable::RouteTable(Config config) : Current(std::move(config)) {
  for (const Route &route : Current.Routes)
    ByHost[normaliseHost(route.Host)].push_back(&route);
  for (auto &[host, routes] : ByHost)
    std::stable_sort(routes.begin(), routes.end(), isLonger);
  if (!Current.Organisations)
    return;
  for (const Organisation &organisation : *Current.Organisations)
    for (const std::string &key : organisation.Keys)
      // A request without a key has an empty one.
      if (!key.empty())
        ByKey.emplace(key, &organisation);
}

const Route *RouteTable::find(std::string_view host,
                              std::string_view path) const {
  const auto it = ByHost.find(normaliseHost(host));
  if (it == ByHost.end())
    return nullptr;
  for (const Route *route : it->second)
    if (path.starts_with(route->PathPrefix))
      return route;
  return nullptr;
}

const Organisation *RouteTable::organisationOf(const std::string &key) const {
  const auto it = ByKey.find(key);
  return it == ByKey.end() ? nullptr : it->second;
}

std::string_view chooseService(const Route &route, base::Random &random) {
  double total = 0;
  for (const WeightedService &s : route.Services)
    total += std::max(s.Weight, 0.0);
  double remaining = random.unit() * total;
  std::string_view chosen;
  for (const WeightedService &s : route.Services) {
    if (s.Weight <= 0)
      continue;
    chosen = s.Service;
    remaining -= s.Weight;
    if (remaining < 0)
      break;
  }
  return chosen;
}

} // namespace drumlanding::gateway

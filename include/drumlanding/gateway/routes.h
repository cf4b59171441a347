/// Routes: looks up a request's route and organisation in the config.
///
///   RouteTable table(config);
///   const Route *r = table.find("shop.example:80", "/cart/2f");
///   const Organisation *o = table.organisationOf(key);
#pragma once

#include "drumlanding/base/hash.h"
#include "drumlanding/gateway/config.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace drumlanding::gateway {

/// A config and its indexes. Immutable, so that a request keeps the config that
/// it started with.
class RouteTable {
public:
  explicit RouteTable(Config config);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  const Config &config() const { return Current; }

  /// Returns the route with the longest path prefix that matches, or null. The
  /// host is case-insensitive and may include a port.
  const Route *find(std::string_view host, std::string_view path) const;

  /// Returns the organisation that owns a key, or null.
  const Organisation *organisationOf(const std::string &key) const;

  /// Returns true if requests on non-public routes need a key.
  bool needsKeys() const { return Current.Organisations.has_value(); }

private:
  Config Current;
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
  std::unordered_map<std::string, const Organisation *> ByKey;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Picks one of the route's services at random, by weight. Returns an empty
/// name if no service has a positive weight.
std::string_view chooseService(const Route &route, base::Random &random);

} // namespace drumlanding::gateway

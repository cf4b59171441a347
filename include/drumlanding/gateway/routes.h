/// Routes: finds what the config in force says of a request.
///
///   RouteTable table;
///   table.take(config);                          // never an older one
///   const Route *r = table.find("shop.example:80", "/cart/2f");
///   const Organisation *o = table.organisationOf(key);
#pragma once

#include "drumlanding/base/hash.h"
#include "drumlanding/gateway/config.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace drumlanding::gateway {

/// A config and its indexes; never changed, so that a request keeps the one
/// that it began with.
class RouteTable {
public:
  explicit RouteTable(Config config);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  const Config &config() const { return Current; }

  /// Returns the route with the longest prefix that begins the path, or null.
  /// The host may carry a port and any case.
  const Route *find(std::string_view host, std::string_view path) const;

  /// Returns the holder of a key, or null.
  const Organisation *organisationOf(const std::string &key) const;

  /// True when requests need a key, unless their route is public.
  bool needsKeys() const { return !Current.Organisations.empty(); }

private:
  Config Current;
  /// The routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
  std::unordered_map<std::string, const Organisation *> ByKey;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Picks one of the route's services by weight.
std::string_view chooseService(const Route &route, base::Random &random);

} // namespace drumlanding::gateway

/// Config: the operators' configuration of the gateways: routes, services,
/// organisations and limits.
///
///   Result<Config> c = reader.DecodeConfig(text);
///   RouteTable routes(value(c));
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/settings.h"
#include "drumlanding/http/http.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace drumlanding::gateway {

/// Whether a request may run more than once.
enum class RequestKind {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream,        ///< An event stream; runs at most once.
};

/// A service that receives a weighted share of a route's requests.
struct WeightedService {
  std::string Service;
  double Weight = 1;
};

/// Rule for the requests to one host whose path starts with `PathPrefix`.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  RequestKind Kind = RequestKind::NonIdempotent;
  /// Maximum time a request may stay open.
  base::milliseconds Timeout{30'000};
  /// Response time objective; a response within it is worth most.
  base::milliseconds LatencyTarget{1'000};
  /// Streams: maximum gap between events that still meets the route's target.
  base::milliseconds MaxEventGap{0};
  /// 0 is the most urgent.
  int Priority = 0;
  /// Maximum number of backend servers that one request may be sent to.
  int MaxAttempts = 1;
  /// True when requests need no API key.
  bool IsPublic = false;
  std::vector<WeightedService> Services;
};

/// Capabilities of a service's engines.
struct EngineTraits {
  /// Capacity of the KV cache.
  std::uint64_t KvCacheTokens = 0;
  std::uint64_t BytesPerToken = 0;
  /// Rate at which KV cache is copied to another engine.
  double LinkMbps = 0;
  /// Whether a running generation can be migrated to another engine.
  bool CanMigrate = false;
  /// Number of tokens in one stream event.
  int TokensPerEvent = 1;
};

struct Service {
  std::string Name;
  /// Unset for services without engines.
  std::optional<EngineTraits> Engine;
};

struct Organisation {
  std::string Name;
  std::vector<std::string> Keys;
  /// Takes precedence over the route's priority; 0 is the most urgent.
  std::optional<int> Priority;
};

struct Config {
  /// Increases with every change, not always by one.
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  /// Unset when no request needs a key. When empty, no key is valid.
  std::optional<std::vector<Organisation>> Organisations;
  http::CallerLimits Limits;

  const Service *service(std::string_view name) const;
};

/// Whether a backend server accepts new requests.
enum class ServerState { Ready, Leaving };

/// A backend server as described by its entry in the store.
struct ListedServer {
  std::string Id;
  /// Start time as Unix time; 0 when unknown. A restarted server may reuse its
  /// id.
  base::milliseconds StartedAt{0};
  std::string Service;
  base::Endpoint Address;
  std::string Zone;
  int Slots = 1;
  ServerState State = ServerState::Ready;
  /// Remaining time for which the server responds slowly after its start.
  base::milliseconds ColdRemaining{0};
  /// Store revision of this entry; 0 when unknown.
  std::uint64_t Revision = 0;
};

/// An entry that was removed from the store, and the revision of the removal.
struct RemovedServer {
  std::string Id;
  std::uint64_t Revision = 0;
};

/// The server list at a store revision.
struct ServerList {
  std::uint64_t Revision = 0;
  std::vector<ListedServer> Servers;
  std::vector<RemovedServer> Removed;
};

} // namespace drumlanding::gateway

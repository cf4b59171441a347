/// Config: what the operators have put in force for the gateways: routes,
/// services, organisations and limits.
///
///   Result<Config> c = decoder(text);
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

/// How often a request may run.
enum class RequestKind {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream,        ///< A stream of events; runs at most once.
};

/// One of the services that a route's requests are divided over.
struct WeightedService {
  std::string Service;
  double Weight = 1;
};

/// Requests of one host whose path begins with `PathPrefix`.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  RequestKind Kind = RequestKind::NonIdempotent;
  /// The longest that a request may be held.
  base::milliseconds Timeout{30'000};
  /// Within this time an answer is worth most.
  base::milliseconds LatencyTarget{1'000};
  /// Streams: the longest pause between events that is still in time.
  base::milliseconds MaxEventGap{0};
  /// 0 is the most urgent.
  int Priority = 0;
  /// Most backend servers that one request may be sent to.
  int MaxAttempts = 1;
  /// True when no key is needed.
  bool IsPublic = false;
  std::vector<WeightedService> Services;
};

/// What the engines of a service can do.
struct EngineTraits {
  /// Tokens that fit into its memory.
  std::uint64_t KvCacheTokens = 0;
  std::uint64_t BytesPerToken = 0;
  /// Rate at which memory is copied to another engine.
  double LinkMbps = 0;
  /// Whether a running generation's memory can be moved.
  bool CanMigrate = false;
  /// Tokens that one event of a stream carries.
  int TokensPerEvent = 1;
};

struct Service {
  std::string Name;
  /// Empty for plain services.
  std::optional<EngineTraits> Engine;
};

struct Organisation {
  std::string Name;
  std::vector<std::string> Keys;
  /// Goes before the route's priority; 0 is the most urgent.
  std::optional<int> Priority;
};

struct Config {
  /// Rises with every change, by uneven steps.
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Organisation> Organisations;
  http::CallerLimits Limits;

  const Service *service(std::string_view name) const;
};

/// Whether a backend server takes new work.
enum class ServerState { Ready, Leaving };

/// A backend server as it lists itself.
struct ListedServer {
  std::string Id;
  /// When it started, as a Unix time; 0 when it does not say. A server that has
  /// started again may have its old id.
  base::milliseconds StartedAt{0};
  std::string Service;
  base::Endpoint Address;
  std::string Zone;
  int Slots = 1;
  ServerState State = ServerState::Ready;
  /// How much longer it is slow after its start.
  base::milliseconds ColdRemaining{0};
  /// The store's revision of this entry; 0 when unknown.
  std::uint64_t Revision = 0;
};

/// An entry that the store no longer holds, as of a revision.
struct RemovedServer {
  std::string Id;
  std::uint64_t Revision = 0;
};

/// The list of servers as of a revision.
struct ServerList {
  std::uint64_t Revision = 0;
  std::vector<ListedServer> Servers;
  std::vector<RemovedServer> Removed;
};

} // namespace drumlanding::gateway

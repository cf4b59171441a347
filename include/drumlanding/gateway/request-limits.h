/// RequestLimits: keeps the request rates that backend servers name in their
/// responses. A limit holds over all gateways together, without a coordinator.
///
///   RequestLimits limits(phase);
///   limits.recordResponse(now, {server, sentAt, 3.2});
///   if (limits.hasRoom(now, id))
///     limits.recordSend(now, id);
///   for (const LimitReport &report : limits.takeChangedReports(now))
///     notifyPeers(report);
///   limits.applyReport(now, peer, report);
///
/// Every gateway has a token bucket per limited server, which is filled at the
/// server's rate, and takes a token for each request: its own, and those that
/// the other gateways report. Gateways that are not heard may be sending too,
/// so each gateway leaves them their share of the rate.
#pragma once

#include "drumlanding/gateway/directory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::gateway {

/// What a server's response says about its limit.
struct LimitObservation {
  ServerInstance Server;
  /// When the request was sent.
  base::Instant SentAt{};
  /// Requests per second; unset when the response names none.
  std::optional<double> RequestsPerSecond;
};

/// What a gateway tells the others about one server.
struct LimitReport {
  ServerInstance Server;
  /// Unset once the server has stopped naming a limit.
  std::optional<double> RequestsPerSecond;
  /// Time since the response that named the limit, or no longer did.
  base::Duration Age{0};
  /// Requests that the reporting gateway has sent to the server, in all.
  std::uint64_t Sends = 0;
};

/// One process lifetime of another gateway.
struct GatewayInstance {
  std::string Address;
  std::uint64_t Incarnation = 0;
};

class RequestLimits {
public:
  /// `phase`, in [0, 1), differs between gateways: it spreads the requests of
  /// gateways that do not hear each other.
  explicit RequestLimits(double phase) : Phase(phase) {}

  /// Returns the share of each limit, in (0, 1], that this gateway and those
  /// that it hears may use.
  std::function<double(base::Instant now)> AvailableShare;
  /// Called when a limit is named, changes or ends, with its source: "server"
  /// or the address of another gateway.
  std::function<void(const LimitReport &, std::string_view source)> OnChange;

  void recordResponse(base::Instant now, const LimitObservation &seen);
  /// Counts a request that this gateway is about to send. Returns true if the
  /// server has a limit, so that the other gateways have to be notified.
  bool recordSend(base::Instant now, std::string_view id);

  /// Returns false if a further request to the server exceeds its limit.
  bool hasRoom(base::Instant now, std::string_view id);
  /// Returns the time until a further request fits; 0 if it fits now.
  base::Duration timeUntilRoom(base::Instant now, std::string_view id);

  /// Returns the reports on all servers.
  std::vector<LimitReport> reports(base::Instant now) const;
  /// Returns the reports that have changed since the last call.
  std::vector<LimitReport> takeChangedReports(base::Instant now);
  void applyReport(base::Instant now, const GatewayInstance &from,
                   const LimitReport &report);

  /// Forgets servers that are not known any more and, some time later, limits
  /// that have ended.
  void evict(base::Instant now,
             const std::function<bool(std::string_view id)> &isKnown);

  bool isEmpty() const { return Limits.empty(); }

private:
  struct PeerSends {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sends = 0;
    base::Instant HeardAt{};
  };
  struct Limit {
    ServerInstance Server;
    std::optional<double> RequestsPerSecond;
    base::Instant ObservedAt{};
    /// Requests that fit now; negative after more than fit were sent.
    double Tokens = 0;
    base::Instant FilledAt{};
    /// The available share when the bucket was last filled.
    double Share = 1;
    std::uint64_t OwnSends = 0;
    std::map<std::string, PeerSends> SendsByPeer;
    bool IsChanged = true;
  };

  Limit &findOrAdd(base::Instant now, const ServerInstance &server);
  Limit *findActive(std::string_view id);
  void setRate(base::Instant now, Limit &limit, std::optional<double> rate,
               std::string_view source);
  void fill(base::Instant now, Limit &limit) const;
  void take(base::Instant now, Limit &limit, double count) const;
  LimitReport report(base::Instant now, const Limit &limit) const;
  double availableShare(base::Instant now) const;

  double Phase;
  std::map<std::string, Limit, std::less<>> Limits;
};

} // namespace drumlanding::gateway

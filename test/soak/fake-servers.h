/// FakeServer: a fake backend server that speaks the platform's protocol: an
/// engine that streams and migrates generations, or a plain service. Each
/// writes its own entry into the store and is reached through its own proxy.
#pragma once

#include "journal.h"
#include "proxy.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/http/http.h"
#include "platform/store.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace drumlanding::soak {

/// How a server misbehaves on requests. Its health check is not affected.
enum class FaultMode {
  None,
  Errors, ///< A plain service answers half of the requests with 500.
  TruncatesResponses, ///< Closes half of the responses before their end.
  DropsRequests,      ///< Runs half of the requests but sends no response.
  Overloaded,         ///< Refuses every request as not run, with 503.
};

/// A copy of a generation's KV cache, on its engine or also on another one.
struct Copy {
  std::string Attempt;
  std::string Generation;
  int NextEvent = 0;
  /// Ids of the engines that can resume the generation.
  std::vector<std::string> Engines;
};

/// Copies by handle, shared by all engines.
using CopyTable = std::map<std::string, Copy>;

/// A run of a generation that is being streamed.
struct Generation {
  std::string Id;
  int NextEvent = 0;
  bool IsStopped = false;
};

class FakeServer {
public:
  struct Options {
    std::string Service;
    std::string Zone;
    /// The proxy's address, listed in the store.
    base::Endpoint Public;
    /// Where the server listens behind the proxy.
    base::Endpoint Private;
    bool IsEngine = false;
    /// Number of gateways that may send requests.
    int Gateways = 1;
  };

  FakeServer(asio::io_context &io, Journal &journal, CopyTable &copies,
             const platform::Store &store, Options options, std::uint64_t seed);

  /// Starts to listen and to renew the entry in the store.
  void start();
  /// Announces that the server leaves; after `notice` it shuts down and
  /// restarts as a new instance.
  asio::awaitable<void> leave(base::milliseconds notice);
  /// Resets all connections at once; after `downFor` the server restarts as a
  /// new instance, under a new id or the same one.
  asio::awaitable<void> crash(base::milliseconds downFor);

  /// Writes a malformed entry next to those of the servers, as another program
  /// might; it expires with its lease.
  asio::awaitable<void> writeForeignEntry();

  /// Names a limit in all responses for a time.
  asio::awaitable<void> nameLimit(double requestsPerSecond,
                                  base::milliseconds length);

  FaultMode Mode = FaultMode::None;
  Proxy &link() { return *Link; }
  const std::string &id() const { return Id; }
  const Options &options() const { return Opts; }
  bool isUp() const { return IsUp; }
  bool isLeaving() const { return IsLeaving; }
  /// Time at which the store accepted that the server leaves; `max()` before.
  base::Instant LeavingSince = base::Instant::max();

private:
  asio::awaitable<void> serve(http::Request request, http::Exchange &x);
  asio::awaitable<void> call(http::Request request, http::Exchange &x);
  asio::awaitable<void> endUnder(std::string path);
  asio::awaitable<void> stream(http::Request request, http::Exchange &x);
  asio::awaitable<void> migrate(http::Request request, http::Exchange &x);
  asio::awaitable<void> report(http::Exchange &x);
  asio::awaitable<void> maintainEntry();
  asio::awaitable<bool> writeEntry();
  std::optional<http::Response> refusal(const http::Request &request) const;
  bool resumeFromCopy(const std::string &from, const std::string &attempt,
                      Generation &generation);
  /// Records a request and reports a violation if there are more than the named
  /// limit allows.
  void checkLimit();
  http::Response makeResponse(const http::Request &request, int status,
                              std::string body) const;
  void startInstance();

  asio::io_context &Io;
  Journal &Log;
  CopyTable &AllCopies;
  const platform::Store &Store;
  Options Opts;
  base::Random Random;
  std::string Id;
  std::int64_t StartedAtMs = 0;
  /// Incremented by each crash; coroutines of earlier instances then stop.
  int InstanceNumber = 0;
  bool IsUp = true;
  bool IsLeaving = false;
  base::Instant ShutdownAt{};
  /// The limit named now, and since when the gateways can know it.
  std::optional<double> Limit;
  base::Instant LimitKnownSince{};
  std::deque<base::Instant> Arrivals;
  int OpenRequests = 0;
  std::map<std::string, std::shared_ptr<Generation>> Running;
  std::unique_ptr<http::Server> Listener;
  std::unique_ptr<Proxy> Link;
  /// The entry's revision in the store, and the lease it is attached to.
  std::uint64_t Revision = 0;
  std::uint64_t Lease = 0;
  int SequenceNumber = 0;
};

} // namespace drumlanding::soak

/// Workers: stand-in backend servers that speak the platform's dialect: engines
/// that stream and move generations, and plain services. Each lists itself in
/// the store, behind a proxy of its own.
#pragma once

#include "journal.h"
#include "proxy.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/http/http.h"
#include "platform/store.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace drumlanding::soak {

/// How a worker behaves to requests. Its health answer stays good.
enum class FaultMode {
  None,
  Errors,             ///< Half of its answers are failures of its own.
  TruncatesResponses, ///< Half of its answers break off midway.
  DropsRequests,      ///< It runs half of the requests and never answers them.
  Overloaded,         ///< It takes nothing and says so.
};

/// A generation's memory, at an engine or copied to another.
struct Copy {
  std::string Attempt;
  std::string Generation;
  int NextEvent = 0;
  /// The engines where it may go on.
  std::vector<std::string> Engines;
};

/// What the engines share: copies by handle.
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
    /// What the gateways see, and where the worker listens behind it.
    base::Endpoint Public;
    base::Endpoint Private;
    bool IsEngine = false;
  };

  FakeServer(asio::io_context &io, Journal &journal, CopyTable &copies,
             const platform::Store &store, Options options, std::uint64_t seed);

  /// Listens, and lists itself until the end.
  void start();
  /// Says that it leaves; it is gone after `notice` and comes back as another.
  asio::awaitable<void> leave(base::milliseconds notice);
  /// Dies at once, breaking off what it does, and comes back as another, or
  /// under its id.
  asio::awaitable<void> crash(base::milliseconds downFor);

  /// Writes an entry beside the servers' that names none, for a while.
  asio::awaitable<void> writeForeignEntry();

  FaultMode Mode = FaultMode::None;
  Proxy &link() { return *Link; }
  const std::string &id() const { return Id; }
  const Options &options() const { return Opts; }
  bool isUp() const { return IsUp; }
  bool isLeaving() const { return IsLeaving; }
  /// When the store had taken that it leaves; none while it does not.
  base::Instant LeavingSince = base::Instant::max();

private:
  asio::awaitable<void> serve(http::Request request, http::Exchange &x);
  asio::awaitable<void> call(http::Request request, http::Exchange &x);
  asio::awaitable<void> stream(http::Request request, http::Exchange &x);
  asio::awaitable<void> migrate(http::Request request, http::Exchange &x);
  asio::awaitable<void> report(http::Exchange &x);
  asio::awaitable<void> maintainEntry();
  asio::awaitable<bool> writeEntry();
  std::optional<http::Response> refusal(const http::Request &request) const;
  bool resumeFromCopy(const std::string &from, const std::string &attempt,
                      Generation &generation);
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
  /// Rises with each life: what an earlier life does ends.
  int InstanceNumber = 0;
  bool IsUp = true;
  bool IsLeaving = false;
  base::Instant ShutdownAt{};
  int OpenRequests = 0;
  std::map<std::string, std::shared_ptr<Generation>> Running;
  std::unique_ptr<http::Server> Listener;
  std::unique_ptr<Proxy> Link;
  /// The entry's revision in the store, and the lease that it hangs on.
  std::uint64_t Revision = 0;
  std::uint64_t Lease = 0;
  int SequenceNumber = 0;
};

} // namespace drumlanding::soak

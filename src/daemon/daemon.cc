#include "drumlanding/daemon/daemon.h"

#include "drumlanding/base/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <gflags/gflags.h>
#include <malloc.h>
#include <memory>
#include <thread>
#include <vector>

DEFINE_string(
    control_listen, "",
    "[network] IP:port for control messages of drumlanding processes");
DEFINE_string(control_key, "",
              "[security] shared key of all daemons: 64 hexadecimal digits");
DEFINE_string(author_keys, "",
              "[security] public keys of authors of bundles, "
              "hexadecimal, separated by commas");
DEFINE_string(approver_keys, "",
              "[security] public keys of approvers of bundles, "
              "hexadecimal, separated by commas");
DEFINE_int64(request_buffer_bytes, 24 << 20,
             "[decisions] maximum memory for HTTP requests beyond 4096 bytes "
             "each, in bytes, 65536 to 1073741824");

DEFINE_int32(max_unauthenticated, 8,
             "[network] maximum number of control connections on which no "
             "authentic message has arrived, 1 to 1000");

namespace drumlanding::daemon {
namespace {

using base::Error;
using base::Result;

constexpr std::string_view DaemonFlags[] = {
    "control_listen", "control_key",          "author_keys",
    "approver_keys",  "request_buffer_bytes", "max_unauthenticated"};
constexpr std::size_t ControlKeyBytes = 32;
/// Allocations from this size are returned to the system when they are freed.
constexpr int LargeAllocationBytes = 128 << 10;
/// A crowd of clients must not fill the log.
constexpr base::seconds EvictionLogInterval{1};

} // namespace

Result<DaemonSettings>
readDaemonSettings(int argc, char **argv, std::string_view synopsis,
                   std::span<const std::string_view> extraFlags) {
  std::vector<std::string_view> flags(std::begin(DaemonFlags),
                                      std::end(DaemonFlags));
  flags.insert(flags.end(), extraFlags.begin(), extraFlags.end());
  const auto process = readProcessSettings(argc, argv, synopsis, flags);
  if (!ok(process))
    return error(process);
  const auto control =
      base::parseEndpoint("--control_listen", FLAGS_control_listen);
  if (!ok(control))
    return error(control);
  const auto key =
      base::parseHex("--control_key", FLAGS_control_key, ControlKeyBytes);
  if (!ok(key))
    return error(key);
  const auto authors = bundle::parseKeys("--author_keys", FLAGS_author_keys);
  if (!ok(authors))
    return error(authors);
  const auto approvers =
      bundle::parseKeys("--approver_keys", FLAGS_approver_keys);
  if (!ok(approvers))
    return error(approvers);
  constexpr std::int64_t MinBufferBytes = 64 << 10;
  constexpr std::int64_t MaxBufferBytes = 1 << 30;
  if (FLAGS_request_buffer_bytes < MinBufferBytes ||
      FLAGS_request_buffer_bytes > MaxBufferBytes)
    return base::invalid("--request_buffer_bytes",
                         "must be from 65536 to 1073741824");
  if (FLAGS_max_unauthenticated < 1 || FLAGS_max_unauthenticated > 1000)
    return base::invalid("--max_unauthenticated", "must be from 1 to 1000");
  return DaemonSettings{value(process).Name,
                        value(process).Place,
                        value(process).FailureDomain,
                        value(control),
                        {value(key)},
                        {value(authors), value(approvers)},
                        value(process).WorkerThreads,
                        static_cast<std::size_t>(FLAGS_request_buffer_bytes),
                        static_cast<std::size_t>(FLAGS_max_unauthenticated)};
}

void ControlReporter::update(base::Metrics &metrics,
                             const wire::LinkCounters &counters) {
  metrics.set("drumlanding_rejected_messages",
              static_cast<double>(counters.Rejected));
  metrics.set("drumlanding_control_connections_closed",
              static_cast<double>(counters.Closed));
  const std::uint64_t closed = counters.Closed;
  if (closed > LoggedClosed)
    base::Log("daemon.control")
        .warn("closed {} control connections without an authentic message",
              closed - LoggedClosed);
  LoggedClosed = closed;
}

std::shared_ptr<http::ConnectionTable>
makeConnectionTable(const DaemonSettings &settings, const base::Clock &clock,
                    base::Metrics &metrics) {
  using Limit = http::ConnectionTable::Limit;
  auto table =
      std::make_shared<http::ConnectionTable>(http::ConnectionTableOptions{
          http::maxConnectionsOfProcess(), settings.RequestBufferBytes});
  // The table's lock guards the state of the handler.
  table->OnRequestClosed = [&clock, &metrics, loggedAt = base::Instant(),
                            unlogged = 0](Limit limit) mutable {
    metrics.count("drumlanding_requests_evicted_total",
                  {{"limit", std::string(toString(limit))}});
    ++unlogged;
    const base::Instant now = clock.now().Steady;
    if (now - loggedAt < EvictionLogInterval)
      return;
    base::Log("daemon.http")
        .warn("closed {} connections while a request arrived, limit={}",
              unlogged, toString(limit));
    loggedAt = now;
    unlogged = 0;
  };
  return table;
}

Runtime::Runtime(int workers) : Workers(workers) {
  // By default the threshold rises to the size of what is freed, and the memory
  // of large messages then stays with the threads that received them.
  ::mallopt(M_MMAP_THRESHOLD, LargeAllocationBytes);
}

void Runtime::spawn(asio::awaitable<void> work) {
  asio::co_spawn(asio::make_strand(Io), std::move(work), asio::detached);
}

void Runtime::onStop(std::function<void()> stop) {
  auto signals = std::make_shared<asio::signal_set>(Io, SIGTERM, SIGINT);
  signals->async_wait(
      [signals, stop = std::move(stop)](boost::system::error_code ec, int) {
        if (!ec)
          stop();
      });
}

void Runtime::run() {
  std::vector<std::jthread> threads;
  for (int i = 1; i < Workers; ++i)
    threads.emplace_back([this] { Io.run(); });
  Io.run();
}

} // namespace drumlanding::daemon

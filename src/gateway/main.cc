// drumlanding-gateway: forwards callers' HTTP requests directly to backend
// servers according to the operators' routes.
#include "platform/protocol-codec.h"
#include "platform/store-reader.h"
#include "shell.h"

#include "drumlanding/daemon/process.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>
#include <gflags/gflags.h>

DEFINE_string(node_file, "",
              "[process] settings file with one --flag=value per line");
DEFINE_string(listen, "", "[network] IP:port for callers (HTTP)");
DEFINE_string(ready_listen, "",
              "[network] IP:port of the readiness check for the load balancer");
DEFINE_string(gateway_listen, "",
              "[network] IP:port for the other gateways (UDP and HTTP)");
DEFINE_string(metrics_listen, "",
              "[network] additional IP:port that serves the metrics, which "
              "--gateway_listen always serves; empty for none");
DEFINE_string(platform, "", "[network] IP:port of the platform's store");
DEFINE_string(
    seeds, "",
    "[network] addresses of some gateways (IP:port), separated by commas");
DEFINE_int32(sidecar_port, 0,
             "[network] UDP port of the engines' sidecars, 1 to 65535; 0 when "
             "there are no sidecars");
DEFINE_double(retry_part, 0.2,
              "[decisions] retries allowed per first send of a request, as a "
              "ratio from 0 to 1");
DEFINE_double(retry_extra, 0,
              "[decisions] additional retries per window for all gateways "
              "together, 0 or more");
DEFINE_double(retry_window_s, 10,
              "[decisions] window of the retry budget in seconds, 1 to 60");
DEFINE_int32(drain_ms, 2000,
             "[decisions] time that a server keeps serving after it has "
             "announced that it leaves, in ms, 100 to 600000");
DEFINE_int32(config_apply_ms, 2000,
             "[decisions] time limit for applying a config after the store has "
             "accepted it, in ms, 100 to 600000");
DEFINE_int32(renewal_ms, 1200,
             "[decisions] interval at which servers renew their entries in the "
             "store, in ms, 10 to 600000");
DEFINE_int64(max_response_bytes, 8 << 20,
             "[decisions] maximum size of a response of a plain service, in "
             "bytes, 65536 to 1073741824");
DEFINE_int64(response_memory_bytes, 24 << 20,
             "[decisions] maximum memory for large responses until their "
             "callers have read them, in bytes, 65536 to 1073741824");
DEFINE_int64(request_memory_bytes, 24 << 20,
             "[decisions] maximum memory for the large bodies of callers' "
             "requests, in bytes, 65536 to 1073741824");
DEFINE_int64(request_buffer_bytes, 8 << 20,
             "[decisions] maximum memory for callers' requests without their "
             "large bodies, beyond 4096 bytes each, in bytes, 65536 to "
             "1073741824");
DEFINE_double(grace_s, 8,
              "[process] seconds from the stop signal to the kill, 1 to 600");

namespace {

using namespace drumlanding;

constexpr std::string_view Flags[] = {"node_file",
                                      "listen",
                                      "ready_listen",
                                      "gateway_listen",
                                      "platform",
                                      "seeds",
                                      "metrics_listen",
                                      "sidecar_port",
                                      "retry_part",
                                      "retry_extra",
                                      "drain_ms",
                                      "retry_window_s",
                                      "grace_s",
                                      "renewal_ms",
                                      "config_apply_ms",
                                      "max_response_bytes",
                                      "response_memory_bytes",
                                      "request_memory_bytes",
                                      "request_buffer_bytes"};

base::milliseconds toMilliseconds(double seconds) {
  return base::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

base::Result<base::Done> readAddresses(gateway::GatewaySettings &settings) {
  struct Address {
    std::string_view Flag;
    const std::string &Text;
    base::Endpoint &Target;
  };
  const Address addresses[] = {
      {"--listen", FLAGS_listen, settings.Listen},
      {"--ready_listen", FLAGS_ready_listen, settings.ReadyListen},
      {"--gateway_listen", FLAGS_gateway_listen, settings.ControlListen},
      {"--platform", FLAGS_platform, settings.StoreAddress}};
  for (const Address &address : addresses) {
    const auto read = base::parseEndpoint(address.Flag, address.Text);
    if (!ok(read))
      return error(read);
    address.Target = value(read);
  }
  if (!FLAGS_metrics_listen.empty()) {
    const auto metrics =
        base::parseEndpoint("--metrics_listen", FLAGS_metrics_listen);
    if (!ok(metrics))
      return error(metrics);
    settings.MetricsListen = value(metrics);
  }
  auto seeds = base::parseEndpoints("--seeds", FLAGS_seeds);
  if (!ok(seeds))
    return error(seeds);
  settings.Seeds = std::move(value(seeds));
  return base::Done{};
}

base::Result<base::Done> readMemoryLimits(gateway::GatewaySettings &settings) {
  struct Limit {
    std::string_view Flag;
    std::int64_t Bytes;
    std::size_t &Target;
  };
  const Limit limits[] = {{"--max_response_bytes", FLAGS_max_response_bytes,
                           settings.Responses.MaxBodyBytes},
                          {"--response_memory_bytes",
                           FLAGS_response_memory_bytes,
                           settings.Responses.MaxTotalBytes},
                          {"--request_memory_bytes", FLAGS_request_memory_bytes,
                           settings.RequestBodies.MaxBytes},
                          {"--request_buffer_bytes", FLAGS_request_buffer_bytes,
                           settings.Connections.MaxRequestBytes}};
  constexpr std::int64_t Min = 64 << 10;
  constexpr std::int64_t Max = 1 << 30;
  for (const Limit &limit : limits) {
    if (limit.Bytes < Min || limit.Bytes > Max)
      return base::invalid(std::string(limit.Flag),
                           "must be from 65536 to 1073741824");
    limit.Target = static_cast<std::size_t>(limit.Bytes);
  }
  return base::Done{};
}

base::Result<gateway::GatewaySettings> readGatewaySettings(int argc,
                                                           char **argv) {
  const auto process = daemon::readProcessSettings(
      argc, argv, "drumlanding-gateway: forwards callers' requests", Flags);
  if (!ok(process))
    return error(process);
  gateway::GatewaySettings settings;
  settings.Name = value(process).Name;
  settings.Zone = value(process).FailureDomain;
  if (auto r = readAddresses(settings); !ok(r))
    return error(r);
  if (FLAGS_sidecar_port < 0 || FLAGS_sidecar_port > 65'535)
    return base::invalid("--sidecar_port", "must be from 0 to 65535");
  settings.SidecarPort = static_cast<std::uint16_t>(FLAGS_sidecar_port);
  if (FLAGS_retry_part < 0 || FLAGS_retry_part > 1)
    return base::invalid("--retry_part", "must be from 0 to 1");
  if (FLAGS_retry_extra < 0)
    return base::invalid("--retry_extra", "must be 0 or more");
  if (FLAGS_retry_window_s < 1 || FLAGS_retry_window_s > 60)
    return base::invalid("--retry_window_s", "must be from 1 to 60");
  if (FLAGS_grace_s < 1 || FLAGS_grace_s > 600)
    return base::invalid("--grace_s", "must be from 1 to 600");
  settings.Retries = {FLAGS_retry_part, FLAGS_retry_extra,
                      toMilliseconds(FLAGS_retry_window_s)};
  if (FLAGS_drain_ms < 100 || FLAGS_drain_ms > 600000)
    return base::invalid("--drain_ms", "must be from 100 to 600000");
  settings.DrainTime = base::milliseconds(FLAGS_drain_ms);
  if (FLAGS_renewal_ms < 10 || FLAGS_renewal_ms > 600000)
    return base::invalid("--renewal_ms", "must be from 10 to 600000");
  if (FLAGS_config_apply_ms < 100 || FLAGS_config_apply_ms > 600000)
    return base::invalid("--config_apply_ms", "must be from 100 to 600000");
  if (auto r = readMemoryLimits(settings); !ok(r))
    return error(r);
  settings.MaxConfigApplyTime = base::milliseconds(FLAGS_config_apply_ms);
  settings.RenewalInterval = base::milliseconds(FLAGS_renewal_ms);
  settings.TerminationGracePeriod = toMilliseconds(FLAGS_grace_s);
  return settings;
}

/// Invokes a callback on SIGHUP and when the settings file has been modified.
class SettingsFileWatcher {
public:
  SettingsFileWatcher(boost::asio::io_context &io,
                      std::function<void()> changed)
      : HangupSignals(io, SIGHUP), Timer(io), OnChange(std::move(changed)),
        LastWriteTime(lastWriteTime()) {
    waitForHangup();
    waitForChange();
  }

private:
  static constexpr base::milliseconds PollInterval{2'000};

  static std::filesystem::file_time_type lastWriteTime() {
    std::error_code ec;
    return std::filesystem::last_write_time(FLAGS_node_file, ec);
  }

  void waitForHangup() {
    HangupSignals.async_wait([this](boost::system::error_code ec, int) {
      if (ec)
        return;
      LastWriteTime = lastWriteTime();
      OnChange();
      waitForHangup();
    });
  }

  void waitForChange() {
    Timer.expires_after(PollInterval);
    Timer.async_wait([this](boost::system::error_code ec) {
      if (ec)
        return;
      if (const auto writeTime = lastWriteTime(); writeTime != LastWriteTime) {
        LastWriteTime = writeTime;
        OnChange();
      }
      waitForChange();
    });
  }

  boost::asio::signal_set HangupSignals;
  boost::asio::steady_timer Timer;
  std::function<void()> OnChange;
  std::filesystem::file_time_type LastWriteTime;
};

} // namespace

int main(int argc, char **argv) {
  const auto settings = readGatewaySettings(argc, argv);
  if (!ok(settings))
    base::exitOnBadSettings(error(settings));
  boost::asio::io_context io(1);
  // The reader of the log may close its end of the pipe.
  std::signal(SIGPIPE, SIG_IGN);
  const platform::Store store(value(settings).StoreAddress);
  const base::SystemClock clock;
  auto shell = gateway::Shell::start(io, clock, value(settings),
                                     platform::makeProtocolCodec(),
                                     platform::makeStoreReader(store));
  if (!ok(shell))
    base::exitOnBadSettings(error(shell));
  boost::asio::signal_set stop(io, SIGTERM, SIGINT);
  stop.async_wait([&](boost::system::error_code ec, int) {
    if (!ec)
      value(shell)->shutDown();
  });
  SettingsFileWatcher watch(
      io, [&] { value(shell)->reload(readGatewaySettings(argc, argv)); });
  io.run();
  // Skips destructors: connections that are still open hold references into the
  // shell.
  std::_Exit(0);
}

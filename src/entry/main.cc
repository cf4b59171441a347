// drumlanding-entry: accepts callers' requests and routes them to backend
// servers.
#include "shell.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "", "[network] IP:port for callers (HTTP)");
DEFINE_string(platform, "", "[network] IP:port of the platform's service");
DEFINE_int32(
    subset_size, 16,
    "[decisions] maximum number of servers of one service to route to, "
    "1 to 1000");

namespace {

using namespace drumlanding;

constexpr std::string_view Flags[] = {"listen", "platform", "subset_size"};

base::Result<entry::ShellSettings> readEntrySettings(int argc, char **argv) {
  entry::ShellSettings settings;
  const auto daemon = daemon::readDaemonSettings(
      argc, argv, "drumlanding-entry: serves callers", Flags);
  if (!ok(daemon))
    return error(daemon);
  settings.Daemon = value(daemon);
  const auto listen = base::parseEndpoint("--listen", FLAGS_listen);
  if (!ok(listen))
    return error(listen);
  settings.Listen = value(listen);
  const auto platform = base::parseEndpoint("--platform", FLAGS_platform);
  if (!ok(platform))
    return error(platform);
  settings.Platform = value(platform);
  if (FLAGS_subset_size < 1 || FLAGS_subset_size > 1000)
    return base::invalid("--subset_size", "must be from 1 to 1000");
  settings.SubsetSize = static_cast<std::size_t>(FLAGS_subset_size);
  return settings;
}

} // namespace

int main(int argc, char **argv) {
  const auto settings = readEntrySettings(argc, argv);
  if (!ok(settings))
    base::exitOnBadSettings(error(settings));
  daemon::Runtime runtime(value(settings).Daemon.WorkerThreads);
  auto shell = entry::Shell::start(runtime, value(settings));
  if (!ok(shell))
    base::exitOnBadSettings(error(shell));
  runtime.onStop([&] { value(shell)->leave(); });
  runtime.run();
  // Exits without destructors: connections that are still open hold references
  // to the shell.
  std::_Exit(0);
}

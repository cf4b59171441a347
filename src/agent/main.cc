// drumlanding-agent: schedules and forwards all requests to one backend server.
#include "shell.h"

#include <gflags/gflags.h>

DEFINE_string(service, "", "[backend] service of the backend server");
DEFINE_string(backend, "", "[backend] IP:port of the backend server");
DEFINE_string(backend_kind, "engine", "[backend] engine or plain");
DEFINE_string(admin_listen, "",
              "[network] IP:port of /metrics, /healthz and /readyz");
DEFINE_int32(reclaim_notice_ms, 0,
             "[process] milliseconds from SIGTERM until the VM is reclaimed; "
             "0 waits until all work is done");
DEFINE_double(risk_factor, 1.5,
              "[decisions] standard deviations of KV cache use kept free at a "
              "stall weight of 1, 0 to 5");
DEFINE_int32(step_target_ms, 60,
             "[decisions] maximum milliseconds of an engine step with prefill "
             "at a gap weight of 1; 0 for no limit");

namespace {

using namespace drumlanding;

constexpr std::string_view Flags[] = {
    "service",           "backend",     "backend_kind",  "admin_listen",
    "reclaim_notice_ms", "risk_factor", "step_target_ms"};

base::Result<agent::ShellSettings> readAgentSettings(int argc, char **argv) {
  agent::ShellSettings settings;
  const auto daemon = daemon::readDaemonSettings(
      argc, argv,
      "drumlanding-agent: serves all requests to one backend server", Flags);
  if (!ok(daemon))
    return error(daemon);
  settings.Daemon = value(daemon);
  if (auto r = base::checkName("--service", FLAGS_service); !ok(r))
    return error(r);
  settings.Service = FLAGS_service;
  const auto backend = base::parseEndpoint("--backend", FLAGS_backend);
  if (!ok(backend))
    return error(backend);
  settings.Backend = value(backend);
  const auto admin = base::parseEndpoint("--admin_listen", FLAGS_admin_listen);
  if (!ok(admin))
    return error(admin);
  settings.AdminListen = value(admin);
  if (FLAGS_backend_kind != "engine" && FLAGS_backend_kind != "plain")
    return base::invalid("--backend_kind", "value '" + FLAGS_backend_kind +
                                               "' is not engine or plain");
  settings.Kind = FLAGS_backend_kind == "engine" ? bundle::ServiceKind::Engine
                                                 : bundle::ServiceKind::Plain;
  if (FLAGS_reclaim_notice_ms < 0)
    return base::invalid("--reclaim_notice_ms", "must not be negative");
  settings.ReclaimNotice = base::milliseconds(FLAGS_reclaim_notice_ms);
  if (FLAGS_risk_factor < 0 || FLAGS_risk_factor > 5)
    return base::invalid("--risk_factor", "must be from 0 to 5");
  settings.Scheduling.RiskFactor = FLAGS_risk_factor;
  if (FLAGS_step_target_ms < 0)
    return base::invalid("--step_target_ms", "must not be negative");
  settings.Scheduling.StepTarget = base::milliseconds(FLAGS_step_target_ms);
  return settings;
}

} // namespace

int main(int argc, char **argv) {
  const auto settings = readAgentSettings(argc, argv);
  if (!ok(settings))
    base::exitOnBadSettings(error(settings));
  daemon::Runtime runtime(value(settings).Daemon.WorkerThreads);
  auto shell = agent::Shell::start(runtime, value(settings));
  if (!ok(shell))
    base::exitOnBadSettings(error(shell));
  runtime.onStop([&] { value(shell)->leave(); });
  runtime.run();
  // Exit without destructors: open streams still hold references to the shell.
  std::_Exit(0);
}

#include "shell.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/daemon/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace drumlanding::agent {
namespace {

using base::milliseconds;
using base::Result;
using daemon::sleepFor;
using Json = nlohmann::json;

/// Maximum number of requests pending at a time. Each entry occupies one with
/// its long poll.
constexpr int ControlContexts = 256;
/// Operators and load balancers send one request at a time.
constexpr std::size_t MaxAdminConnections = 256;
constexpr milliseconds TickInterval{5};
constexpr milliseconds IdleTickInterval{20};
constexpr milliseconds ObserveInterval{500};
constexpr milliseconds ObserveTimeout{2'000};
/// Number of consecutive failed health checks after which the backend server
/// counts as failed.
constexpr int MaxMissedObservations = 3;
constexpr milliseconds StreamIdleTimeout{30'000};
constexpr milliseconds StopTimeout{2'000};
constexpr int StopAttempts = 3;
constexpr milliseconds CallTimeout{7'000};
constexpr milliseconds LoadTimeout{60'000};
/// Time after the last answer in which entries can still fetch it before the
/// process stops.
constexpr milliseconds DrainLinger{1'500};

std::string requestBody(const StartOnEngine &c) {
  return Json{{"id", c.RequestId},
              {"model", c.Start.model()},
              {"version", c.Start.version()},
              {"adapter", c.Start.adapter()},
              {"prompt", c.Start.prompt()},
              {"promptTokens", c.Start.prompt_tokens()},
              {"maxTokens", c.Start.max_tokens()},
              {"priority", c.Priority},
              {"resumeFrom", c.ResumeFrom}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<plan::LoadedModel> modelsFrom(const Json &json) {
  std::vector<plan::LoadedModel> models;
  for (const Json &m : json)
    models.push_back({m.at("model").get<std::string>(),
                      m.at("version").get<std::string>(),
                      m.at("adapters").get<std::vector<std::string>>()});
  return models;
}

} // namespace

Shell::Shell(daemon::Runtime &runtime, ShellSettings settings)
    : Runtime(runtime), Settings(std::move(settings)), DecisionLog("agent") {}

Result<std::unique_ptr<Shell>> Shell::start(daemon::Runtime &runtime,
                                            ShellSettings settings) {
  std::unique_ptr<Shell> shell(new Shell(runtime, std::move(settings)));
  Shell &s = *shell;
  CoreOptions options;
  options.Server = s.Settings.Daemon.Name;
  options.Service = s.Settings.Service;
  options.Place = s.Settings.Daemon.Place;
  options.Incarnation = base::secureRandom64() | 1;
  options.StartedAt = s.Clock.now().Wall;
  options.Trusted = s.Settings.Daemon.Trusted;
  options.Scheduling = s.Settings.Scheduling;
  options.LogDecision = [](std::string_view component,
                           std::string_view message) {
    base::Log(std::string(component)).info("{}", message);
  };
  options.IncrementMetric = [&s](std::string_view metric, double amount) {
    s.Metrics.count(metric, {}, amount);
  };
  s.AgentCore = std::make_unique<Core>(std::move(options));
  auto control = wire::Server::listen(
      s.Settings.Daemon.ControlListen, s.Settings.Daemon.Key,
      {ControlContexts, s.Settings.Daemon.MaxUnauthenticated},
      [&s](wire::Request request, wire::Responder respond) {
        asio::post(s.Runtime.io(), [&s, request = std::move(request),
                                    respond = std::move(respond)]() mutable {
          ReplyId id = 0;
          {
            const std::lock_guard guard(s.CoreLock);
            id = s.NextReply++;
            s.Responders.emplace(id, std::move(respond));
          }
          s.dispatch(RequestArrived{id, std::move(request)});
        });
      });
  if (!ok(control))
    return error(control);
  s.Control = std::move(value(control));
  http::ServerOptions http;
  http.MaxConnections = MaxAdminConnections;
  http.Connections =
      daemon::makeConnectionTable(s.Settings.Daemon, s.Clock, s.Metrics);
  auto admin = http::Server::listen(
      runtime.io(), s.Settings.AdminListen, std::move(http),
      [&s](http::Request r, http::Exchange &x) { return s.admin(r, x); });
  if (!ok(admin))
    return error(admin);
  s.Admin = std::move(value(admin));
  runtime.spawn(s.tickLoop());
  runtime.spawn(s.observeLoop());
  return shell;
}

void Shell::leave() {
  std::optional<base::Instant> deadline;
  if (Settings.ReclaimNotice.count() > 0)
    deadline = Clock.now().Steady + Settings.ReclaimNotice;
  IsLeaving = true;
  dispatch(LeaveRequested{deadline});
}

void Shell::dispatch(Event event) {
  const std::lock_guard guard(CoreLock);
  for (Command &command : AgentCore->handle(Clock.now(), std::move(event)))
    std::visit([&](auto &c) { execute(c); }, command);
}

void Shell::execute(SendReply &c) {
  const auto node = Responders.extract(c.Reply);
  if (!node.empty())
    node.mapped()(c.Message);
}

void Shell::execute(StartOnEngine &c) {
  auto stopped = std::make_shared<std::atomic<bool>>(false);
  Streams[c.RequestId] = stopped;
  Runtime.spawn(runStream(std::move(c), std::move(stopped)));
}

void Shell::execute(StopOnEngine &c) {
  if (const auto it = Streams.find(c.RequestId);
      it != Streams.end() && !c.KeepState) {
    *it->second = true;
    Streams.erase(it);
  }
  Runtime.spawn(stopStream("/v1/streams/" + c.RequestId +
                           "/stop?keep=" + (c.KeepState ? "1" : "0")));
}

void Shell::execute(CallService &c) { Runtime.spawn(runCall(std::move(c))); }

void Shell::execute(LoadOnEngine &c) { Runtime.spawn(load(std::move(c))); }

asio::awaitable<void>
Shell::runStream(StartOnEngine start,
                 std::shared_ptr<std::atomic<bool>> stopped) {
  const std::string id = start.RequestId;
  std::optional<EngineOutcome> outcome;
  const auto onEvent = [&](const http::ServerEvent &event) {
    if (*stopped)
      return false;
    if (event.Name == "token") {
      std::uint32_t index = 0;
      std::from_chars(event.Id.data(), event.Id.data() + event.Id.size(),
                      index);
      dispatch(TokensArrived{id, index, {event.Data}});
      return true;
    }
    outcome = event.Name == "done"      ? EngineOutcome::Finished
              : event.Name == "yielded" ? EngineOutcome::Released
                                        : EngineOutcome::ConnectionLost;
    return false;
  };
  http::Request request{"POST", "/v1/streams", {}, requestBody(start)};
  const http::StreamEnd end = co_await http::stream(
      Settings.Backend, std::move(request), StreamIdleTimeout, onEvent);
  if (*stopped)
    co_return;
  if (!outcome && !end.IsConnected)
    outcome = EngineOutcome::Unreachable;
  if (!outcome && end.Status == 409)
    outcome = EngineOutcome::Unresumable;
  if (!outcome && end.Status == 503)
    outcome = EngineOutcome::Refused;
  dispatch(
      EngineStreamEnded{id, outcome.value_or(EngineOutcome::ConnectionLost)});
  const std::lock_guard guard(CoreLock);
  const auto it = Streams.find(id);
  if (it != Streams.end() && it->second == stopped)
    Streams.erase(it);
}

asio::awaitable<void> Shell::stopStream(std::string target) {
  for (int i = 0; i < StopAttempts; ++i) {
    http::Request request{"POST", target, {}, {}};
    const auto fetched =
        co_await http::fetch(Settings.Backend, std::move(request), StopTimeout);
    if (ok(fetched.Outcome))
      co_return;
    co_await sleepFor(StopTimeout / 4);
  }
}

asio::awaitable<void> Shell::runCall(CallService call) {
  http::Request request{call.Call.method(),
                        call.Call.path(),
                        {{"Content-Type", "application/json"},
                         {"X-Organisation", call.Call.organisation()}},
                        call.Call.body()};
  const auto fetched =
      co_await http::fetch(Settings.Backend, std::move(request), CallTimeout);
  CallEnded ended{call.RequestId, fetched.IsConnected, ok(fetched.Outcome), {}};
  if (ended.Answered) {
    const http::Response &response = value(fetched.Outcome);
    ended.Reply.set_status(static_cast<std::uint32_t>(response.Status));
    ended.Reply.set_content_type(response.ContentType);
    ended.Reply.set_body(response.Body);
  }
  dispatch(std::move(ended));
}

asio::awaitable<void> Shell::load(LoadOnEngine order) {
  Json models = Json::array();
  for (const plan::LoadedModel &m : order.Models)
    models.push_back(
        {{"model", m.Model}, {"version", m.Version}, {"adapters", m.Adapters}});
  http::Request request{
      "POST",
      "/v1/models",
      {},
      Json{{"fence", order.Fence}, {"models", models}}.dump()};
  const auto fetched =
      co_await http::fetch(Settings.Backend, std::move(request), LoadTimeout);
  const int status = ok(fetched.Outcome) ? value(fetched.Outcome).Status : 0;
  base::Log("agent.place").info("load fence={} status={}", order.Fence, status);
}

asio::awaitable<void> Shell::tickLoop() {
  bool hasWork = false;
  for (;;) {
    co_await sleepFor(hasWork ? TickInterval : IdleTickInterval);
    dispatch(Tick{});
    {
      const std::lock_guard guard(CoreLock);
      hasWork = AgentCore->hasWork();
    }
    if (shouldStop()) {
      base::Log("agent.drain").info("drained: no open work; stopping");
      Runtime.finish();
      co_return;
    }
  }
}

bool Shell::shouldStop() {
  if (!IsLeaving)
    return false;
  const std::lock_guard guard(CoreLock);
  const base::Instant now = Clock.now().Steady;
  if (AgentCore->hasWork())
    DrainedAt = {};
  else if (DrainedAt == base::Instant{})
    DrainedAt = now;
  return DrainedAt != base::Instant{} && now - DrainedAt > DrainLinger;
}

asio::awaitable<ServerObserved> Shell::observeEngine() {
  ServerObserved observed;
  http::Request request{"GET", "/v1/load", {}, {}};
  const auto fetched = co_await http::fetch(Settings.Backend,
                                            std::move(request), ObserveTimeout);
  if (!ok(fetched.Outcome) || value(fetched.Outcome).Status != 200)
    co_return observed;
  const Json json = Json::parse(value(fetched.Outcome).Body, nullptr, false);
  try {
    observed.CapacityTokens = json.at("capacityTokens").get<std::uint64_t>();
    observed.Models = modelsFrom(json.at("models"));
    const double step = json.at("plainStepMs").get<double>();
    const double token = json.at("prefillTokenMs").get<double>();
    constexpr std::uint32_t Sample = 1'000;
    const auto nanos = [](double ms) {
      return base::Duration(static_cast<std::int64_t>(ms * 1e6));
    };
    dispatch(StepObserved{nanos(step), 0});
    dispatch(StepObserved{nanos(step + token * Sample), Sample});
    observed.IsAlive = true;
  } catch (const Json::exception &e) {
    base::Log("agent.engine")
        .warn("malformed /v1/load answer of the engine; counted as a failed "
              "health check: {}",
              e.what());
  }
  co_return observed;
}

asio::awaitable<ServerObserved> Shell::observeService() {
  ServerObserved observed;
  http::Request request{"GET", "/healthz", {}, {}};
  const auto fetched = co_await http::fetch(Settings.Backend,
                                            std::move(request), ObserveTimeout);
  observed.IsAlive =
      ok(fetched.Outcome) && value(fetched.Outcome).Status == 200;
  co_return observed;
}

asio::awaitable<void> Shell::observeLoop() {
  const bool isEngine = Settings.Kind == bundle::ServiceKind::Engine;
  // Stop the streams of an earlier incarnation, which no process follows.
  if (isEngine)
    co_await stopStream("/v1/streams/stop-all");
  int misses = 0;
  for (;;) {
    ServerObserved observed;
    if (isEngine)
      observed = co_await observeEngine();
    else
      observed = co_await observeService();
    misses = observed.IsAlive ? 0 : misses + 1;
    if (observed.IsAlive || misses >= MaxMissedObservations)
      dispatch(std::move(observed));
    updateMetrics();
    co_await sleepFor(ObserveInterval);
  }
}

void Shell::updateMetrics() {
  SchedulerLoad load;
  wire::Versions versions;
  {
    const std::lock_guard guard(CoreLock);
    load = AgentCore->load();
    versions = AgentCore->documents().versions();
  }
  Metrics.set("drumlanding_running", load.Running);
  Metrics.set("drumlanding_waiting", load.Waiting);
  Metrics.set("drumlanding_document_version",
              static_cast<double>(versions.bundle()), {{"document", "bundle"}});
  Metrics.set("drumlanding_document_version",
              static_cast<double>(versions.plan()), {{"document", "plan"}});
  const wire::LinkCounters &counters = Control->counters();
  Metrics.set("drumlanding_control_bytes",
              static_cast<double>(counters.BytesIn), {{"direction", "in"}});
  Metrics.set("drumlanding_control_bytes",
              static_cast<double>(counters.BytesOut), {{"direction", "out"}});
  ControlReport.update(Metrics, counters);
}

asio::awaitable<void> Shell::admin(http::Request request, http::Exchange &x) {
  const auto isReady = [this] {
    const std::lock_guard guard(CoreLock);
    return AgentCore->serverState() == ServerState::Serving;
  };
  auto page = daemon::handleOperatorRequest(request, Metrics, isReady);
  if (!page)
    page = http::Response{404, "text/plain", "There is no such page.\n", {}};
  co_await x.send(std::move(*page));
}

} // namespace drumlanding::agent

#include "shell.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/daemon/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace drumlanding::entry {
namespace {

using base::milliseconds;
using base::Reason;
using base::Refusal;
using base::Result;
using base::Verdict;
using daemon::sleepFor;

constexpr int MaxControlCalls = 64;
constexpr milliseconds TickInterval{5};
/// With no open session, ticks only drive heartbeats.
constexpr milliseconds IdleTickInterval{20};
constexpr milliseconds ListInterval{1'000};
constexpr milliseconds WatchTimeout{5'000};
constexpr milliseconds PlatformRetryDelay{500};
/// Number of entries per place that watch the key-value service.
constexpr std::size_t WatchersPerPlace = 2;
/// Ticks between two updates of the gauges.
constexpr int TicksPerMetricsUpdate = 100;
/// Ticks without a session before a leaving entry stops.
constexpr int TicksBeforeStop = 100;
constexpr std::size_t MaxBodySize = 4 << 20;
/// Retry-After of a request that is not read to its end for lack of memory.
constexpr milliseconds RetryAfterOverload{500};

/// Returns true when the command ends its session.
bool isFinal(const Command &command) {
  return std::holds_alternative<EndStream>(command) ||
         std::holds_alternative<RefuseSession>(command) ||
         std::holds_alternative<AnswerSession>(command);
}

http::Response toResponse(const wire::CallReply &answer) {
  return {static_cast<int>(answer.status()),
          answer.content_type(),
          answer.body(),
          {{"Drumlanding-Verdict", std::string(toString(Verdict::Ran))}}};
}

std::vector<http::ServerEvent> toEvents(const DeliverTokens &c) {
  std::vector<http::ServerEvent> events;
  for (std::size_t i = 0; i < c.Tokens.size(); ++i)
    events.push_back(
        {std::to_string(c.FirstIndex + i), "token",
         nlohmann::json(c.Tokens[i])
             .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
  return events;
}

/// Returns the session that a command belongs to.
template <typename C> SessionId sessionOf(const C &c) { return c.Session; }

} // namespace

Shell::Shell(daemon::Runtime &runtime, ShellSettings settings)
    : Runtime(runtime), Settings(std::move(settings)),
      Platform(Settings.Platform) {
  Platform.setOnCall([this](std::string_view call) {
    Metrics.count("drumlanding_platform_calls_total",
                  {{"call", std::string(call)}});
  });
}

Result<std::unique_ptr<Shell>> Shell::start(daemon::Runtime &runtime,
                                            ShellSettings settings) {
  std::unique_ptr<Shell> shell(new Shell(runtime, std::move(settings)));
  Shell &s = *shell;
  CoreOptions options;
  options.Name = s.Settings.Daemon.Name;
  options.Place = s.Settings.Daemon.Place;
  options.Trusted = s.Settings.Daemon.Trusted;
  options.SubsetSize = s.Settings.SubsetSize;
  options.Seed = base::secureRandom64();
  options.LogDecision = [](std::string_view component,
                           std::string_view message) {
    base::Log(std::string(component)).info("{}", message);
  };
  options.IncrementMetric = [&s](std::string_view metric,
                                 std::string_view label, std::string_view value,
                                 double by) {
    base::MetricLabels labels;
    if (!label.empty())
      labels.emplace(label, value);
    s.Metrics.count(metric, labels, by);
  };
  options.Observe = [&s](std::string_view metric, base::Duration time) {
    s.Metrics.observe(metric, std::chrono::duration<double>(time).count());
  };
  s.TheCore = std::make_unique<Core>(std::move(options));
  auto control = wire::Server::listen(
      s.Settings.Daemon.ControlListen, s.Settings.Daemon.Key,
      {MaxControlCalls, s.Settings.Daemon.MaxUnauthenticated},
      [&s](wire::Request request, wire::Responder respond) {
        asio::post(s.Runtime.io(), [&s, request = std::move(request),
                                    respond = std::move(respond)]() mutable {
          std::uint64_t id = 0;
          {
            const std::lock_guard guard(s.CoreLock);
            id = s.NextReply++;
            s.Responders.emplace(id, std::move(respond));
          }
          s.dispatch(PeerRequestArrived{id, std::move(request)});
        });
      });
  if (!ok(control))
    return error(control);
  s.Control = std::move(value(control));
  http::ServerOptions http;
  http.Limits.MaxBodyBytes = MaxBodySize;
  http.Connections =
      daemon::makeConnectionTable(s.Settings.Daemon, s.Time, s.Metrics);
  http.BodyTooLarge =
      refusalResponse({Verdict::NotRun, Reason::BodyTooLarge, {}});
  http.Malformed =
      refusalResponse({Verdict::NotRun, Reason::MalformedRequest, {}});
  http.NoRoom = refusalResponse(
      {Verdict::NotRun, Reason::Overloaded, RetryAfterOverload});
  auto callers =
      http::Server::listen(runtime.io(), s.Settings.Listen, std::move(http),
                           [&s](http::Request r, http::Exchange &x) {
                             return s.serve(std::move(r), x);
                           });
  if (!ok(callers))
    return error(callers);
  s.Callers = std::move(value(callers));
  runtime.spawn(s.tickLoop());
  runtime.spawn(s.listLoop());
  s.Leader = std::make_unique<PlanLeader>(s.Platform, s.Settings.Daemon.Name,
                                          [&s] { return s.planInput(); });
  runtime.spawn(s.Leader->run());
  for (wire::DocumentKind kind : {wire::BUNDLE, wire::PLAN})
    runtime.spawn(s.watchLoop(kind));
  return shell;
}

void Shell::leave() {
  IsLeaving = true;
  dispatch(LeaveRequested{});
}

void Shell::dispatch(Event event) {
  const std::lock_guard guard(CoreLock);
  for (Command &command : TheCore->handle(Time.now(), std::move(event)))
    std::visit([&](auto &c) { execute(c); }, command);
}

wire::Client *Shell::connectTo(const std::string &peer,
                               const base::Endpoint &to) {
  Link &link = Links[peer];
  if (link.Client && link.To == to)
    return link.Client.get();
  // A replaced VM has a new address. The old link is destroyed on the I/O
  // context, because destroying it waits for calls that may need CoreLock.
  std::shared_ptr<wire::Client> old = std::move(link.Client);
  asio::post(Runtime.io(), [old] {});
  auto dialled = wire::Client::dial(to, Settings.Daemon.Key, LinkBytes);
  if (!ok(dialled))
    return nullptr;
  link = {to, std::move(value(dialled))};
  return link.Client.get();
}

void Shell::execute(SendMessage &c) {
  const MessageId id = c.Message;
  const auto deliver = [this, id](Result<wire::Reply> reply) {
    asio::post(Runtime.io(), [this, id, reply = std::move(reply)]() mutable {
      dispatch(ReplyArrived{id, std::move(reply)});
    });
  };
  if (wire::Client *link = connectTo(c.Peer, c.To))
    link->call(c.Request, c.Timeout, deliver);
  else
    deliver(base::Error{base::ErrorCode::Unavailable, c.Peer,
                        "cannot open a link"});
}

void Shell::execute(ReplyToPeer &c) {
  const auto node = Responders.extract(c.ReplyId);
  if (!node.empty())
    node.mapped()(c.Message);
}

void Shell::execute(DisconnectPeer &c) {
  const auto node = Links.extract(c.Peer);
  if (node.empty())
    return;
  std::shared_ptr<wire::Client> old = std::move(node.mapped().Client);
  asio::post(Runtime.io(), [old] {});
}

template <typename C> void Shell::execute(C &c) {
  const auto it = Mailboxes.find(sessionOf(c));
  if (it == Mailboxes.end())
    return;
  const std::shared_ptr<Mailbox> mailbox = it->second;
  Command command(std::move(c));
  if (isFinal(command))
    Mailboxes.erase(it);
  mailbox->post(std::move(command));
}

asio::awaitable<void> Shell::serve(http::Request request, http::Exchange &x) {
  const auto isReady = [this] {
    const std::lock_guard guard(CoreLock);
    return TheCore->isReady();
  };
  if (auto page = daemon::handleOperatorRequest(request, Metrics, isReady)) {
    co_await x.send(std::move(*page));
    co_return;
  }
  auto read = readCallerRequest(request);
  if (ok(read)) {
    co_await serveCaller(std::move(value(read)), x);
    co_return;
  }
  const bool isUnknown = error(read).Code == base::ErrorCode::NotFound;
  const Reason why = isUnknown ? Reason::NotFound : Reason::MalformedRequest;
  co_await x.send(
      refusalResponse({Verdict::NotRun, why, {}}, describe(error(read))));
}

asio::awaitable<void> Shell::serveCaller(CallerRequest request,
                                         http::Exchange &x) {
  auto mailbox = std::make_shared<Mailbox>(co_await asio::this_coro::executor);
  SessionId id = 0;
  {
    const std::lock_guard guard(CoreLock);
    id = NextSession++;
    Mailboxes.emplace(id, mailbox);
  }
  x.onDisconnect([this, id] {
    asio::post(Runtime.io(), [this, id] { dispatch(SessionClosed{id}); });
  });
  bool wantsEvents = true;
  if (auto *generation = std::get_if<ParsedGeneration>(&request)) {
    generation->Request.Session = id;
    wantsEvents = generation->Stream;
    dispatch(std::move(generation->Request));
  } else if (auto *resume = std::get_if<ResumeRequested>(&request)) {
    resume->Session = id;
    dispatch(std::move(*resume));
  } else if (auto *cancel = std::get_if<CancelRequested>(&request)) {
    cancel->Session = id;
    dispatch(std::move(*cancel));
  } else {
    CallRequested &call = std::get<CallRequested>(request);
    call.Session = id;
    dispatch(std::move(call));
  }
  if (wantsEvents)
    co_await streamAnswer(*mailbox, x);
  else
    co_await sendCompleteAnswer(*mailbox, x);
  dispatch(SessionClosed{id});
  const std::lock_guard guard(CoreLock);
  Mailboxes.erase(id);
}

asio::awaitable<void> Shell::streamAnswer(Mailbox &mailbox, http::Exchange &x) {
  for (;;) {
    std::vector<http::ServerEvent> events;
    bool isFinished = false;
    for (Command &command : co_await mailbox.take()) {
      if (auto *refused = std::get_if<RefuseSession>(&command)) {
        co_await x.send(refusalResponse(refused->Why));
        co_return;
      }
      if (auto *answered = std::get_if<AnswerSession>(&command)) {
        co_await x.send(toResponse(answered->Answer));
        co_return;
      }
      if (auto *begun = std::get_if<BeginStream>(&command)) {
        std::vector<http::Header> headers;
        headers.push_back({"Drumlanding-Generation", begun->RequestId});
        if (!co_await x.beginEvents(std::move(headers)))
          co_return;
      }
      if (auto *tokens = std::get_if<DeliverTokens>(&command))
        for (http::ServerEvent &event : toEvents(*tokens))
          events.push_back(std::move(event));
      if (auto *end = std::get_if<EndStream>(&command)) {
        isFinished = true;
        if (end->Failure)
          events.push_back({"", "error", refusalJson(*end->Failure)});
        else
          events.push_back({"", "done", "{}"});
      }
    }
    if (!events.empty() && !co_await x.events(std::move(events)))
      co_return;
    if (!isFinished)
      continue;
    co_await x.endEvents();
    co_return;
  }
}

asio::awaitable<void> Shell::sendCompleteAnswer(Mailbox &mailbox,
                                                http::Exchange &x) {
  std::string id;
  std::string text;
  std::size_t tokens = 0;
  for (;;) {
    for (Command &command : co_await mailbox.take()) {
      if (auto *refused = std::get_if<RefuseSession>(&command)) {
        co_await x.send(refusalResponse(refused->Why));
        co_return;
      }
      if (auto *begun = std::get_if<BeginStream>(&command))
        id = begun->RequestId;
      if (auto *delivered = std::get_if<DeliverTokens>(&command)) {
        tokens += delivered->Tokens.size();
        for (const std::string &token : delivered->Tokens)
          text += token;
      }
      auto *end = std::get_if<EndStream>(&command);
      if (!end)
        continue;
      if (end->Failure) {
        co_await x.send(refusalResponse(*end->Failure));
        co_return;
      }
      const nlohmann::json json{{"id", id}, {"text", text}, {"tokens", tokens}};
      http::Response response{
          200,
          "application/json",
          json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
              "\n",
          {{"Drumlanding-Verdict", std::string(toString(Verdict::Ran))}}};
      co_await x.send(std::move(response));
      co_return;
    }
  }
}

asio::awaitable<void> Shell::tickLoop() {
  int ticks = 0;
  int idleTicks = 0;
  bool hasSessions = false;
  for (;;) {
    const bool isBusy = hasSessions || IsLeaving;
    co_await sleepFor(isBusy ? TickInterval : IdleTickInterval);
    dispatch(Tick{});
    if (++ticks % TicksPerMetricsUpdate == 0)
      updateMetrics();
    {
      const std::lock_guard guard(CoreLock);
      hasSessions = TheCore->hasSessions();
    }
    idleTicks = IsLeaving && !hasSessions ? idleTicks + 1 : 0;
    if (idleTicks < TicksBeforeStop)
      continue;
    base::Log("entry.drain").info("no open sessions: stopping");
    Runtime.finish();
    co_return;
  }
}

asio::awaitable<void> Shell::listLoop() {
  for (;;) {
    auto vms = co_await Platform.listVms();
    if (ok(vms)) {
      {
        const std::lock_guard guard(CoreLock);
        Listed = value(vms);
      }
      dispatch(VmsListed{std::move(value(vms))});
    } else {
      // The last list stays in use; reports from the peers show which are
      // reachable.
      base::Log("entry.members")
          .debug("reading the list of VMs failed, keeping the last one: {}",
                 describe(error(vms)));
    }
    co_await sleepFor(ListInterval);
  }
}

bool Shell::isWatcher() {
  const std::lock_guard guard(CoreLock);
  const std::uint64_t own = base::hash64(Settings.Daemon.Name);
  const auto ranksHigher = [&](const ListedVm &vm) {
    return vm.Role == "entry" && vm.Place == Settings.Daemon.Place &&
           base::hash64(vm.Name) > own;
  };
  const auto higherRanked =
      std::count_if(Listed.begin(), Listed.end(), ranksHigher);
  return static_cast<std::size_t>(higherRanked) < WatchersPerPlace;
}

std::optional<PlanInput> Shell::planInput() {
  const std::lock_guard guard(CoreLock);
  PlanInput input;
  input.Bundle = TheCore->documents().bundle();
  if (!input.Bundle || IsLeaving)
    return std::nullopt;
  const auto plan = TheCore->documents().plan();
  for (const ListedVm &vm : Listed) {
    if (vm.Role != "agent")
      continue;
    input.Servers.push_back({vm.Name, vm.Service, vm.IsLeaving});
    const plan::Assignment *assigned =
        plan ? plan->assignment(vm.Name) : nullptr;
    const Member *member = TheCore->members().find(vm.Name);
    if (assigned && member && member->isUsable(Time.now().Steady))
      input.IsConverged =
          input.IsConverged && reportsAllModels(member->Report, *assigned);
  }
  // A list without agents has not been populated yet.
  if (input.Servers.empty())
    return std::nullopt;
  return input;
}

asio::awaitable<void> Shell::watchLoop(wire::DocumentKind kind) {
  const std::string_view key =
      kind == wire::BUNDLE ? platform::BundleKey : platform::PlanKey;
  std::uint64_t revision = 0;
  for (;;) {
    if (!isWatcher()) {
      co_await sleepFor(ListInterval);
      continue;
    }
    const auto entry = co_await Platform.watch(key, revision, WatchTimeout);
    if (!ok(entry)) {
      base::Log("entry.document")
          .debug("watching a document failed, retrying: {}",
                 describe(error(entry)));
      co_await sleepFor(PlatformRetryDelay);
      continue;
    }
    if (value(entry).Revision == revision)
      continue;
    revision = value(entry).Revision;
    dispatch(DocumentRead{kind, value(entry).Value});
  }
}

void Shell::updateMetrics() {
  std::size_t sessions = 0;
  std::size_t servers = 0;
  wire::Versions versions;
  {
    const std::lock_guard guard(CoreLock);
    sessions = TheCore->sessions();
    servers = TheCore->members().size();
    versions = TheCore->documents().versions();
  }
  Metrics.set("drumlanding_open_streams", static_cast<double>(sessions));
  Metrics.set("drumlanding_known_servers", static_cast<double>(servers));
  Metrics.set("drumlanding_document_version",
              static_cast<double>(versions.bundle()), {{"document", "bundle"}});
  Metrics.set("drumlanding_document_version",
              static_cast<double>(versions.plan()), {{"document", "plan"}});
  Metrics.set("drumlanding_control_bytes",
              static_cast<double>(LinkBytes->BytesIn), {{"direction", "in"}});
  Metrics.set("drumlanding_control_bytes",
              static_cast<double>(LinkBytes->BytesOut), {{"direction", "out"}});
  ControlReport.update(Metrics, Control->counters());
}

} // namespace drumlanding::entry

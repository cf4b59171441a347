/// Test fixture: several gateways in front of servers that end when they get a
/// certain request, among ordinary requests. Counts what arrives at the
/// servers, not what a gateway believes.
#pragma once

#include "free-endpoint.h"
#include "platform/protocol-codec.h"
#include "shell.h"

#include "drumlanding/daemon/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <sstream>

namespace drumlanding::gateway::test {

using base::milliseconds;
using base::seconds;
using boost::system::error_code;
using daemon::sleepFor;
using drumlanding::test::freeEndpoint;
using tcp = asio::ip::tcp;

/// Time limit after which a hanging test fails.
constexpr seconds TestLimit{30};
constexpr milliseconds PollInterval{5};
/// From the arrival of the request of death to the end of the server.
constexpr milliseconds TimeToEnd{20};
/// The servers that one request may end. It is not sent to another one after
/// that.
constexpr std::size_t MaxEndedServers = 3;
/// A refused request is answered this fast.
constexpr milliseconds MaxRefusalTime{100};
constexpr std::string_view DeadlyPath = "/deadly";
/// The request of death on a streaming route: servers end after an event.
constexpr std::string_view DeadlyStreamPath = "/stream/deadly";
constexpr std::string_view HealthPath = "/healthz";
/// The response to a request that names another server as the intended one.
constexpr std::string_view WrongServerResponse =
    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";

/// What a server does when it gets the request of death.
enum class EndMode {
  Crash,    ///< Closes its port and all connections, and stays away.
  SlowExit, ///< Closes all connections, and its port some time later, as when
            ///< a supervisor holds the port. Nothing is answered meanwhile.
  Restart,  ///< Closes all connections and starts again under its id.
  Silence,  ///< Keeps its connections and answers nothing more.
  Hangup,   ///< Closes only the connection of the request, and lives on.
};

/// What a server has sent of its response to a request of death when it ends.
enum class ResponseStart { Nothing, Head, Event, PartialEvent };

/// How a server marks the end of a response's body.
enum class BodyFraming {
  Delimited,       ///< By a length or chunks.
  UntilConnection, ///< By the end of the connection.
};

/// Arrivals of requests of death at all servers, and the servers' ends.
struct DeadlyRequests {
  /// Ids of parts of prompts; each request with one of them is deadly.
  std::set<std::string> Parts;
  std::vector<base::Instant> Arrivals;
  std::vector<base::Instant> Ends;

  std::size_t arrivalsAfterLastAllowedEnd() const {
    if (Ends.size() < MaxEndedServers)
      return 0;
    const base::Instant end = Ends[MaxEndedServers - 1];
    return arrivalsAfter(end);
  }
  std::size_t arrivalsAfter(base::Instant end) const {
    return static_cast<std::size_t>(
        std::count_if(Arrivals.begin(), Arrivals.end(),
                      [&](base::Instant at) { return at > end; }));
  }
  bool hasDeadlyPart(const std::string &request) const {
    return std::any_of(Parts.begin(), Parts.end(), [&](const std::string &id) {
      return request.find(id + ":") != std::string::npos;
    });
  }
};

/// A server of a plain service that can end like a process.
class MortalServer : public std::enable_shared_from_this<MortalServer> {
public:
  MortalServer(asio::io_context &io, const base::Clock &clock, std::string id,
               DeadlyRequests &deadly)
      : Io(io), Clock(clock), Id(std::move(id)), Deadly(deadly),
        Address(freeEndpoint()), Acceptor(io) {}

  void start() {
    StartedAt += milliseconds(1'000);
    ++Life;
    IsSilent = false;
    Acceptor = tcp::acceptor(
        Io, {asio::ip::make_address(Address.Address), Address.Port});
    asio::co_spawn(Io, accept(shared_from_this()), asio::detached);
  }

  /// Ends the process: its port and all its connections are closed.
  void end() {
    closeConnections();
    error_code ec;
    Acceptor.close(ec);
  }

  ListedServer listed() const {
    ListedServer s;
    s.Id = Id;
    s.StartedAt = HasStartTime ? StartedAt : milliseconds(0);
    s.Service = "shop";
    s.Address = Address;
    s.Zone = "a";
    s.Revision = Revision;
    return s;
  }

  bool isAlive() const { return Acceptor.is_open() && !IsSilent && !IsExiting; }

  asio::io_context &Io;
  const base::Clock &Clock;
  std::string Id;
  DeadlyRequests &Deadly;
  base::Endpoint Address;
  EndMode Mode = EndMode::Crash;
  /// Requests with a deadly part: what precedes the end.
  ResponseStart Start = ResponseStart::Head;
  BodyFraming Framing = BodyFraming::Delimited;
  /// False if neither its entry nor its health tells when it started.
  bool HasStartTime = true;
  /// Restart: time from the end to the start.
  milliseconds RestartTime{100};
  /// SlowExit: time from the end of the connections to that of the port.
  milliseconds PortLifetime{100};
  /// Probability that a request's connection is closed without a response.
  double HangupProbability = 0;
  /// Called when the server has started again under its id.
  std::function<void()> OnRestart;
  int Served = 0;
  /// The store's revision of its entry, and whether there is one.
  std::uint64_t Revision = 1;
  bool IsListed = true;
  int MissedRenewals = 0;

private:
  using SocketPointer = std::shared_ptr<tcp::socket>;
  static constexpr milliseconds ServiceTime{10};

  static asio::awaitable<void> accept(std::shared_ptr<MortalServer> self) {
    const int life = self->Life;
    for (;;) {
      error_code ec;
      auto socket = std::make_shared<tcp::socket>(self->Io);
      co_await self->Acceptor.async_accept(
          *socket, asio::redirect_error(asio::use_awaitable, ec));
      if (ec || (life != self->Life && !self->IsExiting))
        co_return;
      self->Sockets.insert(socket);
      // The port outlives the process: nothing is answered.
      if (self->IsExiting)
        continue;
      asio::co_spawn(self->Io, serve(self, socket), asio::detached);
    }
  }

  static asio::awaitable<void> serve(std::shared_ptr<MortalServer> self,
                                     SocketPointer socket) {
    const int life = self->Life;
    std::string request;
    error_code ec;
    co_await asio::async_read_until(
        *socket, asio::dynamic_buffer(request), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec || self->IsSilent || self->IsExiting)
      co_return;
    if (!self->isIntended(request)) {
      co_await asio::async_write(*socket, asio::buffer(WrongServerResponse),
                                 asio::redirect_error(asio::use_awaitable, ec));
      co_return;
    }
    if (hasPath(request, HealthPath)) {
      const std::string health = self->makeHealth();
      co_await asio::async_write(*socket, asio::buffer(health),
                                 asio::redirect_error(asio::use_awaitable, ec));
      co_return;
    }
    const bool isStream = hasPath(request, DeadlyStreamPath);
    const bool hasDeadlyPart = self->Deadly.hasDeadlyPart(request);
    const bool isDeadly =
        hasDeadlyPart || isStream || hasPath(request, DeadlyPath);
    if (!isDeadly && request.find(" /stream/") != std::string::npos) {
      co_await self->serveStream(socket, request);
      co_return;
    }
    if (hasDeadlyPart || isStream) {
      const std::string start = self->makeStreamStart(
          request, isStream ? ResponseStart::Event : self->Start);
      co_await asio::async_write(*socket, asio::buffer(start),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    if (isDeadly)
      self->Deadly.Arrivals.push_back(self->Clock.now().Steady);
    co_await sleepFor(isDeadly ? TimeToEnd : ServiceTime);
    if (life != self->Life || self->IsSilent)
      co_return;
    if (isDeadly) {
      self->die(socket);
      co_return;
    }
    if (self->Random.chance(self->HangupProbability)) {
      self->hangUp(socket);
      co_return;
    }
    ++self->Served;
    const std::string response = self->makeResponse(request);
    co_await asio::async_write(*socket, asio::buffer(response),
                               asio::redirect_error(asio::use_awaitable, ec));
    self->hangUp(socket);
  }

  static bool hasPath(const std::string &request, std::string_view path) {
    return request.find(" " + std::string(path) + " ") != std::string::npos;
  }

  /// Returns false if the request names another server.
  bool isIntended(const std::string &request) const {
    constexpr std::string_view Name = "X-Expect-Instance: ";
    const auto at = request.find(Name);
    return at == std::string::npos ||
           request.compare(at + Name.size(), Id.size() + 2, Id + "\r\n") == 0;
  }

  void hangUp(const SocketPointer &socket) {
    error_code ec;
    socket->close(ec);
    Sockets.erase(socket);
  }

  void closeConnections() {
    ++Life;
    error_code ec;
    for (const auto &socket : Sockets)
      socket->close(ec);
    Sockets.clear();
  }

  static asio::awaitable<void> exitSlowly(std::shared_ptr<MortalServer> self) {
    self->IsExiting = true;
    self->closeConnections();
    co_await sleepFor(self->PortLifetime);
    self->end();
    self->IsExiting = false;
  }

  void die(const SocketPointer &socket) {
    if (Mode == EndMode::Hangup) {
      hangUp(socket);
      return;
    }
    Deadly.Ends.push_back(Clock.now().Steady);
    if (Mode == EndMode::Silence) {
      IsSilent = true;
      return;
    }
    if (Mode == EndMode::SlowExit) {
      asio::co_spawn(Io, exitSlowly(shared_from_this()), asio::detached);
      return;
    }
    end();
    if (Mode == EndMode::Restart)
      asio::co_spawn(Io, restart(shared_from_this()), asio::detached);
  }

  static asio::awaitable<void> restart(std::shared_ptr<MortalServer> self) {
    co_await sleepFor(self->RestartTime);
    self->start();
    if (self->OnRestart)
      self->OnRestart();
  }

  std::string makeHead(const std::string &request) const {
    constexpr std::string_view Name = "X-Attempt-Id: ";
    const auto from = request.find(Name) + Name.size();
    const std::string attempt =
        request.substr(from, request.find("\r\n", from) - from);
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
           "\r\nX-Served-Stamp: " + Id + "\r\n";
  }
  std::string makeResponse(const std::string &request) const {
    return makeHead(request) + "Content-Length: 4\r\n\r\nwell";
  }
  std::string makeHealth() const {
    const std::string body =
        HasStartTime ? "{\"born\":" + std::to_string(StartedAt.count()) + "}"
                     : "";
    return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + Id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
  std::string makeStreamHead(const std::string &request) const {
    std::string head =
        makeHead(request) + "Content-Type: text/event-stream\r\n";
    head += Framing == BodyFraming::Delimited ? "Transfer-Encoding: chunked\r\n"
                                              : "Connection: close\r\n";
    return head + "\r\n";
  }
  /// Returns a piece of a stream's body.
  std::string makePiece(const std::string &text) const {
    if (Framing == BodyFraming::UntilConnection)
      return text;
    std::ostringstream chunk;
    chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
    return chunk.str();
  }
  std::string makeEvent(int id) const {
    return makePiece("id: " + std::to_string(id) + "\ndata: a\n\n");
  }
  std::string makeStreamStart(const std::string &request,
                              ResponseStart start) const {
    switch (start) {
    case ResponseStart::Nothing:
      return "";
    case ResponseStart::Head:
      return makeStreamHead(request);
    case ResponseStart::Event:
      return makeStreamHead(request) + makeEvent(1);
    case ResponseStart::PartialEvent:
      break;
    }
    return makeStreamHead(request) + makeEvent(1) + makePiece("id: 2\nda");
  }

  /// Sends a complete stream of a few events.
  asio::awaitable<void> serveStream(SocketPointer socket, std::string request) {
    constexpr int EventCount = 3;
    const int life = Life;
    std::string bytes = makeStreamHead(request);
    for (int id = 1; id <= EventCount; ++id) {
      co_await sleepFor(ServiceTime);
      if (life != Life || IsSilent)
        co_return;
      bytes += makeEvent(id);
      if (id == EventCount && Framing == BodyFraming::Delimited)
        bytes += "0\r\n\r\n";
      error_code ec;
      co_await asio::async_write(*socket, asio::buffer(bytes),
                                 asio::redirect_error(asio::use_awaitable, ec));
      bytes.clear();
    }
    ++Served;
    hangUp(socket);
  }

  tcp::acceptor Acceptor;
  std::set<SocketPointer> Sockets;
  milliseconds StartedAt{1'000'000};
  /// Incremented by each start and end; coroutines of earlier lives then stop.
  int Life = 0;
  bool IsSilent = false;
  bool IsExiting = false;
  base::Random Random{7};
};

/// What the callers of ordinary requests got.
struct OrdinaryResults {
  int Served = 0;
  int Failed = 0;
};

class QueryOfDeathTest : public testing::Test {
protected:
  StoreReader storeReader() {
    StoreReader s;
    s.ReadConfig = [](const http::ProgressHandler &)
        -> StoreReader::AsyncResult<ConfigText> {
      ConfigText text{1, "config"};
      co_return text;
    };
    s.WatchConfig = [](std::uint64_t, milliseconds,
                       const http::ProgressHandler &)
        -> StoreReader::AsyncResult<ConfigText> {
      co_await sleepFor(TestLimit);
      co_return ConfigText{};
    };
    s.ReadServers = [this]() -> StoreReader::AsyncResult<ServerChanges> {
      co_return listChanges(0);
    };
    s.WatchServers =
        [this](std::uint64_t since,
               milliseconds wait) -> StoreReader::AsyncResult<ServerChanges> {
      const base::Instant until = now() + wait;
      while (ListRevision <= since && now() < until)
        co_await sleepFor(PollInterval);
      co_return listChanges(since);
    };
    s.DecodeConfig = [](std::string_view) -> base::Result<Config> {
      return makeConfig();
    };
    s.Parts.Read =
        [this]() -> StoreReader::AsyncResult<std::vector<SavedPart>> {
      std::vector<SavedPart> parts;
      for (const auto &[name, part] : SavedParts)
        parts.push_back(part);
      co_return parts;
    };
    s.Parts.Write =
        [this](SavedPart part,
               milliseconds) -> StoreReader::AsyncResult<SavedPart> {
      SavedPart &stored = SavedParts[part.Name];
      if (stored.Revision != part.Revision)
        co_return stored;
      ++part.Revision;
      stored = std::move(part);
      co_return stored;
    };
    return s;
  }

  static Config makeConfig() {
    Config config;
    config.Version = 1;
    Route route;
    route.Name = "route";
    route.Host = "a.example";
    route.PathPrefix = "/";
    route.Kind = RequestKind::Idempotent;
    route.Timeout = seconds(1);
    route.IsPublic = true;
    route.MaxAttempts = 3;
    route.Services = {{"shop", 1}};
    config.Routes.push_back(route);
    Service service;
    service.Name = "shop";
    config.Services.push_back(service);
    route.Name = "stream";
    route.PathPrefix = "/stream/";
    route.Kind = RequestKind::Stream;
    config.Routes.push_back(route);
    config.Organisations.emplace();
    for (const char *name : {"school", "council"})
      config.Organisations->push_back(
          {name, {std::string("key-") + name}, std::nullopt});
    return config;
  }

  ServerChanges listChanges(std::uint64_t since) const {
    ServerChanges all;
    all.Revision = ListRevision;
    for (const auto &server : Servers)
      if (server->Revision > since)
        all.Changes.push_back(
            {server->Id,
             server->IsListed ? std::optional(server->listed()) : std::nullopt,
             {},
             server->Revision});
    for (const ListedServer &entry : EndedEntries)
      if (entry.Revision > since)
        all.Changes.push_back({entry.Id, entry, {}, entry.Revision});
    return all;
  }

  /// An entry expires after three missed renewals.
  void renewEntry(MortalServer &server) const {
    constexpr int MaxMissed = 3;
    server.MissedRenewals = server.isAlive() ? 0 : server.MissedRenewals + 1;
    if (server.isAlive() || server.MissedRenewals == MaxMissed)
      server.Revision = ListRevision;
    server.IsListed = server.MissedRenewals < MaxMissed;
  }

  /// The servers that live renew their entries.
  asio::awaitable<void> renewEntries() {
    for (;;) {
      co_await sleepFor(RenewalInterval);
      ++ListRevision;
      for (const auto &server : Servers)
        renewEntry(*server);
    }
  }

  void startServers(int count, EndMode mode = EndMode::Crash) {
    for (int i = 0; i < count; ++i) {
      auto server = std::make_shared<MortalServer>(
          Io, Clock, "s" + std::to_string(i), Deadly);
      server->Mode = mode;
      server->start();
      Servers.push_back(std::move(server));
    }
    asio::co_spawn(Io, renewEntries(), asio::detached);
  }

  /// Lists a server that has ended for each address in use.
  void listEndedServers() {
    for (const auto &server : Servers) {
      ListedServer ended = server->listed();
      ended.Id = "ended-" + server->Id;
      EndedEntries.push_back(std::move(ended));
    }
  }

  void startGateway(bool hasSeed = true) {
    GatewaySettings settings;
    settings.Name = "gateway-" + std::to_string(Gateways.size());
    settings.Zone = "a";
    settings.Listen = freeEndpoint();
    settings.ReadyListen = freeEndpoint();
    settings.ControlListen = freeEndpoint();
    if (hasSeed && Gateways.size() > FirstGateway)
      settings.Seeds = {
          Gateways[FirstGateway]->context().Settings.ControlListen};
    settings.Retries = {1, 1'000, seconds(10)};
    settings.RenewalInterval = RenewalInterval;
    auto shell = Shell::start(Io, Clock, settings,
                              platform::makeProtocolCodec(), storeReader());
    ASSERT_TRUE(ok(shell)) << describe(error(shell));
    Gateways.push_back(std::move(value(shell)));
  }

  void startGateways(int count, bool hearEachOther = true) {
    HearEachOther = hearEachOther;
    for (int i = 0; i < count; ++i)
      startGateway(hearEachOther);
  }

  /// Starts gateways that know none of those before, which get no further
  /// requests.
  void replaceGateways(int count) {
    FirstGateway = Gateways.size();
    startGateways(count);
  }

  /// The gateways that get requests.
  std::span<const std::unique_ptr<Shell>> gateways() const {
    return std::span(Gateways).subspan(FirstGateway);
  }

  asio::awaitable<void> waitUntilReady() {
    for (const auto &gateway : gateways())
      while (!gateway->context().isReady())
        co_await sleepFor(PollInterval);
    while (HearEachOther && !doAllKnowEachOther())
      co_await sleepFor(PollInterval);
  }

  bool doAllKnowEachOther() const {
    const auto all = gateways();
    return std::all_of(all.begin(), all.end(), [&](const auto &gateway) {
      return gateway->context().GatewayPeers.live(now()).size() + 1 ==
             all.size();
    });
  }

  template <typename Body> void runTest(Body body) {
    bool isDone = false;
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          co_await waitUntilReady();
          co_await body();
          isDone = true;
          Io.stop();
        },
        [](std::exception_ptr e) {
          if (e)
            std::rethrow_exception(e);
        });
    Io.run_for(TestLimit);
    EXPECT_TRUE(isDone) << "the test hangs";
  }

  /// Returns the response; status 0 when no complete one arrived.
  asio::awaitable<http::Response>
  callFor(std::size_t gateway, std::string path,
          std::vector<http::Header> headers = {}) {
    http::Request request{"GET", std::move(path), std::move(headers), {}};
    request.Headers.push_back({"Host", "a.example"});
    request.Headers.push_back({"X-Attempt-Id", std::to_string(++LastAttempt)});
    const auto all = gateways();
    const base::Endpoint to =
        all[gateway % all.size()]->context().Settings.Listen;
    http::FetchResult fetched =
        co_await http::fetch(to, std::move(request), seconds(3));
    http::Response none;
    none.Status = 0;
    co_return ok(fetched.Outcome) ? value(fetched.Outcome) : none;
  }

  asio::awaitable<int> call(std::size_t gateway, std::string path) {
    const http::Response response = co_await callFor(gateway, std::move(path));
    co_return response.Status;
  }

  /// Calls a gateway's control address.
  asio::awaitable<http::Response>
  operate(std::size_t gateway, std::string method, std::string path) {
    http::Request request{std::move(method), std::move(path), {}, {}};
    const base::Endpoint to =
        Gateways[gateway]->context().Settings.ControlListen;
    http::FetchResult fetched =
        co_await http::fetch(to, std::move(request), seconds(3));
    co_return value(fetched.Outcome);
  }

  /// Crashes servers one after another, whatever they run.
  asio::awaitable<void> crashServers(int count) {
    ++OpenCallers;
    for (int i = 0; i < count; ++i) {
      co_await sleepFor(CrashInterval);
      Servers[static_cast<std::size_t>(i)]->end();
    }
    co_await sleepFor(CrashInterval);
    --OpenCallers;
  }

  std::size_t count(Quarantine::State state) const {
    std::size_t n = 0;
    for (const auto &gateway : Gateways)
      n += gateway->context().Suspects.count(now(), state);
    return n;
  }
  std::size_t quarantinedRequests() const {
    return count(Quarantine::State::Quarantined);
  }
  std::size_t suspectRequests() const {
    return count(Quarantine::State::Suspect);
  }

  /// A caller that repeats the request of death at once, each time at another
  /// gateway.
  asio::awaitable<void>
  repeatDeadly(int tries, std::size_t firstGateway = 0,
               std::string path = std::string(DeadlyPath)) {
    ++OpenCallers;
    for (int i = 0; i < tries; ++i) {
      const int status =
          co_await call(firstGateway + static_cast<std::size_t>(i), path);
      Statuses.push_back(status);
    }
    --OpenCallers;
  }

  asio::awaitable<void> callOrdinary(std::size_t gateway, std::string path) {
    const int status = co_await call(gateway, std::move(path));
    ++(status == 200 ? Ordinary.Served : Ordinary.Failed);
  }

  /// Sends ordinary requests, 200 a second, until `isEnough`. They are all
  /// different unless `isHot`.
  asio::awaitable<void> callOrdinaryUntil(std::function<bool()> isEnough,
                                          bool isHot = false) {
    for (std::size_t i = 0; !isEnough(); ++i) {
      asio::co_spawn(Io,
                     callOrdinary(i, isHot ? "/hot" : "/x" + std::to_string(i)),
                     asio::detached);
      co_await sleepFor(PollInterval);
    }
    co_await sleepFor(milliseconds(1'500));
  }

  asio::awaitable<void> callOrdinaryWhileCallersTry() {
    co_await callOrdinaryUntil([this] { return OpenCallers == 0; });
  }

  base::Instant now() const { return Clock.now().Steady; }

  static constexpr milliseconds RenewalInterval{400};
  static constexpr milliseconds CrashInterval{400};

  asio::io_context Io{1};
  base::SystemClock Clock;
  DeadlyRequests Deadly;
  std::vector<std::shared_ptr<MortalServer>> Servers;
  /// Entries of servers that have ended.
  std::vector<ListedServer> EndedEntries;
  std::vector<std::unique_ptr<Shell>> Gateways;
  /// The first one of those that get requests.
  std::size_t FirstGateway = 0;
  std::vector<int> Statuses;
  OrdinaryResults Ordinary;
  std::uint64_t ListRevision = 1;
  /// The quarantined parts in the store, by name.
  std::map<std::string, SavedPart> SavedParts;
  int OpenCallers = 0;
  bool HearEachOther = true;
  int LastAttempt = 0;
};

} // namespace drumlanding::gateway::test

// Runs a complete gateway against test servers on loopback: requests, streams
// and migrations, with the faults that can occur in each. Tests wait for
// conditions instead of fixed times; only the test of the resync delay measures
// a rate.
#include "free-endpoint.h"
#include "platform/protocol-codec.h"
#include "shell.h"

#include "drumlanding/daemon/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using base::seconds;
using daemon::sleepFor;
using test::freeEndpoint;
namespace ip = asio::ip;

/// Time limit after which a hanging test fails.
constexpr seconds TestLimit{20};
constexpr milliseconds PollInterval{2};
/// A migrating stream must last longer than the change to a leaving server
/// takes to arrive.
constexpr int MigrationEvents = 300;

std::string eventText(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
         "\n\n";
}

/// Faults during the migration of a generation.
enum class MigrationFault {
  None,
  NoRunYet,           ///< The source has no such run for the first two copies.
  NoRoom,             ///< The destination has no room.
  CopyHangs,          ///< The source never answers a copy request.
  FinalCopyFails,     ///< The final copy fails; the source keeps the KV cache.
  FinalResponseLost,  ///< The source stops the run, but its response is lost.
  StoppedRunUnknown,  ///< As before, and the source knows the run no more.
  NoHandle,           ///< The response to the final copy cannot be read.
  DestinationRefuses, ///< The destination refuses to resume from the copy.
  DestinationDies,    ///< The resumed stream is interrupted after one event.
  SourceDies,         ///< The source dies before the final copy.
};

/// A test server: an engine that streams numbered events, or a server of a
/// plain service when OnRequest is set.
class TestServer {
public:
  TestServer(asio::io_context &io, std::string id, std::string service)
      : Io(io), Id(std::move(id)), Service(std::move(service)),
        Address(freeEndpoint()) {
    auto listener = http::Server::listen(
        io, Address, {}, [this](http::Request r, http::Exchange &x) {
          return serve(std::move(r), x);
        });
    Listener = std::move(value(listener));
  }

  ListedServer listed(ServerState state = ServerState::Ready) const {
    ListedServer s;
    s.Id = Id;
    s.Service = Service;
    s.Address = Address;
    s.Zone = "a";
    s.State = state;
    return s;
  }

  http::Response ownResponse(const http::Request &request, int status,
                             std::string body) const {
    return {status,
            "text/plain",
            std::move(body),
            {{"X-Attempt-Id", std::string(request.header("X-Attempt-Id"))},
             {"X-Served-Stamp", Id}}};
  }

  asio::io_context &Io;
  std::string Id;
  std::string Service;
  base::Endpoint Address;
  std::vector<http::Request> Requests;
  std::function<asio::awaitable<void>(http::Request, http::Exchange &)>
      OnRequest;
  /// Used by engines only.
  /// The limit that the responses name; empty for none.
  std::string Limit;
  int Events = 30;
  int Disconnects = 0;
  bool IsStopped = false;
  /// The last event of a stream has been sent.
  bool HasEnded = false;
  bool IsDead = false;
  int Copies = 0;
  MigrationFault Fault = MigrationFault::None;
  /// Streams have neither a length nor chunks and end with the connection.
  bool IsUndelimited = false;
  /// New streams have a first token, but send no event until they are stopped.
  bool IsBeforeFirstEvent = false;

private:
  // Needed because GCC 12 destroys temporaries of braced initializer lists in a
  // co_await expression twice.
  static asio::awaitable<void> sendJson(http::Exchange &x, int status,
                                        std::string body) {
    http::Response response;
    response.Status = status;
    response.Body = std::move(body);
    co_await x.send(std::move(response));
  }

  asio::awaitable<void> serve(http::Request request, http::Exchange &x) {
    if (request.path() == "/drumlanding/kv-move") {
      co_await serveCopy(request, x);
      co_return;
    }
    if (request.Method == "DELETE") {
      co_await sendJson(x, 200, "");
      co_return;
    }
    Requests.push_back(request);
    if (OnRequest) {
      co_await OnRequest(std::move(request), x);
      co_return;
    }
    co_await serveStream(request, x);
  }

  asio::awaitable<void> serveStream(const http::Request &request,
                                    http::Exchange &x) {
    const bool isContinued = !request.header("Kv-From").empty();
    if (isContinued && Fault == MigrationFault::DestinationRefuses) {
      http::Response refused = ownResponse(request, 503, "");
      refused.Headers.push_back({"X-Not-Run", "1"});
      co_await x.send(std::move(refused));
      co_return;
    }
    x.onDisconnect([this] { ++Disconnects; });
    std::vector<http::Header> headers = ownResponse(request, 200, "").Headers;
    headers.push_back({"Content-Type", "text/event-stream"});
    if (!Limit.empty())
      headers.push_back({"Server-Limit", Limit});
    if (IsUndelimited)
      co_await x.beginEvents(headers);
    else
      co_await x.beginBody(200, headers);
    const std::string last(request.header("Last-Event-Id"));
    int next = last.empty() ? 0 : std::stoi(last) + 1;
    if (isContinued)
      IsStopped = false;
    while (IsBeforeFirstEvent && !isContinued && !IsStopped)
      co_await sleepFor(PollInterval);
    for (int sent = 0; next < Events; ++sent) {
      if (IsStopped || IsDead)
        co_return;
      if (isContinued && sent == 1 && Fault == MigrationFault::DestinationDies)
        co_return;
      const bool isSent = co_await sendEvent(x, next++);
      if (!isSent)
        co_return;
      co_await sleepFor(PollInterval);
    }
    HasEnded = true;
    if (!IsUndelimited)
      co_await x.endBody();
  }

  asio::awaitable<bool> sendEvent(http::Exchange &x, int id) const {
    if (!IsUndelimited)
      co_return co_await x.body(eventText(id));
    http::ServerEvent event;
    event.Id = std::to_string(id);
    event.Data = "x";
    std::vector<http::ServerEvent> events;
    events.push_back(event);
    co_return co_await x.events(std::move(events));
  }

  asio::awaitable<void> serveCopy(const http::Request &request,
                                  http::Exchange &x) {
    const auto json = nlohmann::json::parse(request.Body);
    const bool isLast = json.value("last", false);
    ++Copies;
    const bool isForgotten =
        IsStopped && Fault == MigrationFault::StoppedRunUnknown;
    if (HasEnded || isForgotten ||
        (Fault == MigrationFault::NoRunYet && Copies < 3)) {
      co_await sendJson(x, 404, "{}");
      co_return;
    }
    if (Fault == MigrationFault::NoRoom) {
      co_await sendJson(x, 503, "{}");
      co_return;
    }
    if (Fault == MigrationFault::CopyHangs) {
      co_await sleepFor(TestLimit);
      co_return;
    }
    if (Fault == MigrationFault::SourceDies && isLast) {
      IsDead = true;
      co_return;
    }
    IsStopped = IsStopped || isLast;
    if (isLast && (Fault == MigrationFault::FinalResponseLost ||
                   Fault == MigrationFault::StoppedRunUnknown))
      co_return;
    if (isLast && Fault == MigrationFault::NoHandle) {
      co_await sendJson(x, 200, R"({"han)");
      co_return;
    }
    const bool isFailed = Fault == MigrationFault::FinalCopyFails && isLast;
    const int status = isFailed ? 503 : 200;
    co_await sendJson(x, status, R"({"handle":"h1","made":5})");
  }

  std::unique_ptr<http::Server> Listener;
};

asio::awaitable<void> sendOwnResponse(TestServer &server, http::Request request,
                                      http::Exchange &x, int status,
                                      std::string body) {
  http::Response response =
      server.ownResponse(request, status, std::move(body));
  co_await x.send(std::move(response));
}

/// Sends part of a body and closes the connection.
asio::awaitable<void> sendTruncated(TestServer &server, http::Request request,
                                    http::Exchange &x) {
  std::vector<http::Header> headers =
      server.ownResponse(request, 200, "").Headers;
  co_await x.beginBody(200, std::move(headers));
  co_await x.body("half of");
}

asio::awaitable<void> hang() { co_await sleepFor(TestLimit); }

/// The events of a stream that a caller has received, and how the stream ended.
struct ReceivedStream {
  std::vector<std::string> Ids;
  http::StreamEnd End;
};

class ForwardingTest : public testing::Test {
protected:
  ForwardingTest() {
    GatewayConfig.Version = 1;
    GatewayConfig.Services = {{"shop", std::nullopt}, {"llm", engine()}};
    GatewayConfig.Routes = {route("/once/", RequestKind::NonIdempotent, "shop"),
                            route("/often/", RequestKind::Idempotent, "shop"),
                            route("/stream/", RequestKind::Stream, "llm")};
    GatewayConfig.Routes[1].MaxAttempts = 2;
  }

  static EngineTraits engine() {
    EngineTraits e;
    e.KvCacheTokens = 30'000;
    e.BytesPerToken = 100;
    e.LinkMbps = 1'000;
    e.CanMigrate = true;
    return e;
  }

  static Route route(std::string prefix, RequestKind kind,
                     std::string service) {
    Route r;
    r.Name = prefix;
    r.Host = "a.example";
    r.PathPrefix = std::move(prefix);
    r.Kind = kind;
    r.Timeout = milliseconds(10'000);
    r.Services = {{std::move(service), 1}};
    return r;
  }

  TestServer &addServer(std::string id, std::string service) {
    Servers.push_back(
        std::make_unique<TestServer>(Io, std::move(id), std::move(service)));
    return *Servers.back();
  }

  StoreReader storeReader() {
    StoreReader s;
    s.ReadConfig = [this](const http::ProgressHandler &)
        -> StoreReader::AsyncResult<ConfigText> {
      if (OnReadConfig)
        OnReadConfig();
      ConfigText text{1, HasConfig ? "config" : ""};
      co_return text;
    };
    s.WatchConfig =
        WatchConfig ? WatchConfig
                    : [](std::uint64_t, milliseconds, http::ProgressHandler) {
                        return never<ConfigText>();
                      };
    s.ReadServers = [this]() -> StoreReader::AsyncResult<ServerChanges> {
      ServerChanges all;
      for (const auto &server : Servers)
        all.Changes.push_back({server->Id, server->listed()});
      co_return all;
    };
    s.WatchServers = [this](std::uint64_t, milliseconds) {
      return nextChanges();
    };
    s.DecodeConfig = [this](std::string_view) -> base::Result<Config> {
      return GatewayConfig;
    };
    return s;
  }

  template <typename T> static StoreReader::AsyncResult<T> never() {
    co_await sleepFor(TestLimit);
    co_return base::Error{base::ErrorCode::TimedOut, "test", "never"};
  }

  StoreReader::AsyncResult<ServerChanges> nextChanges() {
    while (Changes.empty())
      co_await sleepFor(PollInterval);
    ServerChanges next;
    next.Changes = std::move(Changes);
    Changes.clear();
    co_return next;
  }

  void startGateway() {
    GatewaySettings settings;
    settings.Name = "gateway";
    settings.Zone = "a";
    settings.Listen = freeEndpoint();
    settings.ReadyListen = freeEndpoint();
    settings.ControlListen = freeEndpoint();
    settings.Retries = {0.2, 50, seconds(10)};
    settings.TerminationGracePeriod = GracePeriod;
    auto shell = Shell::start(Io, Clock, settings,
                              platform::makeProtocolCodec(), storeReader());
    ASSERT_TRUE(ok(shell)) << describe(error(shell));
    Gateway = std::move(value(shell));
    ListenAddress = settings.Listen;
    ReadyAddress = settings.ReadyListen;
  }

  /// Runs the io_context until the coroutine has ended; fails after TestLimit.
  template <typename Body> void runTest(Body body) {
    bool isDone = false;
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
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

  asio::awaitable<void> waitUntil(std::function<bool()> holds) {
    while (!holds())
      co_await sleepFor(PollInterval);
  }

  asio::awaitable<void> waitUntilReady() {
    co_await waitUntil([this] { return Gateway->context().isReady(); });
  }

  static http::Request request(std::string method, std::string path) {
    return {std::move(method),
            std::move(path),
            {{"Host", "a.example"},
             {"X-Attempt-Id", "id-1"},
             {"X-Token-Usage", "100,2000"}},
            {}};
  }

  asio::awaitable<http::Response> call(http::Request r) {
    http::FetchResult fetched =
        co_await http::fetch(ListenAddress, std::move(r), TestLimit);
    EXPECT_TRUE(ok(fetched.Outcome));
    if (!ok(fetched.Outcome))
      co_return http::Response{0, "", "", {}};
    co_return std::move(value(fetched.Outcome));
  }

  asio::awaitable<ReceivedStream> readStream(std::string path) {
    ReceivedStream received;
    received.End =
        co_await http::stream(ListenAddress, request("POST", std::move(path)),
                              TestLimit, [&](const http::ServerEvent &event) {
                                received.Ids.push_back(event.Id);
                                return true;
                              });
    co_return received;
  }

  static void expectInOrder(const ReceivedStream &received) {
    for (std::size_t i = 0; i < received.Ids.size(); ++i)
      EXPECT_EQ(received.Ids[i], std::to_string(i));
  }

  asio::io_context Io{1};
  base::SystemClock Clock;
  Config GatewayConfig;
  bool HasConfig = true;
  milliseconds GracePeriod = GatewaySettings().TerminationGracePeriod;
  decltype(StoreReader::WatchConfig) WatchConfig;
  std::function<void()> OnReadConfig;
  std::vector<std::unique_ptr<TestServer>> Servers;
  std::vector<ServerChange> Changes;
  std::unique_ptr<Shell> Gateway;
  base::Endpoint ListenAddress;
  base::Endpoint ReadyAddress;
};

TEST_F(ForwardingTest, GatewayWithoutConfigIsNotReady) {
  HasConfig = false;
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    const http::Response r = co_await call(request("GET", "/once/x"));
    EXPECT_EQ(r.Status, 503);
    EXPECT_FALSE(http::findHeader(r.Headers, "Retry-After").empty());
    http::Request ready{"GET", "/drumlanding/readyz", {}, {}};
    http::FetchResult f =
        co_await http::fetch(ReadyAddress, std::move(ready), TestLimit);
    EXPECT_EQ(base::value(f.Outcome).Status, 503);
  });
}

/// Guards against resyncs without a delay. A gateway that started when the
/// config was older than the store's compacted history read it some hundred
/// times a second.
TEST_F(ForwardingTest, ConfigIsRereadWithDelayAfterHistoryCompaction) {
  int reads = 0;
  WatchConfig =
      [](std::uint64_t, milliseconds,
         http::ProgressHandler) -> StoreReader::AsyncResult<ConfigText> {
    co_return base::Error{base::ErrorCode::NotFound, "test",
                          "history compacted"};
  };
  OnReadConfig = [&] { ++reads; };
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    constexpr milliseconds ObservationTime{500};
    co_await sleepFor(ObservationTime);
    EXPECT_GE(reads, 1);
    EXPECT_LE(reads, 5);
  });
}

TEST_F(ForwardingTest, ResponsesAreForwardedUnchanged) {
  TestServer &shop = addServer("s1", "shop");
  shop.OnRequest = [&](http::Request r, http::Exchange &x) {
    return sendOwnResponse(shop, std::move(r), x, 418, "teapot");
  };
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    http::Request r = request("POST", "/once/x?y=1");
    r.Body = "hello";
    const http::Response answer = co_await call(std::move(r));
    EXPECT_EQ(answer.Status, 418);
    EXPECT_EQ(answer.Body, "teapot");
    EXPECT_EQ(http::findHeader(answer.Headers, "X-Served-Stamp"), "s1");
    EXPECT_EQ(shop.Requests.size(), 1U);
    EXPECT_EQ(shop.Requests[0].Target, "/once/x?y=1");
    EXPECT_EQ(shop.Requests[0].Body, "hello");
    EXPECT_EQ(shop.Requests[0].header("X-Expect-Instance"), "s1");
    EXPECT_FALSE(shop.Requests[0].header("X-Deadline-Ms").empty());
  });
}

TEST_F(ForwardingTest, KeysAndRoutesAreChecked) {
  addServer("s1", "shop");
  GatewayConfig.Organisations =
      std::vector<Organisation>{{"school", {"k1"}, 0}};
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const http::Response withoutKey = co_await call(request("GET", "/once/x"));
    EXPECT_EQ(withoutKey.Status, 401);
    const http::Response notFound = co_await call(request("GET", "/nowhere"));
    EXPECT_EQ(notFound.Status, 404);
    EXPECT_TRUE(Servers[0]->Requests.empty());
  });
}

/// Guards against requests that run with any key, or none, once the last
/// organisation is gone (issue 38).
TEST_F(ForwardingTest, WithoutOrganisationsOnlyPublicRoutesAreOpen) {
  TestServer &shop = addServer("s1", "shop");
  shop.OnRequest = [&](http::Request r, http::Exchange &x) {
    return sendOwnResponse(shop, std::move(r), x, 200, "served");
  };
  GatewayConfig.Organisations = std::vector<Organisation>();
  GatewayConfig.Routes[1].IsPublic = true;
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const http::Response withoutKey = co_await call(request("POST", "/once/x"));
    EXPECT_EQ(withoutKey.Status, 401);
    http::Request withKey = request("POST", "/once/x");
    withKey.Headers.push_back({"X-Api-Key", "k1"});
    const http::Response unknownKey = co_await call(std::move(withKey));
    EXPECT_EQ(unknownKey.Status, 401);
    EXPECT_TRUE(shop.Requests.empty());
    const http::Response open = co_await call(request("GET", "/often/x"));
    EXPECT_EQ(open.Status, 200);
  });
}

TEST_F(ForwardingTest, OnlyIdempotentRequestsAreRetried) {
  const auto fail = [](TestServer &server, int status) {
    server.OnRequest = [&server, status](http::Request r, http::Exchange &x) {
      return sendOwnResponse(server, std::move(r), x, status, "failed");
    };
  };
  TestServer &one = addServer("s1", "shop");
  TestServer &two = addServer("s2", "shop");
  fail(one, 500);
  fail(two, 500);
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const http::Response once = co_await call(request("POST", "/once/x"));
    EXPECT_EQ(once.Status, 500);
    EXPECT_EQ(one.Requests.size() + two.Requests.size(), 1U);
    const http::Response often = co_await call(request("GET", "/often/x"));
    EXPECT_EQ(often.Status, 500);
    EXPECT_EQ(often.Body, "failed");
    EXPECT_EQ(one.Requests.size() + two.Requests.size(), 3U);
  });
}

TEST_F(ForwardingTest, TruncatedResponseIsNotForwarded) {
  TestServer &shop = addServer("s1", "shop");
  shop.OnRequest = [&](http::Request r, http::Exchange &x) {
    return sendTruncated(shop, std::move(r), x);
  };
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const http::Response r = co_await call(request("POST", "/once/x"));
    EXPECT_EQ(r.Status, 502);
    EXPECT_EQ(http::findHeader(r.Headers, "Drumlanding-Verdict"),
              "may-have-run");
    EXPECT_EQ(shop.Requests.size(), 1U);
  });
}

TEST_F(ForwardingTest, UnstampedResponseIsNotForwarded) {
  TestServer &shop = addServer("s1", "shop");
  shop.OnRequest = [](http::Request r,
                      http::Exchange &x) -> asio::awaitable<void> {
    http::Response bare{200, "", "forged", {}};
    bare.Headers.push_back(
        {"X-Attempt-Id", std::string(r.header("X-Attempt-Id"))});
    co_await x.send(std::move(bare));
  };
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const http::Response r = co_await call(request("POST", "/once/x"));
    EXPECT_EQ(r.Status, 502);
  });
}

TEST_F(ForwardingTest, RefusalBeforeRunIsReportedAsNotRun) {
  TestServer &shop = addServer("s1", "shop");
  shop.OnRequest = [&](http::Request r,
                       http::Exchange &x) -> asio::awaitable<void> {
    http::Response full = shop.ownResponse(r, 503, "full");
    full.Headers.push_back({"X-Not-Run", "1"});
    co_await x.send(std::move(full));
  };
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const http::Response r = co_await call(request("POST", "/once/x"));
    EXPECT_EQ(r.Status, 503);
    EXPECT_EQ(http::findHeader(r.Headers, "Drumlanding-Verdict"), "not-run");
    EXPECT_FALSE(http::findHeader(r.Headers, "Retry-After").empty());
    EXPECT_EQ(http::findHeader(r.Headers, "X-Served-Stamp"), "");
  });
}

TEST_F(ForwardingTest, ReplacedServerGetsNoFurtherRequests) {
  TestServer &old = addServer("s1", "shop");
  old.OnRequest = [&](http::Request r, http::Exchange &x) {
    return sendOwnResponse(old, std::move(r), x, 421, "");
  };
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const http::Response r = co_await call(request("POST", "/once/x"));
    EXPECT_EQ(r.Status, 503);
    const http::Response again = co_await call(request("POST", "/once/x"));
    EXPECT_EQ(again.Status, 503);
    EXPECT_EQ(old.Requests.size(), 1U);
  });
}

TEST_F(ForwardingTest, RequestIsAnsweredAtItsTimeout) {
  GatewayConfig.Routes[0].Timeout = milliseconds(150);
  TestServer &shop = addServer("s1", "shop");
  shop.OnRequest = [](http::Request, http::Exchange &) { return hang(); };
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const http::Response r = co_await call(request("POST", "/once/x"));
    EXPECT_EQ(r.Status, 504);
    EXPECT_EQ(shop.Requests.size(), 1U);
  });
}

TEST_F(ForwardingTest, UnreachableServerDoesNotUseAnAttempt) {
  TestServer &shop = addServer("s1", "shop");
  shop.OnRequest = [&](http::Request r, http::Exchange &x) {
    return sendOwnResponse(shop, std::move(r), x, 200, "served");
  };
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    ListedServer unreachable = shop.listed();
    unreachable.Id = "s0";
    unreachable.Address = freeEndpoint();
    Changes.push_back({"s0", unreachable});
    co_await waitUntil([&] { return Gateway->context().Servers.find("s0"); });
    for (int i = 0; i < 6; ++i) {
      const http::Response r = co_await call(request("POST", "/once/x"));
      EXPECT_EQ(r.Status, 200);
    }
  });
}

TEST_F(ForwardingTest, StreamsArriveComplete) {
  addServer("e1", "llm");
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const ReceivedStream r = co_await readStream("/stream/x");
    EXPECT_TRUE(r.End.IsComplete);
    EXPECT_EQ(r.Ids.size(), 30U);
    expectInOrder(r);
  });
}

TEST_F(ForwardingTest, InterruptedStreamIsNotEndedNormally) {
  TestServer &engine = addServer("e1", "llm");
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    ReceivedStream r;
    r.End =
        co_await http::stream(ListenAddress, request("POST", "/stream/x"),
                              TestLimit, [&](const http::ServerEvent &event) {
                                r.Ids.push_back(event.Id);
                                engine.IsDead = r.Ids.size() == 5;
                                return true;
                              });
    EXPECT_FALSE(r.End.IsComplete);
    EXPECT_GE(r.Ids.size(), 5U);
    expectInOrder(r);
  });
}

/// Guards against a gateway that gets most new connections, reads them all, and
/// serves each late, while other gateways are free (issue 32, RECOVER).
TEST_F(ForwardingTest, AnOverloadedGatewayClosesNewConnectionsUnread) {
  constexpr milliseconds BusyTime{250};
  constexpr milliseconds Load = seconds(4);
  constexpr int CallsPerTurn = 10;
  addServer("s1", "shop");
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const base::Instant from = std::chrono::steady_clock::now();
    const auto isLoaded = [&] {
      return std::chrono::steady_clock::now() - from < Load;
    };
    // Occupies the gateway's thread.
    const auto occupy = [&]() -> asio::awaitable<void> {
      while (isLoaded()) {
        std::this_thread::sleep_for(BusyTime);
        co_await sleepFor(milliseconds(1));
      }
    };
    int closed = 0;
    int served = 0;
    int open = 0;
    const auto callOnce = [&]() -> asio::awaitable<void> {
      ++open;
      const http::FetchResult result = co_await http::fetch(
          ListenAddress, request("GET", "/often/x"), seconds(5));
      ++(ok(result.Outcome) ? served : closed);
      --open;
    };
    asio::co_spawn(Io, occupy(), asio::detached);
    while (isLoaded()) {
      for (int i = 0; i < CallsPerTurn; ++i)
        asio::co_spawn(Io, callOnce(), asio::detached);
      co_await sleepFor(PollInterval);
    }
    while (open > 0)
      co_await sleepFor(PollInterval);
    EXPECT_GT(closed, served);
    EXPECT_GT(served, 0);
    // Calm again: all are accepted.
    co_await sleepFor(seconds(1));
    closed = 0;
    for (int i = 0; i < 10; ++i)
      co_await callOnce();
    EXPECT_EQ(closed, 0);
  });
}

TEST_F(ForwardingTest, CallerDisconnectEndsTheRun) {
  TestServer &engine = addServer("e1", "llm");
  engine.Events = 1'000'000;
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    co_await http::stream(ListenAddress, request("POST", "/stream/x"),
                          TestLimit,
                          [](const http::ServerEvent &) { return false; });
    co_await waitUntil([&] { return engine.Disconnects == 1; });
    EXPECT_EQ(engine.Requests.size(), 1U);
  });
}

TEST_F(ForwardingTest, LeavingGatewayCompletesOpenRequestsAndStops) {
  addServer("e1", "llm");
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    ReceivedStream r;
    r.End =
        co_await http::stream(ListenAddress, request("POST", "/stream/x"),
                              TestLimit, [&](const http::ServerEvent &event) {
                                if (event.Id == "3")
                                  Gateway->shutDown();
                                r.Ids.push_back(event.Id);
                                return true;
                              });
    EXPECT_TRUE(r.End.IsComplete);
    expectInOrder(r);
    EXPECT_FALSE(Gateway->context().isReady());
  });
}

/// Guards against a stopping gateway that takes a further request on a
/// connection whose response had begun before the stop, and cuts it at its exit
/// (hunt, busy-stops-and-hangups, LOST).
TEST_F(ForwardingTest, ALeavingGatewayTakesNoRequestAfterAnOpenResponse) {
  TestServer &server = addServer("e1", "llm");
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    auto opened = co_await http::Connection::open(ListenAddress, TestLimit);
    const std::shared_ptr<http::Connection> caller = value(opened);
    caller->send(request("POST", "/stream/x"));
    const auto head = co_await caller->readHead();
    EXPECT_TRUE(ok(head));
    Gateway->shutDown();
    for (;;) {
      const auto piece = co_await caller->read();
      EXPECT_TRUE(ok(piece));
      if (!ok(piece) || value(piece).empty())
        break;
    }
    caller->send(request("POST", "/stream/x"));
    const auto next = co_await caller->readHead();
    EXPECT_FALSE(ok(next));
    EXPECT_EQ(server.Requests.size(), 1U);
  });
}

/// A gateway that is stopped, with a grace period longer than the time in which
/// its load balancer may still send connections.
class StoppingGatewayTest : public ForwardingTest {
protected:
  using Socket = ip::tcp::socket;

  StoppingGatewayTest() {
    GracePeriod = milliseconds(6'000);
    TestServer &shop = addServer("s1", "shop");
    shop.OnRequest = [](http::Request, http::Exchange &) { return hang(); };
    startGateway();
  }

  /// Runs until the gateway stops the loop, and then until `isDone`.
  void runUntilStopped(const bool &isDone) {
    Io.run_for(TestLimit);
    Io.restart();
    const base::Instant until = Clock.now().Steady + seconds(1);
    while (!isDone && Clock.now().Steady < until)
      Io.run_one_for(PollInterval);
    EXPECT_TRUE(isDone);
  }

  asio::awaitable<Socket> connect() {
    Socket socket(Io);
    co_await socket.async_connect(
        {ip::make_address(ListenAddress.Address), ListenAddress.Port},
        asio::use_awaitable);
    co_return socket;
  }

  /// Reads until the gateway closes the connection.
  static asio::awaitable<std::string> readAll(Socket &socket) {
    std::string text;
    boost::system::error_code ec;
    std::array<char, 4'096> buf{};
    while (!ec) {
      const std::size_t n = co_await socket.async_read_some(
          asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      text.append(buf.data(), n);
    }
    co_return text;
  }

  std::size_t requestsAtServer() const { return Servers[0]->Requests.size(); }
};

/// Guards against requests that are taken late in the grace period, passed on,
/// and cut at its end (issue 44, LOST).
TEST_F(StoppingGatewayTest, ARequestThatMayOutlastTheStopIsRefused) {
  constexpr milliseconds Late{3'200};
  std::string answer;
  bool isDone = false;
  const auto callLate = [&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    Socket socket = co_await connect();
    const std::string first = "POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
                              "X-Attempt-Id: id-1\r\nContent-Length: 2\r\n"
                              "\r\na";
    const std::string last = "b";
    co_await asio::async_write(socket, asio::buffer(first),
                               asio::use_awaitable);
    Gateway->shutDown();
    co_await sleepFor(Late);
    co_await asio::async_write(socket, asio::buffer(last), asio::use_awaitable);
    answer = co_await readAll(socket);
    isDone = true;
  };
  asio::co_spawn(Io, callLate(), asio::detached);
  runUntilStopped(isDone);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  EXPECT_EQ(requestsAtServer(), 0U);
}

/// Guards against requests that are open at the end of the grace period and get
/// no answer (issue 44, LOST).
TEST_F(StoppingGatewayTest, AnOpenRequestIsAnsweredAtTheStop) {
  std::string answer;
  bool isDone = false;
  const auto callBefore = [&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    Socket socket = co_await connect();
    const std::string whole = "POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
                              "X-Attempt-Id: id-1\r\nContent-Length: 0\r\n"
                              "\r\n";
    co_await asio::async_write(socket, asio::buffer(whole),
                               asio::use_awaitable);
    co_await waitUntil([this] { return requestsAtServer() == 1; });
    Gateway->shutDown();
    answer = co_await readAll(socket);
    isDone = true;
  };
  asio::co_spawn(Io, callBefore(), asio::detached);
  runUntilStopped(isDone);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
}

/// Guards against a response whose request was open at the stop signal, and
/// that lets its caller send the next request on a connection that is closed
/// unread (issue 44).
TEST_F(ForwardingTest, AResponseAfterTheStopSignalClosesItsConnection) {
  TestServer &shop = addServer("s1", "shop");
  shop.OnRequest = [&](http::Request r,
                       http::Exchange &x) -> asio::awaitable<void> {
    Gateway->shutDown();
    co_await sendOwnResponse(shop, std::move(r), x, 200, "whole");
  };
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    auto opened = co_await http::Connection::open(ListenAddress, TestLimit);
    const std::shared_ptr<http::Connection> caller = value(opened);
    caller->send(request("POST", "/once/x"));
    const auto head = co_await caller->readHead();
    EXPECT_TRUE(ok(head));
    if (ok(head)) {
      EXPECT_EQ(value(head).Status, 200);
      EXPECT_EQ(value(head).header("Connection"), "close");
    }
  });
}

TEST_F(ForwardingTest, ValidSettingsAreReloadedAndInvalidOnesRejected) {
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    GatewaySettings fresh = Gateway->context().Settings;
    fresh.DrainTime = milliseconds(777);
    Gateway->reload(fresh);
    EXPECT_EQ(Gateway->context().Settings.DrainTime, milliseconds(777));
    Gateway->reload(base::invalid("--drain_ms", "bad"));
    EXPECT_EQ(Gateway->context().Settings.DrainTime, milliseconds(777));
    co_return;
  });
}

/// Migrations under each fault: every event arrives at most once and in order,
/// and the stream ends normally exactly when all events have arrived.
class MigrationTest : public ForwardingTest,
                      public testing::WithParamInterface<MigrationFault> {
protected:
  void expectEveryEventOnce(MigrationFault fault, bool isUndelimited);
};

void MigrationTest::expectEveryEventOnce(MigrationFault fault,
                                         bool isUndelimited) {
  TestServer &source = addServer("e1", "llm");
  const bool isAtDestination = fault == MigrationFault::DestinationRefuses ||
                               fault == MigrationFault::DestinationDies;
  source.Fault = isAtDestination ? MigrationFault::None : fault;
  source.Events = MigrationEvents;
  source.IsUndelimited = isUndelimited;
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    TestServer &destination = addServer("e2", "llm");
    destination.Fault = fault;
    destination.Events = MigrationEvents;
    destination.IsUndelimited = isUndelimited;
    // Tried when the copy to the first destination has failed.
    TestServer &other = addServer("e3", "llm");
    ReceivedStream r;
    r.End = co_await http::stream(
        ListenAddress, request("POST", "/stream/x"), TestLimit,
        [&](const http::ServerEvent &event) {
          if (event.Id == "3") {
            Changes.push_back({"e2", destination.listed()});
            if (fault == MigrationFault::StoppedRunUnknown)
              Changes.push_back({"e3", other.listed()});
            Changes.push_back({"e1", source.listed(ServerState::Leaving)});
          }
          r.Ids.push_back(event.Id);
          return true;
        });
    expectInOrder(r);
    EXPECT_EQ(r.End.IsComplete,
              r.Ids.size() == static_cast<std::size_t>(MigrationEvents));
    const bool isLost = fault == MigrationFault::FinalResponseLost ||
                        fault == MigrationFault::StoppedRunUnknown ||
                        fault == MigrationFault::NoHandle ||
                        fault == MigrationFault::DestinationDies ||
                        fault == MigrationFault::SourceDies;
    EXPECT_EQ(r.End.IsComplete, !isLost);
    if (fault == MigrationFault::None || fault == MigrationFault::NoRunYet) {
      EXPECT_EQ(destination.Requests.size(), 1U);
    }
    EXPECT_EQ(Gateway->context().Runs.ownRuns().size(), 0U);
  });
}

TEST_P(MigrationTest, EveryEventArrivesOnce) {
  expectEveryEventOnce(GetParam(), false);
}

/// Guards against a stream without a length that a migration stops, and that is
/// taken for whole (issues 32 and 38).
TEST_P(MigrationTest, EveryEventOfAnUndelimitedStreamArrivesOnce) {
  // What the destination sends cannot be told from a whole stream when it ends.
  if (GetParam() == MigrationFault::DestinationDies)
    return;
  expectEveryEventOnce(GetParam(), true);
}

/// Migrates a stream whose source has sent no event yet.
class EarlyMigrationTest : public ForwardingTest {
protected:
  /// Sends `r` to an engine that then leaves; returns what the caller receives.
  ReceivedStream migrate(http::Request r) {
    TestServer &source = addServer("e1", "llm");
    source.IsBeforeFirstEvent = true;
    startGateway();
    ReceivedStream received;
    runTest([&]() -> asio::awaitable<void> {
      co_await waitUntilReady();
      asio::co_spawn(Io, leave(source), asio::detached);
      received.End =
          co_await http::stream(ListenAddress, std::move(r), TestLimit,
                                [&](const http::ServerEvent &event) {
                                  received.Ids.push_back(event.Id);
                                  return true;
                                });
    });
    return received;
  }

  /// Adds the destination once the source has got the request.
  asio::awaitable<void> leave(TestServer &source) {
    co_await waitUntil([&] { return !source.Requests.empty(); });
    Destination = &addServer("e2", "llm");
    Changes.push_back({"e2", Destination->listed()});
    Changes.push_back({"e1", source.listed(ServerState::Leaving)});
  }

  TestServer *Destination = nullptr;
};

/// Guards against a stream that its caller has resumed, and that starts again
/// from its first event when it is migrated (issue 44, ORDER).
TEST_F(EarlyMigrationTest, AResumedStreamContinuesWhereItsCallerStopped) {
  http::Request r = request("POST", "/stream/x");
  r.Headers.push_back({"Last-Event-Id", "5"});
  const ReceivedStream received = migrate(std::move(r));
  EXPECT_TRUE(received.End.IsComplete);
  ASSERT_EQ(received.Ids.size(), 24U);
  for (std::size_t i = 0; i < received.Ids.size(); ++i)
    EXPECT_EQ(received.Ids[i], std::to_string(i + 6));
  ASSERT_EQ(Destination->Requests.size(), 1U);
  EXPECT_EQ(Destination->Requests[0].header("Last-Event-Id"), "5");
}

/// Guards against the loss of a first event whose id is 0, when a stream is
/// migrated before it (issue 44, ORDER).
TEST_F(EarlyMigrationTest, AStreamBeginsWithItsFirstEvent) {
  const ReceivedStream received = migrate(request("POST", "/stream/x"));
  EXPECT_TRUE(received.End.IsComplete);
  EXPECT_EQ(received.Ids.size(), 30U);
  expectInOrder(received);
}

/// Streams whose source ends their connection while it does not respond to the
/// request for a copy.
class HungMigrationTest : public ForwardingTest {
protected:
  TestServer &startWithSource() {
    TestServer &source = addServer("e1", "llm");
    source.Fault = MigrationFault::CopyHangs;
    source.Events = MigrationEvents;
    startGateway();
    return source;
  }

  /// Reads a stream whose source fails after event 3.
  asio::awaitable<ReceivedStream> readFailingStream(TestServer &source,
                                                    milliseconds idleTimeout) {
    ReceivedStream received;
    received.End = co_await http::stream(
        ListenAddress, request("POST", "/stream/x"), idleTimeout,
        [&](const http::ServerEvent &event) {
          if (event.Id == "3")
            asio::co_spawn(Io, fail(source), asio::detached);
          received.Ids.push_back(event.Id);
          return true;
        });
    co_return received;
  }

private:
  asio::awaitable<void> fail(TestServer &source) {
    // The second is tried when the first copy has timed out.
    for (const char *id : {"e2", "e3"})
      Changes.push_back({id, addServer(id, "llm").listed()});
    Changes.push_back({"e1", source.listed(ServerState::Leaving)});
    co_await waitUntil([&] { return source.Copies == 1; });
    source.IsDead = true;
  }
};

/// Guards against streams that stay open past the timeout of their route while
/// a migration hangs (issue 44, CONFIG).
TEST_F(HungMigrationTest, AStreamEndsAtItsTimeout) {
  GatewayConfig.Routes[2].Timeout = milliseconds(700);
  TestServer &source = startWithSource();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    const ReceivedStream r = co_await readFailingStream(source, TestLimit);
    EXPECT_TRUE(source.IsDead);
    EXPECT_FALSE(r.End.IsComplete);
    EXPECT_EQ(source.Copies, 1) << "the copy should still hang";
    EXPECT_EQ(Gateway->context().OpenRequests, 0);
  });
}

/// Guards against requests that stay open after their caller has left, while a
/// migration hangs (issue 44).
TEST_F(HungMigrationTest, AStreamEndsWhenItsCallerDisconnects) {
  TestServer &source = startWithSource();
  runTest([&]() -> asio::awaitable<void> {
    co_await waitUntilReady();
    co_await readFailingStream(source, milliseconds(300));
    EXPECT_TRUE(source.IsDead);
    co_await waitUntil([&] { return Gateway->context().OpenRequests == 0; });
    EXPECT_EQ(source.Copies, 1) << "the copy should still hang";
  });
}

/// Migrates a stream to a destination whose limit is known.
class LimitedMigrationTest : public ForwardingTest {
protected:
  void migrateTo(TestServer &destination, const std::string &limit) {
    destination.Limit = limit;
    destination.Events = 3;
    startGateway();
    runTest([&]() -> asio::awaitable<void> {
      co_await waitUntilReady();
      const auto first = co_await readStream("/stream/x");
      EXPECT_TRUE(first.End.IsComplete);
      destination.Events = MigrationEvents;
      TestServer &source = addServer("e1", "llm");
      source.Events = MigrationEvents;
      Changes.push_back({"e1", source.listed()});
      co_await waitUntil(
          [&] { return Gateway->context().Servers.find("e1") != nullptr; });
      ReceivedStream r;
      r.End = co_await http::stream(
          ListenAddress, request("POST", "/stream/x"), TestLimit,
          [&](const http::ServerEvent &event) {
            if (event.Id == "3")
              Changes.push_back({"e1", source.listed(ServerState::Leaving)});
            r.Ids.push_back(event.Id);
            return true;
          });
      expectInOrder(r);
      EXPECT_TRUE(r.End.IsComplete);
    });
  }

  std::uint64_t countedSends() const {
    const auto &ctx = Gateway->context();
    const auto reports = ctx.Limits.reports(ctx.now());
    return reports.empty() ? 0 : reports[0].Sends;
  }
};

/// Guards against a resumed request that is not counted towards the limit of
/// the server that it moves to (issue 23, LIMIT).
TEST_F(LimitedMigrationTest, AMigratedStreamIsCounted) {
  TestServer &destination = addServer("e2", "llm");
  migrateTo(destination, "1000");
  EXPECT_EQ(destination.Requests.size(), 2U);
  EXPECT_EQ(countedSends(), 1U);
}

/// Guards against a migration to a server that has reached its limit (issue 23,
/// LIMIT).
TEST_F(LimitedMigrationTest, NoStreamMigratesToAServerAtItsLimit) {
  TestServer &destination = addServer("e2", "llm");
  migrateTo(destination, "0.01");
  EXPECT_EQ(destination.Requests.size(), 1U);
  EXPECT_EQ(countedSends(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, MigrationTest,
    testing::Values(
        MigrationFault::None, MigrationFault::NoRunYet, MigrationFault::NoRoom,
        MigrationFault::CopyHangs, MigrationFault::FinalCopyFails,
        MigrationFault::FinalResponseLost, MigrationFault::StoppedRunUnknown,
        MigrationFault::NoHandle, MigrationFault::DestinationRefuses,
        MigrationFault::DestinationDies, MigrationFault::SourceDies));

} // namespace
} // namespace drumlanding::gateway

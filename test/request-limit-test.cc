// Runs several gateways against servers that limit how many requests they take
// from all gateways together.
#include "free-endpoint.h"
#include "platform/protocol-codec.h"
#include "shell.h"

#include "drumlanding/daemon/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using base::seconds;
using daemon::sleepFor;
using test::freeEndpoint;

/// Time limit after which a hanging test fails.
constexpr seconds TestLimit{20};
constexpr milliseconds PollInterval{5};
/// The guaranteed limit: in any window, one and a half times what the server
/// takes and some more, once it has named its limit for some time.
constexpr seconds Window{4};
constexpr double WindowFactor = 1.5;
constexpr int WindowExtra = 5;
/// Time until the limit has to be kept. The users allow three seconds.
constexpr milliseconds MaxLearnTime{500};
/// A refused request is answered this fast.
constexpr milliseconds MaxRefusalTime{100};

/// A server of a plain service that records when requests arrive.
class LimitedServer {
public:
  LimitedServer(asio::io_context &io, const base::Clock &clock, std::string id)
      : Clock(clock), Id(std::move(id)), Address(freeEndpoint()) {
    auto listener = http::Server::listen(
        io, Address, {}, [this](http::Request r, http::Exchange &x) {
          return serve(std::move(r), x);
        });
    Listener = std::move(value(listener));
  }

  ListedServer listed() const {
    ListedServer s;
    s.Id = Id;
    s.Service = "shop";
    s.Address = Address;
    s.Zone = "a";
    return s;
  }

  int arrivalsSince(base::Instant from) const {
    return static_cast<int>(
        std::count_if(Arrivals.begin(), Arrivals.end(),
                      [&](base::Instant at) { return at >= from; }));
  }

  /// Returns the most arrivals in any window that begins after `from`.
  int mostInWindow(base::Instant from) const {
    int most = 0;
    for (const base::Instant start : Arrivals)
      if (start >= from)
        most = std::max(most,
                        arrivalsSince(start) - arrivalsSince(start + Window));
    return most;
  }

  const base::Clock &Clock;
  std::string Id;
  base::Endpoint Address;
  /// The value of the header; empty for none.
  std::string Limit;
  std::vector<base::Instant> Arrivals;

private:
  asio::awaitable<void> serve(http::Request request, http::Exchange &x) {
    Arrivals.push_back(Clock.now().Steady);
    http::Response response{200, "text/plain", "well", {}};
    response.Headers = {
        {"X-Attempt-Id", std::string(request.header("X-Attempt-Id"))},
        {"X-Served-Stamp", Id}};
    if (!Limit.empty())
      response.Headers.push_back({"Server-Limit", Limit});
    co_await x.send(std::move(response));
  }

  std::unique_ptr<http::Server> Listener;
};

/// What the callers got.
struct CallResults {
  int Served = 0;
  int Refused = 0;
  int Other = 0;
  base::Duration LongestRefusal{0};
  double ShortestRetryAfter = 1e9;
};

class RequestLimitTest : public testing::Test {
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
      ServerChanges all;
      for (const auto &server : Servers)
        all.Changes.push_back({server->Id, server->listed()});
      co_return all;
    };
    s.WatchServers =
        [](std::uint64_t,
           milliseconds wait) -> StoreReader::AsyncResult<ServerChanges> {
      co_await sleepFor(wait);
      co_return ServerChanges{};
    };
    s.DecodeConfig = [](std::string_view) -> base::Result<Config> {
      Config config;
      config.Version = 1;
      Route route;
      route.Name = "route";
      route.Host = "a.example";
      route.PathPrefix = "/";
      route.Timeout = seconds(3);
      route.IsPublic = true;
      route.MaxAttempts = 2;
      route.Services = {{"shop", 1}};
      config.Routes.push_back(route);
      Service service;
      service.Name = "shop";
      config.Services.push_back(service);
      return config;
    };
    return s;
  }

  LimitedServer &addServer(const std::string &id) {
    Servers.push_back(std::make_unique<LimitedServer>(Io, Clock, id));
    return *Servers.back();
  }

  void startGateways(int count) {
    for (int i = 0; i < count; ++i) {
      GatewaySettings settings;
      settings.Name = "gateway-" + std::to_string(i);
      settings.Zone = "a";
      settings.Listen = freeEndpoint();
      settings.ReadyListen = freeEndpoint();
      settings.ControlListen = freeEndpoint();
      if (!Gateways.empty())
        settings.Seeds = {Gateways[0]->context().Settings.ControlListen};
      settings.Retries = {0.2, 50, seconds(10)};
      auto shell = Shell::start(Io, Clock, settings,
                                platform::makeProtocolCodec(), storeReader());
      ASSERT_TRUE(ok(shell)) << describe(error(shell));
      Gateways.push_back(std::move(value(shell)));
    }
  }

  template <typename Body> void runTest(Body body) {
    bool isDone = false;
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          for (const auto &gateway : Gateways)
            while (!gateway->context().isReady())
              co_await sleepFor(PollInterval);
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

  asio::awaitable<void> callOnce(base::Endpoint to) {
    http::Request request{"GET",
                          "/x",
                          {{"Host", "a.example"},
                           {"X-Attempt-Id", std::to_string(++LastAttempt)}},
                          {}};
    const base::Instant startedAt = now();
    http::FetchResult fetched =
        co_await http::fetch(to, std::move(request), TestLimit);
    if (!ok(fetched.Outcome)) {
      ++Results.Other;
      co_return;
    }
    const http::Response &response = value(fetched.Outcome);
    if (response.Status == 200) {
      ++Results.Served;
    } else if (response.Status == 503) {
      ++Results.Refused;
      Results.LongestRefusal =
          std::max(Results.LongestRefusal, now() - startedAt);
      const std::string_view wait =
          http::findHeader(response.Headers, "Retry-After");
      Results.ShortestRetryAfter =
          std::min(Results.ShortestRetryAfter,
                   wait.empty() ? 0 : std::stod(std::string(wait)));
    } else {
      ++Results.Other;
    }
  }

  /// Sends requests to the first `gateways` gateways in turn, `perSecond` in
  /// all.
  asio::awaitable<void> callFor(base::Duration length, int perSecond,
                                std::size_t gateways) {
    const base::Instant from = now();
    for (std::size_t i = 0; now() - from < length; ++i) {
      const base::Endpoint to =
          Gateways[i % gateways]->context().Settings.Listen;
      asio::co_spawn(Io, callOnce(to), asio::detached);
      co_await sleepFor(milliseconds(1'000 / perSecond));
    }
    co_await sleepFor(MaxRefusalTime);
  }

  /// Calls with a limit named and learned, and returns when it was in force.
  asio::awaitable<base::Instant> learnLimit(LimitedServer &server,
                                            const std::string &limit) {
    server.Limit = limit;
    co_await callFor(MaxLearnTime, 100, Gateways.size());
    Results = CallResults();
    co_return now();
  }

  static int allowedInWindow(double limit) {
    return static_cast<int>(WindowFactor * limit *
                            std::chrono::duration<double>(Window).count()) +
           WindowExtra;
  }

  base::Instant now() const { return Clock.now().Steady; }

  asio::io_context Io{1};
  base::SystemClock Clock;
  std::vector<std::unique_ptr<LimitedServer>> Servers;
  std::vector<std::unique_ptr<Shell>> Gateways;
  CallResults Results;
  int LastAttempt = 0;
};

/// Guards against gateways that send a server more than the limit that it has
/// named for all of them (issue 23, LIMIT).
TEST_F(RequestLimitTest, AServersLimitHoldsOverAllGateways) {
  LimitedServer &limited = addServer("s1");
  addServer("s2");
  startGateways(5);
  runTest([&]() -> asio::awaitable<void> {
    const base::Instant from = co_await learnLimit(limited, "3.2");
    co_await callFor(Window + seconds(1), 100, Gateways.size());
    EXPECT_LE(limited.mostInWindow(from), allowedInWindow(3.2));
    // Served elsewhere: no caller notices.
    EXPECT_EQ(Results.Refused + Results.Other, 0);
  });
}

/// Guards against requests that wait for, or are sent to, servers that all have
/// reached their limits (issue 23, LIMIT).
TEST_F(RequestLimitTest, WhatFitsNowhereIsRefusedAtOnce) {
  LimitedServer &limited = addServer("s1");
  startGateways(3);
  runTest([&]() -> asio::awaitable<void> {
    const base::Instant from = co_await learnLimit(limited, "2");
    co_await callFor(Window + seconds(1), 100, Gateways.size());
    EXPECT_LE(limited.mostInWindow(from), allowedInWindow(2));
    EXPECT_GT(Results.Refused, 0);
    EXPECT_EQ(Results.Other, 0);
    EXPECT_LT(Results.LongestRefusal, MaxRefusalTime);
    EXPECT_GT(Results.ShortestRetryAfter, 0);
  });
}

} // namespace
} // namespace drumlanding::gateway

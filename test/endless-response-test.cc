// Runs a gateway, and the HTTP client, against servers that send bytes without
// end, and measures the memory of the process.
#include "fixed-store.h"
#include "free-endpoint.h"
#include "platform/protocol-codec.h"
#include "server-call.h"
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
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using base::seconds;
using boost::system::error_code;
using daemon::sleepFor;
using test::freeEndpoint;
using tcp = asio::ip::tcp;

constexpr seconds TestLimit{30};
constexpr milliseconds PollInterval{5};
constexpr std::size_t Megabyte = 1 << 20;
/// Half of the memory of the smallest gateway VM on the users' sheets, 88 MB.
constexpr std::size_t MaxGrowth = 44 * Megabyte;
/// The caller waits this long; an endless response ends earlier.
constexpr milliseconds CallerTimeout{3'000};

std::size_t residentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// What an endless server sends first, and then again and again.
struct EndlessResponse {
  std::string First;
  std::string Repeated;
};

std::string headOf(const std::string &attempt, const std::string &framing) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
         "\r\nX-Served-Stamp: s\r\n" + framing + "\r\n";
}

/// A server whose responses have no end.
class EndlessServer {
public:
  using MakeResponse = std::function<EndlessResponse(const std::string &)>;

  EndlessServer(asio::io_context &io, MakeResponse make)
      : Address(freeEndpoint()), Make(std::move(make)),
        Acceptor(io, {asio::ip::make_address(Address.Address), Address.Port}) {
    asio::co_spawn(io, accept(), asio::detached);
  }

  base::Endpoint Address;
  int Requests = 0;

private:
  asio::awaitable<void> accept() {
    for (;;) {
      auto socket = std::make_shared<tcp::socket>(Acceptor.get_executor());
      error_code ec;
      co_await Acceptor.async_accept(
          *socket, asio::redirect_error(asio::use_awaitable, ec));
      if (ec)
        co_return;
      asio::co_spawn(Acceptor.get_executor(), serve(socket), asio::detached);
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket) {
    constexpr std::string_view Name = "X-Attempt-Id: ";
    std::string request;
    error_code ec;
    co_await asio::async_read_until(
        *socket, asio::dynamic_buffer(request), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, ec));
    ++Requests;
    std::string attempt;
    if (const auto at = request.find(Name); at != std::string::npos)
      attempt = request.substr(at + Name.size(),
                               request.find("\r\n", at) - at - Name.size());
    const EndlessResponse response = Make(attempt);
    co_await asio::async_write(*socket, asio::buffer(response.First),
                               asio::redirect_error(asio::use_awaitable, ec));
    while (!ec)
      co_await asio::async_write(*socket, asio::buffer(response.Repeated),
                                 asio::redirect_error(asio::use_awaitable, ec));
  }

  MakeResponse Make;
  tcp::acceptor Acceptor;
};

class EndlessResponseTest : public testing::Test {
protected:
  void startServer(EndlessServer::MakeResponse make) {
    Server = std::make_unique<EndlessServer>(Io, std::move(make));
  }

  StoreReader storeReader() {
    ListedServer listed;
    listed.Id = "s";
    listed.Service = "shop";
    listed.Address = Server->Address;
    listed.Zone = "a";
    return test::makeFixedStore(makeConfig(), {listed});
  }

  Config makeConfig() const {
    Config config;
    config.Version = 1;
    Route route;
    route.Name = "route";
    route.Host = "a.example";
    route.PathPrefix = "/";
    route.Kind = Kind;
    route.Timeout = CallerTimeout;
    route.IsPublic = true;
    route.Services = {{"shop", 1}};
    config.Routes.push_back(route);
    Service service;
    service.Name = "shop";
    if (Kind == RequestKind::Stream)
      service.Engine = EngineTraits{};
    config.Services.push_back(service);
    return config;
  }

  void startGateway() {
    GatewaySettings settings;
    settings.Name = "gateway";
    settings.Zone = "a";
    settings.Listen = freeEndpoint();
    settings.ReadyListen = freeEndpoint();
    settings.ControlListen = freeEndpoint();
    auto shell = Shell::start(Io, Clock, settings,
                              platform::makeProtocolCodec(), storeReader());
    ASSERT_TRUE(ok(shell)) << describe(error(shell));
    Gateway = std::move(value(shell));
  }

  asio::awaitable<void> sampleMemory() {
    for (;;) {
      MostBytes = std::max(MostBytes, residentBytes());
      co_await sleepFor(PollInterval);
    }
  }

  asio::awaitable<void> call() {
    http::Request request{"GET",
                          "/x",
                          {{"Host", "a.example"},
                           {"X-Attempt-Id", std::to_string(++LastAttempt)}},
                          {}};
    http::FetchResult fetched = co_await http::fetch(
        Gateway->context().Settings.Listen, std::move(request), TestLimit);
    if (ok(fetched.Outcome))
      Responses.push_back(std::move(value(fetched.Outcome)));
    --OpenCalls;
  }

  template <typename Body> void runTest(Body body) {
    test::runTest(Io, TestLimit, std::move(body));
  }

  /// Calls the gateway `count` times at once, and checks that each call gets a
  /// final answer early and that memory stays bounded.
  void checkCalls(int count) {
    startGateway();
    runTest([&]() -> asio::awaitable<void> {
      while (!Gateway->context().isReady())
        co_await sleepFor(PollInterval);
      const std::size_t before = residentBytes();
      asio::co_spawn(Io, sampleMemory(), asio::detached);
      const base::Instant startedAt = Clock.now().Steady;
      for (OpenCalls = 0; OpenCalls < count;) {
        ++OpenCalls;
        asio::co_spawn(Io, call(), asio::detached);
      }
      while (OpenCalls > 0)
        co_await sleepFor(PollInterval);
      EXPECT_LT(Clock.now().Steady - startedAt, CallerTimeout);
      EXPECT_LT(MostBytes - std::min(before, MostBytes), MaxGrowth);
      EXPECT_GE(Server->Requests, 1);
    });
  }

  void expectBadGateway(std::string_view text) {
    EXPECT_FALSE(Responses.empty());
    for (const http::Response &response : Responses) {
      EXPECT_EQ(response.Status, 502);
      EXPECT_NE(response.Body.find(text), std::string::npos) << response.Body;
    }
  }

  asio::io_context Io{1};
  base::SystemClock Clock;
  RequestKind Kind = RequestKind::NonIdempotent;
  std::unique_ptr<EndlessServer> Server;
  std::unique_ptr<Shell> Gateway;
  std::vector<http::Response> Responses;
  std::size_t MostBytes = 0;
  int OpenCalls = 0;
  int LastAttempt = 0;
};

const std::string Junk(64 << 10, 'x');

/// Guards against a body without end that is gathered until the deadline (issue
/// 26).
TEST_F(EndlessResponseTest, ABodyWithoutEnd) {
  startServer([](const std::string &attempt) {
    return EndlessResponse{headOf(attempt, ""), Junk};
  });
  checkCalls(1);
  expectBadGateway("larger than allowed");
}

/// Guards against many such bodies at once (issue 26).
TEST_F(EndlessResponseTest, ManyBodiesWithoutEnd) {
  startServer([](const std::string &attempt) {
    return EndlessResponse{headOf(attempt, ""), Junk};
  });
  checkCalls(30);
  expectBadGateway("larger than allowed");
}

/// Guards against the response to another request, which is skipped (issue 26).
TEST_F(EndlessResponseTest, AnotherRequestsBodyWithoutEnd) {
  startServer([](const std::string &) {
    return EndlessResponse{headOf("other", ""), Junk};
  });
  checkCalls(1);
  expectBadGateway("larger than allowed");
}

/// Guards against headers without end (issue 26).
TEST_F(EndlessResponseTest, AHeadWithoutEnd) {
  startServer([](const std::string &attempt) {
    return EndlessResponse{
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Long: ", Junk};
  });
  checkCalls(1);
  expectBadGateway("larger than allowed");
}

/// Guards against a chunk's header without end (issue 26).
TEST_F(EndlessResponseTest, AChunkHeaderWithoutEnd) {
  startServer([](const std::string &attempt) {
    return EndlessResponse{
        headOf(attempt, "Transfer-Encoding: chunked\r\n") + "4;x=", Junk};
  });
  checkCalls(1);
  expectBadGateway("");
}

/// Guards against an event of a stream without end (issue 26).
TEST_F(EndlessResponseTest, AnEventWithoutEnd) {
  Kind = RequestKind::Stream;
  startServer([](const std::string &attempt) {
    return EndlessResponse{
        headOf(attempt, "Content-Type: text/event-stream\r\n") +
            "id: 1\ndata: a\n\nid: 2\ndata: ",
        Junk};
  });
  checkCalls(1);
}

/// Guards against bytes without end from a server that is asked for its state,
/// from the store or from another gateway (issue 26).
TEST_F(EndlessResponseTest, ACallOfOurOwn) {
  for (const std::string &framing :
       {std::string(), std::string("Transfer-Encoding: chunked\r\n")}) {
    startServer([framing](const std::string &attempt) {
      return EndlessResponse{
          headOf(attempt, framing) + (framing.empty() ? "" : "4;x="), Junk};
    });
    const std::size_t before = residentBytes();
    bool isOk = true;
    Io.restart();
    runTest([&]() -> asio::awaitable<void> {
      asio::co_spawn(Io, sampleMemory(), asio::detached);
      http::Request request{"GET", "/report", {}, {}};
      const http::TransferTimeouts timeouts{seconds(1), seconds(1)};
      http::FetchResult fetched =
          co_await http::fetch(Server->Address, std::move(request), timeouts);
      isOk = ok(fetched.Outcome);
    });
    EXPECT_FALSE(isOk);
    EXPECT_LT(MostBytes - std::min(before, MostBytes), MaxGrowth);
  }
}

/// Guards against many such calls at once: each migrating generation asks its
/// engine for copies (issue 44, LOST).
TEST_F(EndlessResponseTest, ManyCallsToServers) {
  constexpr int Calls = 30;
  startServer([](const std::string &attempt) {
    return EndlessResponse{headOf(attempt, ""), Junk};
  });
  const auto callOnce = [this]() -> asio::awaitable<void> {
    http::Request request{"GET", "/report", {}, {}};
    const http::FetchResult fetched =
        co_await callServer(Server->Address, std::move(request), CallerTimeout);
    EXPECT_FALSE(ok(fetched.Outcome));
    --OpenCalls;
  };
  const std::size_t before = residentBytes();
  runTest([&]() -> asio::awaitable<void> {
    asio::co_spawn(Io, sampleMemory(), asio::detached);
    for (OpenCalls = 0; OpenCalls < Calls;) {
      ++OpenCalls;
      asio::co_spawn(Io, callOnce(), asio::detached);
    }
    while (OpenCalls > 0)
      co_await sleepFor(PollInterval);
  });
  EXPECT_LT(MostBytes - std::min(before, MostBytes), MaxGrowth);
}

/// Guards against bytes without end in a stream of events (issue 26).
TEST_F(EndlessResponseTest, AStreamOfEventsOfOurOwn) {
  for (const char *status : {"200 OK", "500 Internal Server Error"}) {
    startServer([status](const std::string &) {
      return EndlessResponse{
          std::string("HTTP/1.1 ") + status + "\r\n\r\ndata: ", Junk};
    });
    const std::size_t before = residentBytes();
    bool isComplete = true;
    const base::Instant startedAt = Clock.now().Steady;
    Io.restart();
    runTest([&]() -> asio::awaitable<void> {
      asio::co_spawn(Io, sampleMemory(), asio::detached);
      http::Request request{"GET", "/stream", {}, {}};
      const http::StreamEnd end =
          co_await http::stream(Server->Address, std::move(request), seconds(1),
                                [](const http::ServerEvent &) { return true; });
      isComplete = end.IsComplete;
    });
    EXPECT_FALSE(isComplete);
    EXPECT_LT(Clock.now().Steady - startedAt, CallerTimeout);
    EXPECT_LT(MostBytes - std::min(before, MostBytes), MaxGrowth);
  }
}

} // namespace
} // namespace drumlanding::gateway

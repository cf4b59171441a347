// Runs a gateway while callers send requests of the largest size that the
// config allows, and measures the memory of the process. The callers and the
// server hold no bodies of their own.
#include "fixed-store.h"
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
#include <fstream>
#include <gtest/gtest.h>
#include <map>
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
constexpr std::size_t BodyBytes = 4 * Megabyte;
constexpr std::size_t PieceBytes = 64 << 10;
const std::string Piece(PieceBytes, 'x');
constexpr std::size_t SmallBodyBytes = 600;
/// Half of the memory of the smallest gateway VM on the users' sheets, 88 MB.
constexpr std::size_t MaxGrowth = 44 * Megabyte;

std::size_t residentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Returns the value of a header in the text of a message; empty if missing.
std::string headerIn(const std::string &text, const std::string &name) {
  const auto at = text.find(name + ": ");
  if (at == std::string::npos)
    return {};
  const auto from = at + name.size() + 2;
  return text.substr(from, text.find("\r\n", from) - from);
}

/// Reads requests and discards their bodies. While `IsHeld` is set, it reads no
/// further than the head.
class DiscardingServer {
public:
  explicit DiscardingServer(asio::io_context &io)
      : Address(freeEndpoint()),
        Acceptor(io, {asio::ip::make_address(Address.Address), Address.Port}) {
    asio::co_spawn(io, accept(), asio::detached);
  }

  base::Endpoint Address;
  bool IsHeld = false;
  /// Time that a request takes once its body has been read.
  milliseconds WorkTime{0};
  int Requests = 0;

private:
  asio::awaitable<void> accept() {
    for (;;) {
      tcp::socket socket(Acceptor.get_executor());
      error_code ec;
      co_await Acceptor.async_accept(
          socket, asio::redirect_error(asio::use_awaitable, ec));
      if (ec)
        co_return;
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> serve(tcp::socket socket) {
    std::string head;
    error_code ec;
    const std::size_t n = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(head), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, ec));
    const std::string attempt = headerIn(head, "X-Attempt-Id");
    if (ec || attempt.empty())
      co_return;
    ++Requests;
    const std::string length = headerIn(head, "Content-Length");
    const std::size_t total = length.empty() ? 0 : std::stoul(length);
    std::size_t received = head.size() - n;
    std::string piece(PieceBytes, '\0');
    while (!ec && received < total) {
      while (IsHeld)
        co_await sleepFor(PollInterval);
      received += co_await socket.async_read_some(
          asio::buffer(piece), asio::redirect_error(asio::use_awaitable, ec));
    }
    co_await sleepFor(WorkTime);
    const std::string response = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                                 "\r\nX-Served-Stamp: s\r\n"
                                 "Content-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(response),
                               asio::redirect_error(asio::use_awaitable, ec));
  }

  tcp::acceptor Acceptor;
};

class LargeRequestTest : public testing::Test {
protected:
  static Config makeConfig() {
    Config config;
    config.Version = 1;
    config.Limits.MaxBodyBytes = BodyBytes;
    Route route;
    route.Name = "route";
    route.Host = "a.example";
    route.PathPrefix = "/";
    route.Kind = RequestKind::NonIdempotent;
    route.Timeout = seconds(10);
    route.Services = {{"shop", 1}};
    config.Routes.push_back(route);
    config.Services = {{"shop", std::nullopt}};
    return config;
  }

  asio::awaitable<void> startGateway() {
    ListedServer listed;
    listed.Id = "s";
    listed.Service = "shop";
    listed.Address = Server.Address;
    listed.Zone = "a";
    Settings.Name = "gateway";
    Settings.Zone = "a";
    Settings.Listen = freeEndpoint();
    Settings.ReadyListen = freeEndpoint();
    Settings.ControlListen = freeEndpoint();
    auto shell =
        Shell::start(Io, Clock, Settings, platform::makeProtocolCodec(),
                     test::makeFixedStore(makeConfig(), {listed}));
    EXPECT_TRUE(ok(shell));
    Gateway = std::move(value(shell));
    while (!Gateway->context().isReady())
      co_await sleepFor(PollInterval);
    BytesBefore = residentBytes();
    asio::co_spawn(Io, sampleMemory(), asio::detached);
  }

  asio::awaitable<void> sampleMemory() {
    for (;;) {
      MostBytes = std::max(MostBytes, residentBytes());
      co_await sleepFor(PollInterval);
    }
  }

  std::size_t growth() const {
    return MostBytes - std::min(BytesBefore, MostBytes);
  }

  /// Sends a request with a body of `bytes` and counts the status of its
  /// response; 0 if there is none.
  asio::awaitable<void> call(std::size_t bytes) {
    tcp::socket socket(Io);
    error_code ec;
    const base::Endpoint &to = Settings.Listen;
    co_await socket.async_connect(
        {asio::ip::make_address(to.Address), to.Port},
        asio::redirect_error(asio::use_awaitable, ec));
    const std::string head =
        "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " +
        std::to_string(++LastAttempt) +
        "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(head),
                               asio::redirect_error(asio::use_awaitable, ec));
    for (std::size_t sent = 0; sent < bytes && !ec;)
      sent += co_await asio::async_write(
          socket, asio::buffer(Piece, bytes - sent),
          asio::redirect_error(asio::use_awaitable, ec));
    ec = {};
    std::string response;
    co_await asio::async_read_until(
        socket, asio::dynamic_buffer(response), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, ec));
    constexpr std::size_t StatusAt = sizeof("HTTP/1.1 ") - 1;
    ++Statuses[ec ? 0 : std::stoi(response.substr(StatusAt))];
    --OpenCalls;
  }

  void startCalls(int count, std::size_t bytes) {
    for (int i = 0; i < count; ++i) {
      ++OpenCalls;
      asio::co_spawn(Io, call(bytes), asio::detached);
    }
  }

  asio::awaitable<void> waitForCalls() {
    while (OpenCalls > 0)
      co_await sleepFor(PollInterval);
  }

  asio::io_context Io{1};
  base::SystemClock Clock;
  DiscardingServer Server{Io};
  GatewaySettings Settings;
  std::unique_ptr<Shell> Gateway;
  std::size_t BytesBefore = 0;
  std::size_t MostBytes = 0;
  /// Number of responses by status.
  std::map<int, int> Statuses;
  int OpenCalls = 0;
  int LastAttempt = 0;
};

/// Guards against a body that is held several times while it is sent to a
/// server, so that a few large requests exhaust a small VM's memory (issue 38).
TEST_F(LargeRequestTest, ABodyIsHeldOnce) {
  constexpr int Calls = 3;
  test::runTest(Io, TestLimit, [&]() -> asio::awaitable<void> {
    Server.IsHeld = true;
    co_await startGateway();
    startCalls(Calls, BodyBytes);
    while (Server.Requests < Calls)
      co_await sleepFor(PollInterval);
    Server.IsHeld = false;
    co_await waitForCalls();
    // Half a body more for what a connection has read and not parsed.
    EXPECT_LT(growth(), Calls * BodyBytes * 3 / 2);
    EXPECT_EQ(Statuses[200], Calls);
  });
}

/// Guards against bursts of large requests that exhaust a gateway's memory, so
/// that the process is killed and what it holds is lost (issue 38).
TEST_F(LargeRequestTest, BurstsOfLargeBodiesAreBounded) {
  constexpr int Calls = 21;
  constexpr int SmallCalls = 20;
  test::runTest(Io, TestLimit, [&]() -> asio::awaitable<void> {
    Server.WorkTime = milliseconds(20);
    // So long that no body is refused on a slow machine.
    Settings.RequestBodies.MaxWait = TestLimit;
    co_await startGateway();
    startCalls(Calls, BodyBytes);
    startCalls(SmallCalls, SmallBodyBytes);
    co_await waitForCalls();
    EXPECT_LT(growth(), MaxGrowth);
    EXPECT_EQ(Statuses[200], Calls + SmallCalls);
  });
}

/// Guards against callers that wait for the memory of others until they give up
/// (issue 38).
TEST_F(LargeRequestTest, BodiesThatFindNoRoomAreRefusedEarly) {
  constexpr int Calls = 12;
  const int fitting =
      static_cast<int>(Settings.RequestBodies.MaxBytes / BodyBytes);
  test::runTest(Io, TestLimit, [&]() -> asio::awaitable<void> {
    Server.IsHeld = true;
    co_await startGateway();
    startCalls(Calls, BodyBytes);
    while (Statuses[503] < Calls - fitting)
      co_await sleepFor(PollInterval);
    // Small requests need no reservation.
    startCalls(1, SmallBodyBytes);
    Server.IsHeld = false;
    co_await waitForCalls();
    EXPECT_LT(growth(), MaxGrowth);
    EXPECT_EQ(Statuses[200], fitting + 1);
    EXPECT_EQ(Statuses[503], Calls - fitting);
  });
}

} // namespace
} // namespace drumlanding::gateway

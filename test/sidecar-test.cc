// Runs a sidecar in one process with a fake engine and a fake gateway that only
// receives. Tests wait for conditions, not for times.
#include "free-endpoint.h"
#include "sidecar.h"

#include "drumlanding/daemon/sleep.h"
#include "gateway.pb.h"
#include "platform/protocol-codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace drumlanding::sidecar {
namespace {

using base::milliseconds;
using base::seconds;
using daemon::sleepFor;
using test::freeEndpoint;
namespace wire = gateway::wire;

/// Longer than any test takes, so that a hang fails the test.
constexpr seconds TestLimit{20};
constexpr milliseconds Step{2};
constexpr std::string_view ReportPath = "/drumlanding/report";

class SidecarTest : public testing::Test {
protected:
  void SetUp() override {
    auto engine = http::Server::listen(
        Io, EngineAddress, {}, [this](http::Request r, http::Exchange &x) {
          return serve(std::move(r), x);
        });
    Engine = std::move(value(engine));
    auto gateway = gateway::DatagramSocket::open(Io, GatewayAddress);
    Gateway = std::move(value(gateway));
    const auto onDatagram = [this](std::string_view bytes,
                                   const gateway::DatagramSocket::Sender &) {
      wire::Gossip message;
      message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
      Notices.push_back(message.notice());
    };
    asio::co_spawn(Io, Gateway->receive(onDatagram), asio::detached);
    SidecarSettings settings{"sidecar", freeEndpoint(),  EngineAddress, "llm",
                             "a",       {GatewayAddress}};
    SidecarAddress = settings.Listen;
    auto started =
        Sidecar::start(Io, Clock, settings, platform::makeProtocolCodec());
    ASSERT_TRUE(ok(started)) << describe(error(started));
    Instance = std::move(value(started));
  }

  asio::awaitable<void> serve(http::Request request, http::Exchange &x) {
    if (!HasReport && request.path() == ReportPath) {
      ++ReportRequests;
      http::Response missing{404, "text/plain", "", {}};
      co_await x.send(std::move(missing));
      co_return;
    }
    if (IsEndless) {
      co_await sendEndless(x);
      co_return;
    }
    if (HangsOnNextRequest) {
      HangsOnNextRequest = false;
      co_await sleepFor(TestLimit);
      co_return;
    }
    http::Response response{200, "application/json", "", {}};
    response.Headers.push_back({"X-Instance-Id", Id});
    response.Body = IsLeaving
                        ? R"({"state":"draining","leaves_ms":1500,"born":7})"
                        : R"({"state":"ready","born":7})";
    co_await x.send(std::move(response));
  }

  /// Sends a body until the sidecar closes the connection.
  asio::awaitable<void> sendEndless(http::Exchange &x) {
    const std::string piece(64 << 10, 'x');
    std::size_t sent = 0;
    bool isOpen = co_await x.beginBody(200, {});
    while (isOpen) {
      isOpen = co_await x.body(piece);
      sent += piece.size();
    }
    EndlessBytes = std::max(EndlessBytes, sent);
    ++EndlessResponses;
  }

  bool hasNotice(const std::string &id, bool isLeaving) const {
    return std::any_of(Notices.begin(), Notices.end(), [&](const auto &notice) {
      return notice.server() == id && notice.is_leaving() == isLeaving;
    });
  }

  /// Runs until the condition holds; returns false if it does not in time.
  bool waitUntil(const std::function<bool()> &holds) {
    bool isDone = false;
    const auto wait = [&]() -> asio::awaitable<void> {
      while (!holds())
        co_await sleepFor(Step);
      isDone = true;
      Io.stop();
    };
    Io.restart();
    asio::co_spawn(Io, wait(), asio::detached);
    Io.run_for(TestLimit);
    return isDone;
  }

  void askForNotice() {
    wire::Gossip request;
    request.set_name("gateway");
    request.set_address(base::toString(GatewayAddress));
    request.set_asks_notice(true);
    Gateway->send(SidecarAddress, request.SerializeAsString());
  }

  asio::io_context Io{1};
  base::ManualClock Clock;
  base::Endpoint EngineAddress = freeEndpoint();
  base::Endpoint GatewayAddress = freeEndpoint();
  base::Endpoint SidecarAddress;
  std::string Id = "first";
  bool IsLeaving = false;
  bool HangsOnNextRequest = false;
  /// False for a server of a plain service.
  bool HasReport = true;
  int ReportRequests = 0;
  bool IsEndless = false;
  int EndlessResponses = 0;
  std::size_t EndlessBytes = 0;
  std::vector<wire::EngineNotice> Notices;
  std::unique_ptr<http::Server> Engine;
  std::unique_ptr<gateway::DatagramSocket> Gateway;
  std::unique_ptr<Sidecar> Instance;
};

TEST_F(SidecarTest, NotifiesOfEngineAndOfItsLeaving) {
  EXPECT_TRUE(waitUntil([&] { return hasNotice("first", false); }));
  IsLeaving = true;
  EXPECT_TRUE(waitUntil([&] { return hasNotice("first", true); }));
  EXPECT_EQ(Notices.back().leaves_in_ms(), 1'500U);
  EXPECT_EQ(Notices.back().born_ms(), 7U);
}

TEST_F(SidecarTest, AnswersNoticeRequest) {
  ASSERT_TRUE(waitUntil([&] { return hasNotice("first", false); }));
  Notices.clear();
  askForNotice();
  EXPECT_TRUE(waitUntil([&] { return hasNotice("first", false); }));
}

/// Guards against an unlimited wait on a connection that fails without a close:
/// the sidecar kept sending notices of the previous engine, so that gateways
/// treated its successor as replaced (soak, seed 103).
TEST_F(SidecarTest, IdentifiesNewEngineAfterSilentConnection) {
  ASSERT_TRUE(waitUntil([&] { return hasNotice("first", false); }));
  HangsOnNextRequest = true;
  ASSERT_TRUE(waitUntil([&] { return !HangsOnNextRequest; }));
  Id = "second";
  EXPECT_TRUE(waitUntil([&] { return hasNotice("second", false); }));
}

/// Guards against a plain server that takes over an ended engine's address and
/// is announced as an engine, so that streams are sent to it (issue 38).
TEST_F(SidecarTest, AServerWithoutAReportIsNotAnnounced) {
  HasReport = false;
  constexpr int Reports = 3;
  ASSERT_TRUE(waitUntil([&] { return ReportRequests >= Reports; }));
  askForNotice();
  ASSERT_TRUE(waitUntil([&] { return ReportRequests >= 2 * Reports; }));
  EXPECT_FALSE(hasNotice("first", false));
  HasReport = true;
  EXPECT_TRUE(waitUntil([&] { return hasNotice("first", false); }));
}

/// Guards against a sidecar that was suspended while its engine ended and came
/// back, and then announces the ended one: gateways treated its successor as
/// replaced for good (issue 38).
TEST_F(SidecarTest, AnEngineThatWasNotHeardOfLatelyIsNotAnnounced) {
  ASSERT_TRUE(waitUntil([&] { return hasNotice("first", false); }));
  HangsOnNextRequest = true;
  ASSERT_TRUE(waitUntil([&] { return !HangsOnNextRequest; }));
  Clock.advance(seconds(3));
  Notices.clear();
  askForNotice();
  Id = "second";
  EXPECT_TRUE(waitUntil([&] { return hasNotice("second", false); }));
  EXPECT_FALSE(hasNotice("first", false));
}

/// Guards against a body without end that a sidecar keeps until its timeout,
/// which is more than its VM's memory (issue 44, LOST).
TEST_F(SidecarTest, AnEndlessResponseIsNotKept) {
  // Of this, sockets hold a part.
  constexpr std::size_t MaxBytes = 16 << 20;
  IsEndless = true;
  EXPECT_TRUE(waitUntil([&] { return EndlessResponses >= 2; }));
  EXPECT_LT(EndlessBytes, MaxBytes);
  IsEndless = false;
  EXPECT_TRUE(waitUntil([&] { return hasNotice("first", false); }));
}

} // namespace
} // namespace drumlanding::sidecar

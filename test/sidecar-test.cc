// A whole sidecar in one process, beside an engine of the test's own and before
// a gateway that only listens. Waits are on conditions.
#include "sidecar.h"

#include "drumlanding/daemon/sleep.h"
#include "gateway.pb.h"
#include "platform/dialect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace drumlanding::sidecar {
namespace {

using base::milliseconds;
using base::seconds;
using daemon::sleepFor;
namespace wire = gateway::wire;

/// Longer than any test needs, so that a hang ends as a failure.
constexpr seconds TestLimit{20};
constexpr milliseconds Step{2};

base::Endpoint freeEndpoint() {
  asio::io_context io;
  asio::ip::tcp::acceptor a(io, {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", a.local_endpoint().port()};
}

class SidecarTest : public testing::Test {
protected:
  void SetUp() override {
    auto engine = http::Server::listen(
        Io, EngineAt, {}, [this](http::Request r, http::Exchange &x) {
          return serve(std::move(r), x);
        });
    Engine = std::move(value(engine));
    auto gateway = gateway::DatagramSocket::open(Io, GatewayAt);
    Gateway = std::move(value(gateway));
    const auto take = [this](std::string_view bytes,
                             const gateway::DatagramSocket::Sender &) {
      wire::Gossip message;
      message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
      Heard.push_back(message.notice());
    };
    asio::co_spawn(Io, Gateway->receive(take), asio::detached);
    SidecarSettings settings{"sidecar", freeEndpoint(), EngineAt, "llm",
                             "a",       {GatewayAt}};
    SidecarAt = settings.Listen;
    auto started = Sidecar::start(Io, settings, platform::makeDialect());
    ASSERT_TRUE(ok(started)) << describe(error(started));
    Beside = std::move(value(started));
  }

  asio::awaitable<void> serve(http::Request, http::Exchange &x) {
    if (HangsOnce) {
      HangsOnce = false;
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

  bool hasHeard(const std::string &id, bool isLeaving) const {
    return std::any_of(Heard.begin(), Heard.end(), [&](const auto &notice) {
      return notice.server() == id && notice.is_leaving() == isLeaving;
    });
  }

  /// Runs until the condition holds.
  bool holdsInTime(const std::function<bool()> &holds) {
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

  asio::io_context Io{1};
  base::Endpoint EngineAt = freeEndpoint();
  base::Endpoint GatewayAt = freeEndpoint();
  base::Endpoint SidecarAt;
  std::string Id = "first";
  bool IsLeaving = false;
  bool HangsOnce = false;
  std::vector<wire::EngineNotice> Heard;
  std::unique_ptr<http::Server> Engine;
  std::unique_ptr<gateway::DatagramSocket> Gateway;
  std::unique_ptr<Sidecar> Beside;
};

TEST_F(SidecarTest, TellsWhoIsThereAndThatItLeaves) {
  EXPECT_TRUE(holdsInTime([&] { return hasHeard("first", false); }));
  IsLeaving = true;
  EXPECT_TRUE(holdsInTime([&] { return hasHeard("first", true); }));
  EXPECT_EQ(Heard.back().leaves_in_ms(), 1'500U);
  EXPECT_EQ(Heard.back().born_ms(), 7U);
}

TEST_F(SidecarTest, AnswersAGatewayThatAsks) {
  ASSERT_TRUE(holdsInTime([&] { return hasHeard("first", false); }));
  Heard.clear();
  wire::Gossip question;
  question.set_name("gateway");
  question.set_address(base::toString(GatewayAt));
  question.set_asks_notice(true);
  Gateway->send(SidecarAt, question.SerializeAsString());
  EXPECT_TRUE(holdsInTime([&] { return hasHeard("first", false); }));
}

/// A connection that died in silence was waited on for ever, and the sidecar
/// went on telling of the engine before, so that gateways took its successor
/// for replaced (soak, seed 103).
TEST_F(SidecarTest, MeetsTheNextEngineAfterAConnectionDiedInSilence) {
  ASSERT_TRUE(holdsInTime([&] { return hasHeard("first", false); }));
  HangsOnce = true;
  ASSERT_TRUE(holdsInTime([&] { return !HangsOnce; }));
  Id = "second";
  EXPECT_TRUE(holdsInTime([&] { return hasHeard("second", false); }));
}

} // namespace
} // namespace drumlanding::sidecar

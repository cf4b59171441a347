// Servers stop at each byte of a response's head, or of its body, and close or
// reset the connection. Nobody may take what they sent for a whole response.
#include "raw-server.h"

#include "drumlanding/http/connection.h"

#include <boost/asio/read_until.hpp>
#include <thread>

namespace drumlanding::gateway {
namespace {

using base::seconds;
using test::freeEndpoint;
using tcp = asio::ip::tcp;

constexpr std::string_view Body = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

enum class Framing { Length, Chunks, None };
constexpr Framing Framings[] = {Framing::Length, Framing::Chunks,
                                Framing::None};

/// How the server ends the connection.
enum class Ending { Close, Reset };
constexpr Ending Endings[] = {Ending::Close, Ending::Reset};

/// A response of which a server sends only the first `SentBytes`.
struct TruncatedResponse {
  Framing BodyFraming = Framing::Length;
  Ending ConnectionEnding = Ending::Close;
  std::size_t SentBytes = 0;
};

std::string describe(const TruncatedResponse &response) {
  return "framing " + std::to_string(static_cast<int>(response.BodyFraming)) +
         ", ending " +
         std::to_string(static_cast<int>(response.ConnectionEnding)) + ", " +
         std::to_string(response.SentBytes) + " bytes";
}

std::string headOf(std::string_view attempt, Framing framing) {
  std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ";
  head += attempt;
  head += "\r\nX-Served-Stamp: s\r\nContent-Type: text/event-stream\r\n";
  if (framing == Framing::Length)
    head += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  if (framing == Framing::Chunks)
    head += "Transfer-Encoding: chunked\r\n";
  return head + "\r\n";
}

std::string bodyOf(Framing framing) {
  if (framing != Framing::Chunks)
    return std::string(Body);
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", Body.size());
  return size.data() + std::string(Body) + "\r\n0\r\n\r\n";
}

std::string textOf(const TruncatedResponse &response,
                   std::string_view attempt) {
  std::string text =
      headOf(attempt, response.BodyFraming) + bodyOf(response.BodyFraming);
  text.resize(std::min(text.size(), response.SentBytes));
  return text;
}

class TruncatedResponseTest : public test::RawServerTest {
protected:
  /// Runs `check` for each response that ends before `end(framing)` bytes.
  template <typename Check>
  asio::awaitable<void>
  forEachTruncation(std::function<std::size_t(Framing)> end, Check check) {
    for (const Framing framing : Framings)
      for (const Ending ending : Endings)
        for (std::size_t n = 0; n < end(framing); ++n) {
          const TruncatedResponse response{framing, ending, n};
          for (test::RawServer *server : {&Server, &Engine}) {
            server->Respond = [response](std::string_view attempt) {
              return textOf(response, attempt);
            };
            server->IsReset = response.ConnectionEnding == Ending::Reset;
          }
          co_await check(response);
        }
  }

  static std::size_t headSize(Framing framing) {
    // Attempts have up to four digits: the test stays inside each head.
    return headOf("1", framing).size();
  }

  /// Sends requests to a route whose server stops within the head.
  void checkRoute(const std::string &prefix, const test::RawServer &server) {
    startGateway();
    runTest([&]() -> asio::awaitable<void> {
      co_await forEachTruncation(
          headSize,
          [&](const TruncatedResponse &sent) -> asio::awaitable<void> {
            const int before = server.Requests;
            http::FetchResult fetched =
                co_await http::fetch(Gateway->context().Settings.Listen,
                                     nextRequest(prefix), TestLimit);
            EXPECT_EQ(server.Requests, before + 1) << describe(sent);
            EXPECT_TRUE(ok(fetched.Outcome)) << describe(sent);
            if (!ok(fetched.Outcome))
              co_return;
            const http::Response &response = value(fetched.Outcome);
            EXPECT_EQ(response.Status, 502) << describe(sent);
            EXPECT_EQ(http::findHeader(response.Headers, "X-Served-Stamp"), "")
                << describe(sent);
          });
    });
  }
};

/// Guards against a head that ends with its connection and is taken for whole
/// (issue 38).
TEST_F(TruncatedResponseTest, NoCallIsAnsweredWithAPartOfAHead) {
  checkRoute("/once/", Server);
}

TEST_F(TruncatedResponseTest, NoRepeatableCallIsAnsweredWithAPartOfAHead) {
  checkRoute("/often/", Server);
}

TEST_F(TruncatedResponseTest, NoStreamBeginsWithAPartOfAHead) {
  checkRoute("/stream/", Engine);
}

/// Guards against a part of a body that is taken for the whole (issue 38). A
/// body without framing that is closed early looks whole to everybody.
TEST_F(TruncatedResponseTest, NoCallIsAnsweredWithAPartOfABody) {
  startGateway();
  const auto wholeSize = [](Framing framing) {
    return headSize(framing) + bodyOf(framing).size();
  };
  runTest([&]() -> asio::awaitable<void> {
    co_await forEachTruncation(
        wholeSize, [&](const TruncatedResponse &sent) -> asio::awaitable<void> {
          const bool looksWhole = sent.BodyFraming == Framing::None &&
                                  sent.ConnectionEnding == Ending::Close;
          if (looksWhole || sent.SentBytes < headSize(sent.BodyFraming))
            co_return;
          http::FetchResult fetched =
              co_await http::fetch(Gateway->context().Settings.Listen,
                                   nextRequest("/once/"), TestLimit);
          EXPECT_TRUE(ok(fetched.Outcome)) << describe(sent);
          if (ok(fetched.Outcome)) {
            EXPECT_EQ(value(fetched.Outcome).Status, 502) << describe(sent);
          }
        });
  });
}

/// Guards against the same in our own calls: to the store, to other gateways
/// and to servers that are asked for their state or for a copy (issue 38).
TEST_F(TruncatedResponseTest, NoCallOfOurOwnAcceptsAPartOfAHead) {
  runTest([&]() -> asio::awaitable<void> {
    co_await forEachTruncation(
        headSize, [&](const TruncatedResponse &sent) -> asio::awaitable<void> {
          http::FetchResult fetched =
              co_await http::fetch(Server.Address, nextRequest("/"), TestLimit);
          EXPECT_FALSE(ok(fetched.Outcome)) << describe(sent);
          const http::StreamEnd end = co_await http::stream(
              Server.Address, nextRequest("/"), TestLimit,
              [](const http::ServerEvent &) { return true; });
          EXPECT_FALSE(end.IsComplete) << describe(sent);
          EXPECT_EQ(end.Status, 0) << describe(sent);
        });
  });
}

/// Guards against a body without framing that is reset while the request is
/// still being sent, and is then taken for whole (issue 38): a failed write
/// takes the socket's error, and reads then see a regular end.
TEST_F(TruncatedResponseTest, AResetWhileTheRequestIsSentIsNoEnd) {
  constexpr std::size_t RequestBytes = 32 << 20;
  const TruncatedResponse response{Framing::None, Ending::Reset,
                                   headSize(Framing::None) + Body.size() / 2};
  Server.Respond = [response](std::string_view attempt) {
    return textOf(response, attempt);
  };
  Server.IsReset = true;
  runTest([&]() -> asio::awaitable<void> {
    auto opened = co_await http::Connection::open(Server.Address, seconds(1));
    EXPECT_TRUE(ok(opened));
    const auto connection = value(opened);
    http::Request request = nextRequest("/");
    request.Body = std::string(RequestBytes, 'x');
    connection->send(request);
    auto head = co_await connection->readHead();
    EXPECT_TRUE(ok(head));
    bool isWhole = false;
    for (;;) {
      auto piece = co_await connection->read();
      if (!ok(piece))
        break;
      isWhole = value(piece).empty();
      if (isWhole)
        break;
    }
    EXPECT_FALSE(isWhole);
  });
}

/// Resets each connection some time after a part of a body without framing.
/// Runs on a thread of its own, so that a reset can arrive at any step of the
/// client.
class ResettingServer {
public:
  /// If `endsBody`, the body ends regularly before the connection is reset.
  ResettingServer(int requests, bool endsBody)
      : Address(freeEndpoint()),
        Acceptor(Io, {asio::ip::make_address(Address.Address), Address.Port}),
        EndsBody(endsBody), Thread([this, requests] { serve(requests); }) {}
  ~ResettingServer() { Thread.join(); }

  base::Endpoint Address;

private:
  void serve(int requests) {
    constexpr std::chrono::microseconds Step{20};
    constexpr int Steps = 20;
    const std::string text = headOf("1", Framing::None) + std::string(Body);
    for (int i = 0; i < requests; ++i) {
      tcp::socket socket(Io);
      Acceptor.accept(socket);
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
      asio::write(socket, asio::buffer(text));
      if (EndsBody)
        socket.shutdown(tcp::socket::shutdown_send);
      std::this_thread::sleep_for(i % Steps * Step);
      socket.set_option(tcp::socket::linger(true, 0));
      socket.close();
    }
  }

  asio::io_context Io;
  tcp::acceptor Acceptor;
  bool EndsBody;
  std::thread Thread;
};

class ResetBesideASendTest : public TruncatedResponseTest {
protected:
  static constexpr int Requests = 400;

  /// Sends long requests; returns how many bodies look whole.
  int countWholeBodies(bool endsBody) {
    constexpr std::size_t RequestBytes = 4 << 20;
    ResettingServer server(Requests, endsBody);
    const auto body =
        std::make_shared<const std::string>(std::string(RequestBytes, 'x'));
    int whole = 0;
    runTest([&]() -> asio::awaitable<void> {
      for (int i = 0; i < Requests; ++i) {
        const bool isWhole = co_await sendRequest(server.Address, body);
        whole += isWhole ? 1 : 0;
      }
    });
    return whole;
  }

private:
  asio::awaitable<bool> sendRequest(base::Endpoint to, http::SharedBody body) {
    auto opened = co_await http::Connection::open(to, seconds(1));
    if (!ok(opened))
      co_return false;
    const auto connection = value(opened);
    connection->send(nextRequest("/"), body);
    const auto head = co_await connection->readHead();
    std::string received;
    while (ok(head)) {
      const auto piece = co_await connection->read();
      if (!ok(piece))
        break;
      received += value(piece);
      if (!value(piece).empty())
        continue;
      connection->close();
      co_return received == Body;
    }
    connection->close();
    co_return false;
  }
};

/// Guards against a body without framing that is reset while the request is
/// still being sent, and is taken for whole because the send has taken the
/// socket's error and its completion is still queued (issue 44, MIXED).
TEST_F(ResetBesideASendTest, ABodyThatIsResetIsNotWhole) {
  EXPECT_EQ(countWholeBodies(false), 0) << "of " << Requests;
}

/// Guards against the opposite: a body that has ended regularly stays whole
/// when the rest of the request is refused by a reset (issue 44).
TEST_F(ResetBesideASendTest, ABodyThatHasEndedIsWhole) {
  EXPECT_EQ(countWholeBodies(true), Requests);
}

} // namespace
} // namespace drumlanding::gateway

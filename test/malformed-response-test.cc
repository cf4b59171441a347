// Servers send responses whose head is not valid HTTP. Nobody may take them for
// a response.
#include "raw-server.h"

#include "drumlanding/http/connection.h"

namespace drumlanding::gateway {
namespace {

constexpr std::string_view Body = "id: 0\ndata: a\n\n";

bool isTokenCharacter(unsigned char c) {
  constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') ||
         Symbols.find(static_cast<char>(c)) != std::string_view::npos;
}

/// Returns a response with this status and these header lines.
std::string makeResponse(std::string_view attempt, std::string_view status,
                         std::string_view lines) {
  std::string text = "HTTP/1.1 ";
  text += status;
  text += " Text\r\nX-Attempt-Id: ";
  text += attempt;
  text += "\r\nX-Served-Stamp: s\r\n";
  text += lines;
  text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return text + std::string(Body);
}

/// The status and the lines of a head that is sent to each reader of responses.
struct Head {
  std::string Status = "200";
  std::string Lines;
};

class MalformedResponseTest : public test::RawServerTest {
protected:
  /// Expects that nobody takes the responses with these heads.
  void expectRejected(const std::vector<Head> &heads) {
    startGateway();
    runTest([&]() -> asio::awaitable<void> {
      for (const Head &head : heads) {
        SCOPED_TRACE(testing::PrintToString(head.Status + " " + head.Lines));
        send(head);
        for (const char *prefix : {"/once/", "/often/", "/stream/"})
          co_await expectRefusal(prefix);
        co_await expectOwnCallsFail();
      }
    });
  }

  void send(const Head &head) {
    for (test::RawServer *server : {&Server, &Engine})
      server->Respond = [head](std::string_view attempt) {
        return makeResponse(attempt, head.Status, head.Lines);
      };
  }

  asio::awaitable<http::Response> call(std::string prefix) {
    http::FetchResult fetched = co_await http::fetch(
        Gateway->context().Settings.Listen, nextRequest(prefix), TestLimit);
    EXPECT_TRUE(ok(fetched.Outcome));
    if (!ok(fetched.Outcome))
      co_return http::Response{0, "", "", {}};
    co_return std::move(value(fetched.Outcome));
  }

private:
  asio::awaitable<void> expectRefusal(std::string prefix) {
    const http::Response response = co_await call(prefix);
    EXPECT_EQ(response.Status, 502) << prefix;
    EXPECT_EQ(http::findHeader(response.Headers, "X-Served-Stamp"), "")
        << prefix;
  }

  asio::awaitable<void> expectOwnCallsFail() {
    http::FetchResult fetched =
        co_await http::fetch(Server.Address, nextRequest("/"), TestLimit);
    EXPECT_FALSE(ok(fetched.Outcome));
    const http::StreamEnd end =
        co_await http::stream(Server.Address, nextRequest("/"), TestLimit,
                              [](const http::ServerEvent &) { return true; });
    EXPECT_FALSE(end.IsComplete);
    EXPECT_EQ(end.Status, 0);
  }
};

/// Guards against a status outside the range of HTTP, such as 000, that is
/// delivered to the caller (issue 44, MIXED). Nobody asks for 101.
TEST_F(MalformedResponseTest, StatusesOutsideTheRange) {
  std::vector<Head> heads;
  for (const char *status :
       {"000", "001", "042", "099", "101", "600", "700", "999"})
    heads.push_back({status, ""});
  expectRejected(heads);
}

/// Guards against a header whose name holds a blank, a control byte or any
/// other byte that names cannot have (issue 44, MIXED).
TEST_F(MalformedResponseTest, BytesInsideANameOrAfterIt) {
  std::vector<Head> heads;
  for (int c = 0; c < 256; ++c) {
    if (isTokenCharacter(static_cast<unsigned char>(c)) || c == ':')
      continue;
    const std::string byte(1, static_cast<char>(c));
    heads.push_back({"200", "X-A" + byte + "B: v\r\n"});
    heads.push_back({"200", "X-AB" + byte + ": v\r\n"});
  }
  expectRejected(heads);
}

/// Guards against a line that begins with a blank and is joined to the line
/// before it, which loses a header or changes another (issue 44, MIXED).
TEST_F(MalformedResponseTest, BytesBeforeAName) {
  std::vector<Head> heads;
  for (int c = 0; c < 256; ++c) {
    if (isTokenCharacter(static_cast<unsigned char>(c)))
      continue;
    const std::string byte(1, static_cast<char>(c));
    heads.push_back({"200", "X-A: v\r\n" + byte + "X-B: v\r\n"});
  }
  heads.push_back({"200", "X-A: v\r\n Content-Length: 2\r\n"});
  heads.push_back({"200", "X-A: v\r\n\t\r\n"});
  expectRejected(heads);
}

/// Guards against control bytes in values, such as a bare line feed that other
/// recipients take for the end of a line.
TEST_F(MalformedResponseTest, ControlBytesInAValue) {
  constexpr int FirstPrintable = 0x20;
  constexpr int Delete = 0x7f;
  std::vector<Head> heads;
  for (int c = 0; c <= Delete; ++c) {
    if (c == '\t' || (c >= FirstPrintable && c < Delete))
      continue;
    heads.push_back(
        {"200", "X-A: v" + std::string(1, static_cast<char>(c)) + "w\r\n"});
  }
  expectRejected(heads);
}

/// Guards against a body that arrives in a transfer coding and is delivered
/// without it: its bytes are not the server's body.
TEST_F(MalformedResponseTest, TransferCodingsOtherThanChunked) {
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    for (const char *coding : {"gzip", "gzip, chunked", "chunked, gzip"}) {
      SCOPED_TRACE(coding);
      Server.Respond = [coding](std::string_view attempt) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + std::string(attempt) +
               "\r\nX-Served-Stamp: s\r\nTransfer-Encoding: " + coding +
               "\r\n\r\n2\r\nab\r\n0\r\n\r\n";
      };
      const http::Response response = co_await call("/once/");
      EXPECT_EQ(response.Status, 502);
      http::FetchResult fetched =
          co_await http::fetch(Server.Address, nextRequest("/"), TestLimit);
      EXPECT_FALSE(ok(fetched.Outcome));
    }
  });
}

/// Guards against an interim response that is taken for the response.
TEST_F(MalformedResponseTest, InterimResponsesAreSkipped) {
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    for (const char *status : {"100", "102", "103", "199"}) {
      SCOPED_TRACE(status);
      Server.Respond = [status](std::string_view attempt) {
        const std::string lines = "X-Attempt-Id: " + std::string(attempt) +
                                  "\r\nX-Served-Stamp: s\r\n\r\n";
        return "HTTP/1.1 " + std::string(status) + " Text\r\n" + lines +
               makeResponse(attempt, "200", "");
      };
      const http::Response response = co_await call("/once/");
      EXPECT_EQ(response.Status, 200);
      EXPECT_EQ(response.Body, Body);
    }
  });
}

/// Guards against interim responses without end that keep a request waiting.
TEST_F(MalformedResponseTest, EndlessInterimResponses) {
  constexpr int Interim = 1'000;
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    Server.Respond = [](std::string_view attempt) {
      std::string text;
      for (int i = 0; i < Interim; ++i)
        text += "HTTP/1.1 103 Early Hints\r\n\r\n";
      return text + makeResponse(attempt, "200", "");
    };
    const http::Response response = co_await call("/once/");
    EXPECT_EQ(response.Status, 502);
  });
}

/// All that HTTP allows still passes.
TEST_F(MalformedResponseTest, ValidHeadsAreForwarded) {
  std::string name = "X-";
  for (int c = 0; c < 256; ++c)
    if (isTokenCharacter(static_cast<unsigned char>(c)))
      name += static_cast<char>(c);
  startGateway();
  runTest([&]() -> asio::awaitable<void> {
    for (const char *status : {"200", "299", "404", "599"}) {
      SCOPED_TRACE(status);
      send({status, name + ": a\tb\x80\xff \r\nX-Empty:\r\nX-Blank: \t \r\n"});
      const http::Response response = co_await call("/once/");
      EXPECT_EQ(std::to_string(response.Status), status);
      EXPECT_EQ(response.Body, Body);
      EXPECT_EQ(http::findHeader(response.Headers, name), "a\tb\x80\xff");
    }
  });
}

} // namespace
} // namespace drumlanding::gateway

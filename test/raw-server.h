/// A server that sends given bytes for each request, and a gateway before two
/// of them.
#pragma once

#include "fixed-store.h"
#include "free-endpoint.h"
#include "platform/protocol-codec.h"
#include "shell.h"

#include "drumlanding/daemon/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <gtest/gtest.h>

namespace drumlanding::test {

/// Answers each request with the bytes that `Respond` returns and ends the
/// connection. Requests without an attempt id, such as health checks, get no
/// response.
class RawServer {
public:
  explicit RawServer(asio::io_context &io)
      : Address(freeEndpoint()),
        Acceptor(io, {asio::ip::make_address(Address.Address), Address.Port}) {
    asio::co_spawn(io, accept(), asio::detached);
  }

  base::Endpoint Address;
  std::function<std::string(std::string_view attempt)> Respond;
  /// The connection is reset instead of closed.
  bool IsReset = false;
  int Requests = 0;

private:
  using tcp = asio::ip::tcp;

  asio::awaitable<void> accept() {
    for (;;) {
      tcp::socket socket(Acceptor.get_executor());
      boost::system::error_code ec;
      co_await Acceptor.async_accept(
          socket, asio::redirect_error(asio::use_awaitable, ec));
      if (ec)
        co_return;
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> serve(tcp::socket socket) {
    constexpr std::string_view Name = "X-Attempt-Id: ";
    std::string request;
    boost::system::error_code ec;
    co_await asio::async_read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, ec));
    const auto at = request.find(Name);
    if (ec || at == std::string::npos)
      co_return;
    ++Requests;
    const std::string attempt = request.substr(
        at + Name.size(), request.find("\r\n", at) - at - Name.size());
    const std::string text = Respond(attempt);
    co_await asio::async_write(socket, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (IsReset)
      socket.set_option(tcp::socket::linger(true, 0), ec);
    // The destructor would ignore the option.
    socket.close(ec);
  }

  tcp::acceptor Acceptor;
};

/// A gateway with the routes /once/ and /often/ to a plain server, and /stream/
/// to an engine.
class RawServerTest : public testing::Test {
protected:
  static constexpr base::seconds TestLimit{60};
  static constexpr base::milliseconds PollInterval{2};

  gateway::StoreReader storeReader() {
    const auto listed = [](std::string service, base::Endpoint address) {
      gateway::ListedServer server;
      server.Id = "s-" + service;
      server.Service = std::move(service);
      server.Address = std::move(address);
      server.Zone = "a";
      return server;
    };
    return makeFixedStore(makeConfig(), {listed("shop", Server.Address),
                                         listed("llm", Engine.Address)});
  }

  static gateway::Config makeConfig() {
    gateway::Config config;
    config.Version = 1;
    const auto addRoute = [&](std::string prefix, gateway::RequestKind kind,
                              std::string service) {
      gateway::Route route;
      route.Name = prefix;
      route.Host = "a.example";
      route.PathPrefix = std::move(prefix);
      route.Kind = kind;
      route.Services = {{std::move(service), 1}};
      config.Routes.push_back(std::move(route));
    };
    addRoute("/once/", gateway::RequestKind::NonIdempotent, "shop");
    addRoute("/often/", gateway::RequestKind::Idempotent, "shop");
    addRoute("/stream/", gateway::RequestKind::Stream, "llm");
    config.Services = {{"shop", std::nullopt},
                       {"llm", gateway::EngineTraits()}};
    return config;
  }

  void startGateway() {
    gateway::GatewaySettings settings;
    settings.Name = "gateway";
    settings.Zone = "a";
    settings.Listen = freeEndpoint();
    settings.ReadyListen = freeEndpoint();
    settings.ControlListen = freeEndpoint();
    auto shell = gateway::Shell::start(
        Io, Clock, settings, platform::makeProtocolCodec(), storeReader());
    ASSERT_TRUE(ok(shell)) << base::describe(error(shell));
    Gateway = std::move(value(shell));
  }

  /// Runs the coroutine, once the gateway is ready if it was started.
  template <typename Body> void runTest(Body body) {
    test::runTest(Io, TestLimit, [&]() -> asio::awaitable<void> {
      while (Gateway && !Gateway->context().isReady())
        co_await daemon::sleepFor(PollInterval);
      co_await body();
    });
  }

  /// Returns a request that no other has in common with, so that no request is
  /// suspected because of another.
  http::Request nextRequest(const std::string &prefix) {
    const std::string number = std::to_string(++LastAttempt);
    return {"POST",
            prefix + number,
            {{"Host", "a.example"}, {"X-Attempt-Id", number}},
            {}};
  }

  asio::io_context Io{1};
  base::SystemClock Clock;
  RawServer Server{Io};
  RawServer Engine{Io};
  std::unique_ptr<gateway::Shell> Gateway;
  int LastAttempt = 0;
};

} // namespace drumlanding::test

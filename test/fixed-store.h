/// A store for tests of a whole gateway whose config and servers do not change,
/// and the loop that runs such a test.
#pragma once

#include "drumlanding/daemon/sleep.h"
#include "drumlanding/gateway/store-reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <vector>

namespace drumlanding::test {

namespace asio = boost::asio;

/// Longer than any test that uses the store.
constexpr base::seconds NoChange{3'600};

/// Returns a store with this config and these servers.
inline gateway::StoreReader
makeFixedStore(gateway::Config config,
               std::vector<gateway::ListedServer> servers) {
  using gateway::ConfigText;
  using gateway::ServerChanges;
  using Reader = gateway::StoreReader;
  Reader s;
  s.ReadConfig =
      [](const http::ProgressHandler &) -> Reader::AsyncResult<ConfigText> {
    ConfigText text{1, "config"};
    co_return text;
  };
  s.WatchConfig =
      [](std::uint64_t, base::milliseconds,
         const http::ProgressHandler &) -> Reader::AsyncResult<ConfigText> {
    co_await daemon::sleepFor(NoChange);
    co_return ConfigText{};
  };
  s.ReadServers =
      [servers = std::move(servers)]() -> Reader::AsyncResult<ServerChanges> {
    ServerChanges all;
    for (const gateway::ListedServer &listed : servers)
      all.Changes.push_back({listed.Id, listed});
    co_return all;
  };
  s.WatchServers =
      [](std::uint64_t,
         base::milliseconds wait) -> Reader::AsyncResult<ServerChanges> {
    co_await daemon::sleepFor(wait);
    co_return ServerChanges{};
  };
  s.DecodeConfig = [config = std::move(config)](
                       std::string_view) -> base::Result<gateway::Config> {
    return config;
  };
  return s;
}

/// Runs the io_context until the coroutine has ended; fails after the limit.
template <typename Body>
void runTest(asio::io_context &io, base::seconds limit, Body body) {
  bool isDone = false;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        co_await body();
        isDone = true;
        io.stop();
      },
      [](std::exception_ptr e) {
        if (e)
          std::rethrow_exception(e);
      });
  io.run_for(limit);
  EXPECT_TRUE(isDone) << "the test hangs";
}

} // namespace drumlanding::test

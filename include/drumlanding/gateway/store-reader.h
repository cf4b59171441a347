/// Source: where the gateway gets the operators' config and the list of backend
/// servers from. Hooks translate; the gateway decides when to ask.
///
///   Source source = platform::makeSource(store);
///   Result<ConfigText> c = co_await source.ReadConfig();
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/gateway/config.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::gateway {

/// A config as the operators wrote it; empty when none is there.
struct ConfigText {
  /// The source's revision, from which a watch goes on.
  std::uint64_t Revision = 0;
  std::string Text;
};

/// A server's new entry, or none when it is gone or names no usable server.
struct ServerChange {
  std::string Id;
  std::optional<ListedServer> Listed;
  /// Why the entry names no usable server; empty when it is gone.
  std::string Problem = {};
  /// The store's revision of the change.
  std::uint64_t Revision = 0;
};

struct ServerChanges {
  std::uint64_t Revision = 0;
  std::vector<ServerChange> Changes;
};

/// Watches answer as soon as something has changed, or with nothing after
/// `wait`. Their error is NotFound when that part of the history is gone: the
/// whole must be read again.
struct StoreReader {
  template <typename T>
  using AsyncResult = boost::asio::awaitable<base::Result<T>>;

  std::function<AsyncResult<ConfigText>()> ReadConfig;
  std::function<AsyncResult<ConfigText>(std::uint64_t since,
                                        base::milliseconds wait)>
      WatchConfig;
  std::function<AsyncResult<ServerChanges>()> ReadServers;
  std::function<AsyncResult<ServerChanges>(std::uint64_t since,
                                           base::milliseconds wait)>
      WatchServers;
  std::function<base::Result<Config>(std::string_view)> DecodeConfig;
};

} // namespace drumlanding::gateway

/// Store reader: callbacks that read the config and the list of backend servers
/// from the store. The gateway decides when to call them.
///
///   StoreReader reader = platform::makeStoreReader(store);
///   Result<ConfigText> c = co_await reader.ReadConfig();
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/gateway/config.h"
#include "drumlanding/gateway/part-store.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::gateway {

/// The config as written by the operators; empty when there is none.
struct ConfigText {
  /// The store's revision, from which a watch continues.
  std::uint64_t Revision = 0;
  std::string Text;
};

/// A change of a server's entry. `Listed` is unset if the entry was removed or
/// does not describe a usable server.
struct ServerChange {
  std::string Id;
  std::optional<ListedServer> Listed;
  /// Why the entry is not usable; empty if it was removed.
  std::string Problem = {};
  /// The store's revision at which the entry changed.
  std::uint64_t Revision = 0;
};

struct ServerChanges {
  std::uint64_t Revision = 0;
  std::vector<ServerChange> Changes;
};

/// Watches return as soon as something has changed, or without changes after
/// `wait`. They fail with NotFound if the history since the given revision has
/// been compacted; a complete read (resync) must follow.
struct StoreReader {
  template <typename T>
  using AsyncResult = boost::asio::awaitable<base::Result<T>>;

  /// `onProgress` is called while the response arrives.
  std::function<AsyncResult<ConfigText>(http::ProgressHandler onProgress)>
      ReadConfig;
  std::function<AsyncResult<ConfigText>(std::uint64_t since,
                                        base::milliseconds wait,
                                        http::ProgressHandler onProgress)>
      WatchConfig;
  std::function<AsyncResult<ServerChanges>()> ReadServers;
  std::function<AsyncResult<ServerChanges>(std::uint64_t since,
                                           base::milliseconds wait)>
      WatchServers;
  std::function<base::Result<Config>(std::string_view)> DecodeConfig;
  /// Unset if no parts are kept.
  PartStore Parts;
};

} // namespace drumlanding::gateway

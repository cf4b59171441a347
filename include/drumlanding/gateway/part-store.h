/// Part store: callbacks that keep quarantined parts of prompts in the store,
/// so that they outlive a restart of all gateways.
///
///   PartStore store = platform::makePartStore(client);
///   Result<std::vector<SavedPart>> all = co_await store.Read();
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/result.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace drumlanding::gateway {

/// An entry of the store.
struct SavedPart {
  std::string Name;
  /// Empty once the part has been released.
  std::string Value;
  /// The store's revision of the entry; 0 if there is none.
  std::uint64_t Revision = 0;
};

struct PartStore {
  template <typename T>
  using AsyncResult = boost::asio::awaitable<base::Result<T>>;

  /// Reads all entries. They may be some seconds old.
  std::function<AsyncResult<std::vector<SavedPart>>()> Read;
  /// Writes an entry if its revision in the store is `part.Revision`, and lets
  /// it expire after `lifetime`. Returns the entry that is then in the store.
  std::function<AsyncResult<SavedPart>(SavedPart part,
                                       base::milliseconds lifetime)>
      Write;
};

} // namespace drumlanding::gateway

/// ConfigWriter: writes configs into the store as operators do. Each version
/// has three API keys: one common to all versions, its own, and the previous
/// one's.
#pragma once

#include "journal.h"

#include "platform/store.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace drumlanding::soak {

namespace asio = boost::asio;

class ConfigWriter {
public:
  /// The request timeout of all routes.
  static constexpr base::milliseconds Timeout{6'000};
  static constexpr std::string_view Host = "a.example";

  ConfigWriter(Journal &journal, const platform::Store &store)
      : Log(journal), Store(store) {}

  /// Writes the next version; returns once the store has accepted it.
  asio::awaitable<void> writeNext();

  int serial() const { return Serial; }
  base::Instant writtenAt() const { return WrittenAt; }
  static std::string keyForSerial(int serial) {
    return "k" + std::to_string(serial);
  }
  static std::string baseKey() { return "k-base"; }

private:
  std::string configText() const;

  Journal &Log;
  const platform::Store &Store;
  int Serial = 0;
  std::uint64_t Version = 0;
  /// Time at which the store accepted the newest version; `max()` before that.
  base::Instant WrittenAt = base::Instant::max();
};

} // namespace drumlanding::soak

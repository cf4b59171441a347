/// Operators: write configs into the store. Each version has three keys: one
/// that every version has, its own, and that of the version before.
#pragma once

#include "journal.h"

#include "platform/store.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace drumlanding::soak {

namespace asio = boost::asio;

class ConfigWriter {
public:
  /// How long requests may be held, as the routes say.
  static constexpr base::milliseconds Timeout{6'000};
  static constexpr std::string_view Host = "a.example";

  ConfigWriter(Journal &journal, const platform::Store &store)
      : Log(journal), Store(store) {}

  /// Writes the next version and returns when the store has it.
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
  /// When the store had the newest version.
  base::Instant WrittenAt = base::Instant::max();
};

} // namespace drumlanding::soak

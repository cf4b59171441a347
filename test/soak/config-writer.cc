#include "config-writer.h"

#include "drumlanding/daemon/sleep.h"

#include <nlohmann/json.hpp>

namespace drumlanding::soak {
namespace {

using Json = nlohmann::json;

constexpr base::milliseconds RetryInterval{200};
constexpr std::string_view ConfigKey = "op/config";

Json route(const char *prefix, const char *kind, const char *service,
           int attempts) {
  return {{"name", prefix},
          {"host", ConfigWriter::Host},
          {"pathPrefix", prefix},
          {"kind", kind},
          {"timeoutMs", ConfigWriter::Timeout.count()},
          {"sloMs", 500},
          {"priority", 0},
          {"maxAttempts", attempts},
          {"public", false},
          {"backend", service}};
}

} // namespace

std::string ConfigWriter::configText() const {
  const Json engine{{"slots", 8},          {"kvCapTokens", 30'000},
                    {"kvTokenBytes", 100}, {"linkMbps", 1'000.0},
                    {"moves", true},       {"stride", 1}};
  const Json config{
      {"version", Version},
      {"routes",
       {route("/once/", "non_idempotent", "shop", 2),
        route("/often/", "idempotent", "shop", 2),
        route("/stream/", "streaming", "llm", 2)}},
      {"services", {{{"name", "shop"}}, {{"name", "llm"}, {"engine", engine}}}},
      {"limits", {{"idleTimeoutMs", 20'000}}},
      {"tenants",
       {{{"name", "school"},
         {"apiKeys",
          {baseKey(), keyForSerial(Serial), keyForSerial(Serial - 1)}}}}}};
  return config.dump();
}

asio::awaitable<void> ConfigWriter::writeNext() {
  ++Serial;
  Version += 3;
  WrittenAt = base::Instant::max();
  for (;;) {
    const auto item = co_await Store.read(ConfigKey);
    if (ok(item) && value(item).Value == configText())
      break; // an earlier write succeeded, but its response was lost
    if (ok(item)) {
      const auto swap = co_await Store.compareAndSwap(
          ConfigKey, value(item).Revision, configText());
      if (ok(swap) && value(swap).Swapped)
        break;
    }
    co_await daemon::sleepFor(RetryInterval);
  }
  WrittenAt = Journal::now();
  Log.print("config " + std::to_string(Version) + " acknowledged");
}

} // namespace drumlanding::soak

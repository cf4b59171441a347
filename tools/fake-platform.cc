// fake-platform: a stand-in for the platform's service: a key-value service
// with compare-and-swap, leases and watches, a lagging list of VMs, and a
// rate-limited weight store. /v1/test/... is for tests only: outages, slowness
// and lost answers.
#include "stand-in.h"

#include <chrono>
#include <gflags/gflags.h>
#include <map>

DEFINE_string(listen, "127.0.0.1:7000", "[network] IP:port");
DEFINE_int32(vm_lag_ms, 500, "[platform] lag of the list of VMs");
DEFINE_int32(writes_per_second, 100, "[platform] most writes a second");
DEFINE_int32(reads_per_second, 2000, "[platform] most reads a second");
DEFINE_int32(weights_ms, 200, "[platform] time to fetch a model's weights");

namespace {

using namespace drumlanding;
using namespace drumlanding::tools;
using Clock = std::chrono::steady_clock;

constexpr std::string_view Flags[] = {"listen", "vm_lag_ms",
                                      "writes_per_second", "reads_per_second",
                                      "weights_ms"};
constexpr base::milliseconds WatchStep{10};

struct StoredEntry {
  std::uint64_t Revision = 0;
  std::string Value;
  std::string Lease;
};

struct Lease {
  Clock::time_point Until;
  base::milliseconds Time{0};
};

/// Allows so many calls in each second.
class RateLimit {
public:
  bool take(int most) {
    const auto now = std::chrono::time_point_cast<base::seconds>(Clock::now());
    if (now != Second) {
      Second = now;
      Used = 0;
    }
    ++Total;
    return ++Used <= most;
  }
  std::uint64_t total() const { return Total; }

private:
  std::chrono::time_point<Clock, base::seconds> Second{};
  int Used = 0;
  std::uint64_t Total = 0;
};

struct Faults {
  bool IsDown = false;
  base::milliseconds Delay{0};
  /// Answers to writes to lose after their effect.
  int LoseAnswers = 0;
};

class Platform {
public:
  asio::awaitable<void> handle(http::Request request, http::Exchange &x) {
    const std::string path(request.path());
    if (path.starts_with("/v1/test/")) {
      co_await x.send(test(request));
      co_return;
    }
    if (TheFaults.Delay.count() > 0)
      co_await sleepFor(TheFaults.Delay);
    if (TheFaults.IsDown) {
      co_await x.send(errorResponse(503, "outage"));
      co_return;
    }
    expireLeases();
    if (path.starts_with("/v1/weights/")) {
      co_await sleepFor(base::milliseconds(FLAGS_weights_ms));
      co_await x.send(emptyResponse(200));
      co_return;
    }
    const bool isWrite = request.Method != "GET";
    const bool isAllowed = isWrite ? Writes.take(FLAGS_writes_per_second)
                                   : Reads.take(FLAGS_reads_per_second);
    if (!isAllowed) {
      co_await x.send(errorResponse(429, "rate limit"));
      co_return;
    }
    if (!isWrite && !request.query("wait_ms").empty())
      co_await waitForChange(request);
    http::Response response = answer(request);
    if (isWrite && TheFaults.LoseAnswers > 0 && response.Status == 200) {
      --TheFaults.LoseAnswers;
      co_await x.endEvents();
      co_return;
    }
    co_await x.send(std::move(response));
  }

private:
  static std::string keyOf(const http::Request &request) {
    return std::string(request.path().substr(std::string("/v1/kv/").size()));
  }

  void expireLeases() {
    const auto now = Clock::now();
    std::erase_if(Leases,
                  [&](const auto &entry) { return entry.second.Until < now; });
    std::erase_if(Entries, [&](const auto &entry) {
      return !entry.second.Lease.empty() &&
             !Leases.contains(entry.second.Lease);
    });
  }

  asio::awaitable<void> waitForChange(const http::Request &request) {
    const std::string key = keyOf(request);
    const std::uint64_t after = numberOf(request.query("after"), 0);
    const auto until =
        Clock::now() +
        base::milliseconds(numberOf(request.query("wait_ms"), 0));
    while (Clock::now() < until && !TheFaults.IsDown) {
      expireLeases();
      const auto it = Entries.find(key);
      if (it != Entries.end() && it->second.Revision > after)
        co_return;
      co_await sleepFor(WatchStep);
    }
  }

  http::Response answer(const http::Request &request) {
    const std::string path(request.path());
    if (path.starts_with("/v1/kv/"))
      return request.Method == "PUT" ? swap(request) : read(request);
    if (path == "/v1/leases" && request.Method == "POST")
      return grant(request);
    if (path.starts_with("/v1/leases/") && request.Method == "PUT")
      return renew(request);
    if (path == "/v1/vms")
      return jsonResponse(200, {{"vms", visibleVms()}});
    return errorResponse(404, "unknown call");
  }

  http::Response read(const http::Request &request) {
    const auto it = Entries.find(keyOf(request));
    if (it == Entries.end())
      return errorResponse(404, "no such key");
    return jsonResponse(
        200, {{"revision", it->second.Revision}, {"value", it->second.Value}});
  }

  http::Response swap(const http::Request &request) {
    const std::string key = keyOf(request);
    const std::uint64_t expected = numberOf(request.query("expect"), 0);
    const std::string lease(request.query("lease"));
    const auto it = Entries.find(key);
    const std::uint64_t current = it == Entries.end() ? 0 : it->second.Revision;
    if (!lease.empty() && !Leases.contains(lease))
      return errorResponse(410, "the lease has lapsed");
    if (current != expected)
      return jsonResponse(
          409, {{"revision", current},
                {"value", it == Entries.end() ? "" : it->second.Value}});
    Entries[key] = {++Revision, request.Body, lease};
    return jsonResponse(200, {{"revision", Revision}, {"value", request.Body}});
  }

  http::Response grant(const http::Request &request) {
    const base::milliseconds time(numberOf(request.query("ttl_ms"), 1'000));
    const std::string id = std::to_string(++NextLease);
    Leases[id] = {Clock::now() + time, time};
    return jsonResponse(200, {{"lease", id}});
  }

  http::Response renew(const http::Request &request) {
    const std::string id(
        request.path().substr(std::string("/v1/leases/").size()));
    const auto it = Leases.find(id);
    if (it == Leases.end())
      return errorResponse(404, "the lease has lapsed");
    it->second.Until = Clock::now() + it->second.Time;
    return jsonResponse(200, {{"lease", id}});
  }

  Json visibleVms() {
    const auto now = Clock::now() - base::milliseconds(FLAGS_vm_lag_ms);
    while (Lists.size() > 1 && std::next(Lists.begin())->first <= now)
      Lists.erase(Lists.begin());
    const bool hasAny = !Lists.empty() && Lists.begin()->first <= now;
    return hasAny ? Lists.begin()->second : Json::array();
  }

  http::Response test(const http::Request &request) {
    const std::string path(request.path());
    if (path == "/v1/test/vms") {
      Json list = Json::parse(request.Body, nullptr, false);
      if (!list.is_array())
        return errorResponse(400, "a list is expected");
      Lists.emplace(Clock::now(), std::move(list));
      return emptyResponse(200);
    }
    if (path == "/v1/test/counts")
      return jsonResponse(
          200, {{"reads", Reads.total()}, {"writes", Writes.total()}});
    TheFaults.IsDown = numberOf(request.query("down"), 0) != 0;
    TheFaults.Delay =
        base::milliseconds(numberOf(request.query("delay_ms"), 0));
    TheFaults.LoseAnswers =
        static_cast<int>(numberOf(request.query("lose"), 0));
    return emptyResponse(200);
  }

  std::map<std::string, StoredEntry> Entries;
  std::map<std::string, Lease> Leases;
  std::multimap<Clock::time_point, Json> Lists;
  std::uint64_t Revision = 0;
  std::uint64_t NextLease = 0;
  RateLimit Reads;
  RateLimit Writes;
  Faults TheFaults;
};

} // namespace

int main(int argc, char **argv) {
  readStandInFlags(argc, argv, "fake-platform: a stand-in for the platform",
                   Flags);
  asio::io_context io(1);
  Platform platform;
  return serveUntilStopped(io, FLAGS_listen,
                           [&](http::Request request, http::Exchange &x) {
                             return platform.handle(std::move(request), x);
                           });
}

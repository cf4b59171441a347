// fake-platform: a fake of the platform's store with the published HTTP
// interface: entries with revisions, conditional writes, leases, and watches
// with a bounded history. It also serves a delayed list of VMs and a weight
// store. Tests use /v1/test/... to set the VMs, read call counts and inject
// outages, delays and dropped responses.
#include "platform/names.h"
#include "platform/store-codec.h"
#include "platform/store.h"
#include "tool-support.h"

#include <chrono>
#include <deque>
#include <gflags/gflags.h>
#include <map>

DEFINE_string(listen, "127.0.0.1:7000", "[network] IP:port");
DEFINE_int32(vm_lag_ms, 500, "[platform] delay of the list of VMs");
DEFINE_int32(writes_per_second, 100, "[platform] maximum writes per second");
DEFINE_int32(reads_per_second, 2000, "[platform] maximum reads per second");
DEFINE_int32(weights_ms, 200, "[platform] time to fetch a model's weights");

namespace {

using namespace drumlanding;
using namespace drumlanding::tools;
using Clock = std::chrono::steady_clock;

constexpr std::string_view Flags[] = {"listen", "vm_lag_ms",
                                      "writes_per_second", "reads_per_second",
                                      "weights_ms"};
constexpr base::milliseconds WatchPollInterval{10};
/// Number of changes kept for watches; older ones are compacted.
constexpr std::size_t MaxHistory = 500;
constexpr std::string_view VmPrefix = "vms/";
namespace names = platform::names;

struct StoredEntry {
  std::uint64_t Revision = 0;
  std::uint64_t CreateRevision = 0;
  std::string Value; // base64, as received
  std::uint64_t Lease = 0;
};

struct Lease {
  Clock::time_point ExpiresAt;
  base::milliseconds Ttl{0};
};

/// One change in the history that watches read.
struct Change {
  std::uint64_t Revision = 0;
  std::string Key;
  bool IsRemoved = false;
  StoredEntry Entry;
};

/// Limits calls to a maximum per second of the clock, and counts all calls,
/// rejected ones included.
class RateLimiter {
public:
  bool allow(int maxPerSecond) {
    const auto now = std::chrono::time_point_cast<base::seconds>(Clock::now());
    if (now != CurrentSecond) {
      CurrentSecond = now;
      UsedInSecond = 0;
    }
    ++Total;
    return ++UsedInSecond <= maxPerSecond;
  }
  std::uint64_t total() const { return Total; }

private:
  std::chrono::time_point<Clock, base::seconds> CurrentSecond{};
  int UsedInSecond = 0;
  std::uint64_t Total = 0;
};

struct Faults {
  bool IsDown = false;
  base::milliseconds Delay{0};
  /// Number of successful writes whose responses to drop after applying them.
  int ResponsesToDrop = 0;
};

class Platform {
public:
  asio::awaitable<void> handle(http::Request request, http::Exchange &x) {
    const std::string path(request.path());
    if (path.starts_with("/v1/test/")) {
      co_await x.send(handleTestRequest(request));
      co_return;
    }
    if (InjectedFaults.Delay.count() > 0)
      co_await sleepFor(InjectedFaults.Delay);
    if (InjectedFaults.IsDown) {
      co_await x.send(errorResponse(503, "outage"));
      co_return;
    }
    expireLeases();
    updateVmEntries();
    if (path.starts_with("/v1/weights/")) {
      co_await sleepFor(base::milliseconds(FLAGS_weights_ms));
      co_await x.send(emptyResponse(200));
      co_return;
    }
    const bool isRenewal = path.starts_with(names::path::LeaseRenew);
    const bool isWrite = request.Method != "GET" && !isRenewal;
    const bool isAllowed = isWrite ? WriteLimiter.allow(FLAGS_writes_per_second)
                                   : ReadLimiter.allow(FLAGS_reads_per_second);
    if (!isAllowed) {
      co_await x.send(errorResponse(429, "rate limit exceeded"));
      co_return;
    }
    if (path == names::path::StoreWatch)
      co_await waitForChange(request);
    http::Response response = dispatch(request);
    if (isWrite && InjectedFaults.ResponsesToDrop > 0 &&
        response.Status == 200) {
      --InjectedFaults.ResponsesToDrop;
      co_await x.endEvents();
      co_return;
    }
    co_await x.send(std::move(response));
  }

private:
  static Json toJson(const std::string &key, const StoredEntry &entry) {
    return {{"tlsKey", key},
            {"value", entry.Value},
            {"rev", entry.Revision},
            {"made", entry.CreateRevision},
            {"lease", entry.Lease}};
  }

  void put(const std::string &key, const std::string &value,
           std::uint64_t lease) {
    StoredEntry &entry = Entries[key];
    entry.Revision = Revision;
    if (entry.CreateRevision == 0)
      entry.CreateRevision = Revision;
    entry.Value = value;
    entry.Lease = lease;
    recordChange({Revision, key, false, entry});
  }

  void remove(const std::string &key) {
    if (Entries.erase(key) > 0)
      recordChange({Revision, key, true, {}});
  }

  void recordChange(Change change) {
    History.push_back(std::move(change));
    if (History.size() <= MaxHistory)
      return;
    CompactedRevision = History.front().Revision;
    History.pop_front();
  }

  void expireLeases() {
    const auto now = Clock::now();
    std::erase_if(Leases, [&](const auto &entry) {
      return entry.second.ExpiresAt < now;
    });
    std::vector<std::string> expired;
    for (const auto &[key, entry] : Entries)
      if (entry.Lease != 0 && !Leases.contains(entry.Lease))
        expired.push_back(key);
    for (const std::string &key : expired) {
      ++Revision;
      remove(key);
    }
  }

  std::vector<const Change *> changesFor(const http::Request &request) const {
    const std::string prefix(request.query("pathPrefix"));
    const std::uint64_t after = parseNumberOr(request.query("sinceRev"), 0);
    std::vector<const Change *> changes;
    for (const Change &change : History)
      if (change.Revision > after && change.Key.starts_with(prefix))
        changes.push_back(&change);
    return changes;
  }

  asio::awaitable<void> waitForChange(const http::Request &request) {
    const auto until =
        Clock::now() +
        base::milliseconds(parseNumberOr(request.query("waitMs"), 0));
    while (Clock::now() < until && !InjectedFaults.IsDown) {
      expireLeases();
      updateVmEntries();
      if (!changesFor(request).empty())
        co_return;
      co_await sleepFor(WatchPollInterval);
    }
  }

  http::Response dispatch(const http::Request &request) {
    const std::string path(request.path());
    if (path == names::path::StoreKey)
      return read(request);
    if (path == names::path::StoreRange)
      return range(request);
    if (path == names::path::StoreWatch)
      return watch(request);
    if (path == names::path::StoreWrite && request.Method == "POST")
      return write(request);
    if (path == names::path::LeaseGrant && request.Method == "POST")
      return grant(request);
    if (path.starts_with(names::path::LeaseRenew) && request.Method == "POST")
      return renew(request);
    return errorResponse(404, "unknown path or method");
  }

  http::Response read(const http::Request &request) {
    const auto it = Entries.find(std::string(request.query("tlsKey")));
    if (it == Entries.end())
      return errorResponse(404, "key not found");
    Json json = toJson(it->first, it->second);
    json["at"] = Revision;
    return jsonResponse(200, json);
  }

  http::Response range(const http::Request &request) {
    const std::string prefix(request.query("pathPrefix"));
    const std::string after(request.query("sinceRev"));
    Json items = Json::array();
    for (const auto &[key, entry] : Entries)
      if (key.starts_with(prefix) && (after.empty() || key > after))
        items.push_back(toJson(key, entry));
    return jsonResponse(200,
                        {{"items", items}, {"more", false}, {"at", Revision}});
  }

  http::Response watch(const http::Request &request) {
    if (parseNumberOr(request.query("sinceRev"), 0) < CompactedRevision)
      return errorResponse(410, "history before this revision was compacted");
    Json events = Json::array();
    for (const Change *change : changesFor(request))
      events.push_back(change->IsRemoved ? Json{{"tlsKey", change->Key},
                                                {"rev", change->Revision},
                                                {"gone", true}}
                                         : toJson(change->Key, change->Entry));
    return jsonResponse(200, {{"events", events}, {"at", Revision}});
  }

  std::uint64_t revisionOf(const std::string &key) const {
    const auto it = Entries.find(key);
    return it == Entries.end() ? 0 : it->second.Revision;
  }

  http::Response write(const http::Request &request) {
    const Json body = Json::parse(request.Body, nullptr, false);
    if (!body.is_object())
      return errorResponse(400, "expected a JSON object");
    bool conditionsHold = true;
    Json present = Json::array();
    for (const Json &item : body.value("expectRev", Json::array())) {
      const std::string key = item.at("tlsKey");
      conditionsHold = conditionsHold && revisionOf(key) == item.at("rev");
      if (const auto it = Entries.find(key); it != Entries.end())
        present.push_back(toJson(key, it->second));
    }
    if (!conditionsHold)
      return jsonResponse(412, {{"items", present}});
    for (const Json &item : body.value("put", Json::array()))
      if (const std::uint64_t lease = item.value("lease", std::uint64_t{0});
          lease != 0 && !Leases.contains(lease))
        return errorResponse(404, "lease not found or expired");
    ++Revision;
    for (const Json &item : body.value("put", Json::array()))
      put(item.at("tlsKey"), item.at("value"),
          item.value("lease", std::uint64_t{0}));
    for (const Json &key : body.value("remove", Json::array()))
      remove(key);
    return jsonResponse(200, {{"rev", Revision}});
  }

  http::Response grant(const http::Request &request) {
    const Json body = Json::parse(request.Body, nullptr, false);
    const base::milliseconds ttl(body.is_object() ? body.value("ttl_ms", 1'000)
                                                  : 1'000);
    const std::uint64_t id = ++LastLease;
    Leases[id] = {Clock::now() + ttl, ttl};
    return jsonResponse(200, {{"lease", id}, {"ttl_ms", ttl.count()}});
  }

  http::Response renew(const http::Request &request) {
    const std::uint64_t id =
        parseNumberOr(request.path().substr(names::path::LeaseRenew.size()), 0);
    const auto it = Leases.find(id);
    if (it == Leases.end())
      return errorResponse(404, "lease not found or expired");
    it->second.ExpiresAt = Clock::now() + it->second.Ttl;
    return jsonResponse(200, {{"ttl_ms", it->second.Ttl.count()}});
  }

  /// Replaces the entries under VmPrefix when another list of VMs becomes
  /// visible.
  void updateVmEntries() {
    const Json visible = visibleVms();
    if (visible == PublishedVms)
      return;
    PublishedVms = visible;
    ++Revision;
    std::vector<std::string> oldKeys;
    for (const auto &[key, entry] : Entries)
      if (key.starts_with(VmPrefix))
        oldKeys.push_back(key);
    for (const std::string &key : oldKeys)
      remove(key);
    for (const Json &vm : visible)
      put(std::string(VmPrefix) + vm.at("name").get<std::string>(),
          platform::encodeValue(vm.dump()), 0);
  }

  Json visibleVms() {
    const auto now = Clock::now() - base::milliseconds(FLAGS_vm_lag_ms);
    while (VmLists.size() > 1 && std::next(VmLists.begin())->first <= now)
      VmLists.erase(VmLists.begin());
    const bool hasAny = !VmLists.empty() && VmLists.begin()->first <= now;
    return hasAny ? VmLists.begin()->second : Json::array();
  }

  http::Response handleTestRequest(const http::Request &request) {
    const std::string path(request.path());
    if (path == "/v1/test/vms") {
      Json list = Json::parse(request.Body, nullptr, false);
      if (!list.is_array())
        return errorResponse(400, "expected a JSON array of VMs");
      VmLists.emplace(Clock::now(), std::move(list));
      return emptyResponse(200);
    }
    if (path == "/v1/test/counts")
      return jsonResponse(200, {{"reads", ReadLimiter.total()},
                                {"writes", WriteLimiter.total()}});
    InjectedFaults.IsDown = parseNumberOr(request.query("down"), 0) != 0;
    InjectedFaults.Delay =
        base::milliseconds(parseNumberOr(request.query("delay_ms"), 0));
    InjectedFaults.ResponsesToDrop =
        static_cast<int>(parseNumberOr(request.query("lose"), 0));
    return emptyResponse(200);
  }

  std::map<std::string, StoredEntry> Entries;
  std::map<std::uint64_t, Lease> Leases;
  std::deque<Change> History;
  /// Watches can no longer read changes up to this revision.
  std::uint64_t CompactedRevision = 0;
  Json PublishedVms = Json::array();
  std::multimap<Clock::time_point, Json> VmLists;
  std::uint64_t Revision = 0;
  std::uint64_t LastLease = 0;
  RateLimiter ReadLimiter;
  RateLimiter WriteLimiter;
  Faults InjectedFaults;
};

} // namespace

int main(int argc, char **argv) {
  readToolFlags(argc, argv, "fake-platform: a fake of the platform's store",
                Flags);
  asio::io_context io(1);
  Platform platform;
  return serveUntilStopped(io, FLAGS_listen,
                           [&](http::Request request, http::Exchange &x) {
                             return platform.handle(std::move(request), x);
                           });
}

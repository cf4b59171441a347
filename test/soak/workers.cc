#include "workers.h"

#include "drumlanding/daemon/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace drumlanding::soak {
namespace {

using base::milliseconds;
using daemon::sleepFor;
using Json = nlohmann::json;

constexpr milliseconds Beat{500};
/// An entry goes after three silent beats.
constexpr milliseconds EntryTime{1'500};
constexpr milliseconds EventStep{8};
constexpr milliseconds CallTime{40};
constexpr milliseconds CopyTime{40};
/// A server whose entry was taken away serves on for a little.
constexpr int MostOpen = 40;
constexpr int NotFound = 404;
/// Part of the requests that a worker in a bad mood spoils.
constexpr double BadPart = 0.5;

Json parse(const std::string &text) {
  return Json::parse(text, nullptr, false);
}

/// Reads the number behind the last slash of a path.
int numberIn(std::string_view path) {
  const std::string_view digits = path.substr(path.rfind('/') + 1);
  int n = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), n);
  return n;
}

http::Response plain(int status, std::string body) {
  return {status, "application/json", std::move(body), {}};
}

} // namespace

Worker::Worker(asio::io_context &io, Journal &journal, Copies &copies,
               const platform::Store &store, Place place, std::uint64_t seed)
    : Io(io), Log(journal), AllCopies(copies), Store(store),
      At(std::move(place)), Random(seed) {
  beginLife();
}

void Worker::beginLife() {
  constexpr double SameId = 0.3;
  if (Id.empty() || !Random.chance(SameId))
    Id = "i-" + std::to_string(Random.below(1'000'000'000));
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  BornMs = std::chrono::duration_cast<milliseconds>(now).count();
  Revision = 0;
  Lease = 0;
  IsLeaving = false;
  LeavingSince = base::Instant::max();
}

void Worker::begin() {
  auto listener = http::Server::listen(
      Io, At.Private, {}, [this](http::Request r, http::Exchange &x) {
        return serve(std::move(r), x);
      });
  auto link = Proxy::start(Io, At.Public, At.Private);
  if (!ok(listener) || !ok(link)) {
    Log.broken("soak", "cannot listen at " + base::toString(At.Public));
    return;
  }
  Listener = std::move(value(listener));
  Link = std::move(value(link));
  asio::co_spawn(Io, keepListed(), asio::detached);
}

asio::awaitable<bool> Worker::writeEntry() {
  const int life = Life;
  const Json entry{{"backend", At.Service},
                   {"address", base::toString(At.Public)},
                   {"zone", At.Zone},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", IsLeaving ? "draining" : "ready"},
                   {"coldLeftMs", 0},
                   {"born", BornMs},
                   {"seq", ++Beats}};
  if (Lease == 0) {
    const auto lease = co_await Store.grantLease(EntryTime);
    if (!ok(lease) || life != Life)
      co_return false;
    Lease = value(lease);
    Revision = 0;
  }
  const auto renewed = co_await Store.renewLease(Lease);
  if (!ok(renewed) && error(renewed).Code != base::ErrorCode::TimedOut)
    Lease = 0;
  const auto swap = co_await Store.compareAndSwap("servers/" + Id, Revision,
                                                  entry.dump(), Lease);
  if (life != Life || !ok(swap))
    co_return false;
  // An answer that was lost: the next beat goes on from what is there.
  Revision = value(swap).Current.Revision;
  co_return value(swap).Swapped;
}

asio::awaitable<void> Worker::writeForeignEntry() {
  constexpr const char *Texts[] = {
      "", "\xff\xfe", "[1]", R"({"backend":7})",
      R"({"backend":"shop","address":"127.0.0.1:9","state":"asleep"})"};
  const auto lease = co_await Store.grantLease(EntryTime);
  if (!ok(lease))
    co_return;
  const std::string key =
      "servers/x-" + std::to_string(Random.below(1'000'000'000));
  co_await Store.compareAndSwap(key, 0, Texts[Random.below(std::size(Texts))],
                                value(lease));
}

asio::awaitable<void> Worker::keepListed() {
  for (;;) {
    if (IsUp) {
      const bool wasLeaving = IsLeaving;
      const bool isWritten = co_await writeEntry();
      if (isWritten && wasLeaving && IsLeaving &&
          LeavingSince == base::Instant::max())
        LeavingSince = Journal::now();
    }
    co_await sleepFor(Beat);
  }
}

asio::awaitable<void> Worker::leave(milliseconds notice) {
  const int life = Life;
  IsLeaving = true;
  GoneAt = Journal::now() + notice;
  while (life == Life && Journal::now() < GoneAt)
    co_await sleepFor(EventStep);
  if (life == Life)
    co_await crash(milliseconds(700));
}

asio::awaitable<void> Worker::crash(milliseconds downFor) {
  const int life = ++Life;
  IsUp = false;
  Running.clear();
  Link->set(LinkFault::Refused);
  Link->resetAll();
  co_await sleepFor(downFor);
  if (life != Life)
    co_return;
  beginLife();
  Link->set(LinkFault::None);
  IsUp = true;
}

http::Response Worker::own(const http::Request &request, int status,
                           std::string body) const {
  return {status,
          "text/plain",
          std::move(body),
          {{"X-Attempt-Id", std::string(request.header("X-Attempt-Id"))},
           {"X-Served-Stamp", "stamp-" + Id}}};
}

std::optional<http::Response>
Worker::refusal(const http::Request &request) const {
  const std::string_view expected = request.header("X-Expect-Instance");
  if (!expected.empty() && expected != Id)
    return plain(421, "{}");
  const bool isNameless = request.header("X-Attempt-Id").empty();
  if (!isNameless && HasMood != Mood::Full && Open < MostOpen)
    return std::nullopt;
  http::Response refused = plain(isNameless ? 400 : 503, "{}");
  refused.Headers.push_back({"X-Not-Run", "1"});
  return refused;
}

asio::awaitable<void> Worker::serve(http::Request request, http::Exchange &x) {
  if (!IsUp)
    co_return;
  const std::string path(request.path());
  if (path == "/drumlanding/report") {
    co_await report(x);
    co_return;
  }
  if (path == "/healthz") {
    http::Response health = plain(IsLeaving ? 503 : 200, "{}");
    health.Headers.push_back({"X-Instance-Id", Id});
    co_await x.send(std::move(health));
    co_return;
  }
  if (path == "/drumlanding/kv-move") {
    co_await move(std::move(request), x);
    co_return;
  }
  if (request.Method == "DELETE") {
    AllCopies.erase(path.substr(path.rfind('/') + 1));
    co_await x.send(plain(200, "{}"));
    co_return;
  }
  if (auto refused = refusal(request)) {
    co_await x.send(std::move(*refused));
    co_return;
  }
  ++Open;
  if (At.IsEngine)
    co_await stream(std::move(request), x);
  else
    co_await call(std::move(request), x);
  --Open;
}

asio::awaitable<void> Worker::call(http::Request request, http::Exchange &x) {
  const int life = Life;
  const std::string attempt(request.header("X-Attempt-Id"));
  const bool mayRepeat = request.path().starts_with("/often/");
  if (LeavingSince != base::Instant::max())
    Log.workAfterLeaving(attempt, Id, LeavingSince);
  Log.began(attempt, Id, mayRepeat);
  co_await sleepFor(CallTime);
  const double chance = Random.unit();
  if (life != Life || (HasMood == Mood::Loses && chance < BadPart))
    co_return;
  const std::string body = "done " + attempt + " by " + Id;
  if (HasMood == Mood::BreaksOff && chance < BadPart) {
    http::Response half = own(request, 200, body);
    co_await x.beginBody(200, std::move(half.Headers));
    co_await x.body(body.substr(0, 7));
    co_return;
  }
  const bool isError = HasMood == Mood::Errors && chance < BadPart;
  http::Response response = own(request, isError ? 500 : 200, body);
  co_await x.send(std::move(response));
}

/// Takes up a copy that "IP:port/handle" names; false when there is none here.
bool Worker::takeCopy(const std::string &from, const std::string &attempt,
                      Generation &generation) {
  const auto it = AllCopies.find(from.substr(from.rfind('/') + 1));
  if (it == AllCopies.end() || it->second.Attempt != attempt ||
      std::find(it->second.At.begin(), it->second.At.end(), Id) ==
          it->second.At.end())
    return false;
  generation.Id = it->second.Generation;
  generation.NextEvent = it->second.NextEvent;
  AllCopies.erase(it);
  return true;
}

asio::awaitable<void> Worker::stream(http::Request request, http::Exchange &x) {
  const int life = Life;
  const std::string attempt(request.header("X-Attempt-Id"));
  const std::string from(request.header("Kv-From"));
  auto generation = std::make_shared<Generation>();
  if (from.empty()) {
    generation->Id = "g" + std::to_string(Random.below(1'000'000'000));
    if (LeavingSince != base::Instant::max())
      Log.workAfterLeaving(attempt, Id, LeavingSince);
    Log.began(attempt, Id, false);
  } else if (!takeCopy(from, attempt, *generation)) {
    http::Response refused = plain(503, "{}");
    refused.Headers.push_back({"X-Not-Run", "1"});
    co_await x.send(std::move(refused));
    co_return;
  }
  if (HasMood == Mood::Loses && Random.chance(BadPart))
    co_return;
  // What the caller has received decides where a moved stream goes on.
  if (const std::string last(request.header("Last-Event-Id"));
      !from.empty() && !last.empty())
    generation->NextEvent = std::stoi(last) + 1;
  Running[attempt] = generation;
  x.onDisconnect([generation] { generation->IsStopped = true; });
  http::Response head = own(request, 200, "");
  head.Headers.push_back({"Content-Type", "text/event-stream"});
  co_await x.beginBody(200, std::move(head.Headers));
  const int all = numberIn(request.path());
  const bool breaksOff = HasMood == Mood::BreaksOff && Random.chance(BadPart);
  while (generation->NextEvent < all) {
    co_await sleepFor(EventStep);
    if (life != Life || generation->IsStopped ||
        (breaksOff && generation->NextEvent > all / 2))
      co_return;
    const std::string n = std::to_string(generation->NextEvent++);
    const std::string event = "id: " + n + "\ndata: " + attempt + " " +
                              generation->Id + " " + n + "\n\n";
    if (!co_await x.body(event))
      co_return;
  }
  Running.erase(attempt);
  co_await x.endBody();
}

asio::awaitable<void> Worker::move(http::Request request, http::Exchange &x) {
  const int life = Life;
  const Json order = parse(request.Body);
  const std::string attempt = order.value("id", "");
  const auto it = Running.find(attempt);
  if (it == Running.end() || it->second->IsStopped) {
    co_await x.send(plain(NotFound, "{}"));
    co_return;
  }
  const std::shared_ptr<Generation> generation = it->second;
  const bool isLast = order.value("last", false);
  if (isLast) {
    generation->IsStopped = true;
    Running.erase(it);
  }
  co_await sleepFor(CopyTime);
  if (life != Life)
    co_return;
  const std::string handle =
      "h" + std::to_string(Random.next() % 1'000'000'000);
  Copy copy{attempt, generation->Id, generation->NextEvent, {Id}};
  const std::string destination =
      Log.ServerAt(order.value("targetVersion", ""));
  if (!destination.empty())
    copy.At.push_back(destination);
  if (isLast || !destination.empty())
    AllCopies[handle] = copy;
  const Json answer{{"handle", handle}, {"made", generation->NextEvent}};
  co_await x.send(plain(destination.empty() ? 503 : 200, answer.dump()));
}

asio::awaitable<void> Worker::report(http::Exchange &x) {
  Json report{{"state", IsLeaving ? "draining" : "ready"},
              {"born", BornMs},
              {"running", Open},
              {"waiting", 0},
              {"kvUsed", 0},
              {"kvTotal", 30'000}};
  if (IsLeaving)
    report["leaves_ms"] =
        std::max<std::int64_t>(0, base::toMs(GoneAt - Journal::now()));
  co_await x.send(plain(200, report.dump()));
}

} // namespace drumlanding::soak

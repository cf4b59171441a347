#include "fake-servers.h"

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

constexpr milliseconds HeartbeatInterval{500};
/// An entry expires after three missed heartbeats.
constexpr milliseconds EntryTtl{1'500};
constexpr milliseconds EventInterval{8};
constexpr milliseconds CallDuration{40};
constexpr milliseconds CopyDuration{40};
/// With this many requests open, a server refuses further ones.
constexpr int MaxOpenRequests = 40;
constexpr int NotFound = 404;
/// Time for the gateways to learn a limit; the users allow three seconds.
constexpr milliseconds LimitLearnTime{1'000};
/// Fraction of the requests that a fault mode affects.
constexpr double FaultProbability = 0.5;

Json parse(const std::string &text) {
  return Json::parse(text, nullptr, false);
}

/// Returns the number after the last slash of a path.
int trailingNumber(std::string_view path) {
  const std::string_view digits = path.substr(path.rfind('/') + 1);
  int n = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), n);
  return n;
}

http::Response jsonResponse(int status, std::string body) {
  return {status, "application/json", std::move(body), {}};
}

} // namespace

FakeServer::FakeServer(asio::io_context &io, Journal &journal,
                       CopyTable &copies, const platform::Store &store,
                       Options options, std::uint64_t seed)
    : Io(io), Log(journal), AllCopies(copies), Store(store),
      Opts(std::move(options)), Random(seed) {
  startInstance();
}

void FakeServer::startInstance() {
  constexpr double SameIdProbability = 0.3;
  if (Id.empty() || !Random.chance(SameIdProbability))
    Id = "i-" + std::to_string(Random.below(1'000'000'000));
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  StartedAtMs = std::chrono::duration_cast<milliseconds>(now).count();
  Revision = 0;
  Lease = 0;
  IsLeaving = false;
  LeavingSince = base::Instant::max();
  Limit.reset();
}

void FakeServer::start() {
  auto listener = http::Server::listen(
      Io, Opts.Private, {}, [this](http::Request r, http::Exchange &x) {
        return serve(std::move(r), x);
      });
  auto link = Proxy::start(Io, Opts.Public, Opts.Private);
  if (!ok(listener) || !ok(link)) {
    Log.recordViolation("soak",
                        "cannot listen at " + base::toString(Opts.Public));
    return;
  }
  Listener = std::move(value(listener));
  Link = std::move(value(link));
  asio::co_spawn(Io, maintainEntry(), asio::detached);
}

asio::awaitable<bool> FakeServer::writeEntry() {
  const int instance = InstanceNumber;
  const Json entry{{"backend", Opts.Service},
                   {"address", base::toString(Opts.Public)},
                   {"zone", Opts.Zone},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", IsLeaving ? "draining" : "ready"},
                   {"coldLeftMs", 0},
                   {"born", StartedAtMs},
                   {"seq", ++SequenceNumber}};
  if (Lease == 0) {
    const auto lease = co_await Store.grantLease(EntryTtl);
    if (!ok(lease) || instance != InstanceNumber)
      co_return false;
    Lease = value(lease);
    Revision = 0;
  }
  const auto renewed = co_await Store.renewLease(Lease);
  if (!ok(renewed) && error(renewed).Code != base::ErrorCode::TimedOut)
    Lease = 0;
  const auto swap = co_await Store.compareAndSwap("servers/" + Id, Revision,
                                                  entry.dump(), Lease);
  if (instance != InstanceNumber || !ok(swap))
    co_return false;
  // If the response to an earlier write was lost, the swap fails and the next
  // heartbeat continues from the stored revision.
  Revision = value(swap).Current.Revision;
  co_return value(swap).Swapped;
}

asio::awaitable<void> FakeServer::writeForeignEntry() {
  constexpr const char *MalformedEntries[] = {
      "", "\xff\xfe", "[1]", R"({"backend":7})",
      R"({"backend":"shop","address":"127.0.0.1:9","state":"asleep"})"};
  const auto lease = co_await Store.grantLease(EntryTtl);
  if (!ok(lease))
    co_return;
  const std::string key =
      "servers/x-" + std::to_string(Random.below(1'000'000'000));
  co_await Store.compareAndSwap(
      key, 0, MalformedEntries[Random.below(std::size(MalformedEntries))],
      value(lease));
}

asio::awaitable<void> FakeServer::maintainEntry() {
  for (;;) {
    if (IsUp) {
      const bool wasLeaving = IsLeaving;
      const bool isWritten = co_await writeEntry();
      if (isWritten && wasLeaving && IsLeaving &&
          LeavingSince == base::Instant::max())
        LeavingSince = Journal::now();
    }
    co_await sleepFor(HeartbeatInterval);
  }
}

asio::awaitable<void> FakeServer::leave(milliseconds notice) {
  const int instance = InstanceNumber;
  IsLeaving = true;
  ShutdownAt = Journal::now() + notice;
  while (instance == InstanceNumber && Journal::now() < ShutdownAt)
    co_await sleepFor(EventInterval);
  if (instance == InstanceNumber)
    co_await crash(milliseconds(700));
}

asio::awaitable<void> FakeServer::crash(milliseconds downFor) {
  const int instance = ++InstanceNumber;
  IsUp = false;
  Running.clear();
  Link->setFault(LinkFault::Refused);
  Link->resetAll();
  co_await sleepFor(downFor);
  if (instance != InstanceNumber)
    co_return;
  startInstance();
  Link->setFault(LinkFault::None);
  IsUp = true;
}

asio::awaitable<void> FakeServer::nameLimit(double requestsPerSecond,
                                            milliseconds length) {
  Limit = requestsPerSecond;
  LimitKnownSince = Journal::now();
  co_await sleepFor(length);
  Limit.reset();
}

void FakeServer::checkLimit() {
  constexpr base::seconds Window{4};
  constexpr double WindowFactor = 1.5;
  constexpr double WindowExtra = 5;
  const base::Instant now = Journal::now();
  Arrivals.push_back(now);
  while (Arrivals.front() < now - Window)
    Arrivals.pop_front();
  // A response that names the limit may not reach the gateways.
  if (Link->fault() != LinkFault::None || Mode != FaultMode::None || !IsUp)
    LimitKnownSince = now;
  if (!Limit || now - LimitKnownSince < LimitLearnTime + Window)
    return;
  // A gateway that returns may use up to a second's requests before it hears
  // what the others have sent.
  const int returned = Log.gatewayFaults(now - Window - Journal::RecoveryTime,
                                         now, Opts.Gateways);
  const double allowed = WindowFactor * *Limit * Window.count() + WindowExtra +
                         returned * std::max(1.0, *Limit);
  if (static_cast<double>(Arrivals.size()) > allowed)
    Log.recordViolation("a server's limit holds over all gateways",
                        std::to_string(Arrivals.size()) + " requests to " + Id +
                            " in 4 s, limit " + std::to_string(*Limit));
}

/// Adds the limit that a server names to its response.
void addLimit(http::Response &response, std::optional<double> limit) {
  if (limit)
    response.Headers.push_back({"Server-Limit", std::to_string(*limit)});
}

http::Response FakeServer::makeResponse(const http::Request &request,
                                        int status, std::string body) const {
  http::Response response{
      status,
      "text/plain",
      std::move(body),
      {{"X-Attempt-Id", std::string(request.header("X-Attempt-Id"))},
       {"X-Served-Stamp", "stamp-" + Id}}};
  addLimit(response, Limit);
  return response;
}

std::optional<http::Response>
FakeServer::refusal(const http::Request &request) const {
  const std::string_view expected = request.header("X-Expect-Instance");
  if (!expected.empty() && expected != Id)
    return jsonResponse(421, "{}");
  const bool lacksAttemptId = request.header("X-Attempt-Id").empty();
  if (!lacksAttemptId && Mode != FaultMode::Overloaded &&
      OpenRequests < MaxOpenRequests)
    return std::nullopt;
  http::Response refused = jsonResponse(lacksAttemptId ? 400 : 503, "{}");
  refused.Headers.push_back({"X-Not-Run", "1"});
  addLimit(refused, Limit);
  return refused;
}

asio::awaitable<void> FakeServer::serve(http::Request request,
                                        http::Exchange &x) {
  if (!IsUp)
    co_return;
  const std::string path(request.path());
  if (path == "/drumlanding/report") {
    co_await report(x);
    co_return;
  }
  if (path == "/healthz") {
    http::Response health = jsonResponse(IsLeaving ? 503 : 200, "{}");
    health.Headers.push_back({"X-Instance-Id", Id});
    co_await x.send(std::move(health));
    co_return;
  }
  if (path == "/drumlanding/kv-move") {
    co_await migrate(std::move(request), x);
    co_return;
  }
  if (request.Method == "DELETE") {
    AllCopies.erase(path.substr(path.rfind('/') + 1));
    co_await x.send(jsonResponse(200, "{}"));
    co_return;
  }
  if (request.header("X-Expect-Instance") == Id)
    checkLimit();
  if (auto refused = refusal(request)) {
    co_await x.send(std::move(*refused));
    co_return;
  }
  ++OpenRequests;
  if (Opts.IsEngine)
    co_await stream(std::move(request), x);
  else
    co_await call(std::move(request), x);
  --OpenRequests;
}

asio::awaitable<void> FakeServer::endUnder(std::string path) {
  const int instance = InstanceNumber;
  co_await sleepFor(CallDuration / 2);
  if (instance != InstanceNumber)
    co_return;
  Log.recordServerEnd(path, Id, Opts.Gateways);
  const auto downFor = milliseconds(100 + Random.below(900));
  asio::co_spawn(Io, crash(downFor), asio::detached);
}

asio::awaitable<void> FakeServer::call(http::Request request,
                                       http::Exchange &x) {
  const int instance = InstanceNumber;
  const std::string attempt(request.header("X-Attempt-Id"));
  const bool isIdempotent = request.path().starts_with("/often/");
  if (LeavingSince != base::Instant::max())
    Log.recordStartAfterLeaving(attempt, Id, LeavingSince);
  Log.recordStart(attempt, Id, isIdempotent);
  if (request.path().starts_with(Journal::DeadlyPath)) {
    co_await endUnder(std::string(request.path()));
    co_return;
  }
  co_await sleepFor(CallDuration);
  const double chance = Random.unit();
  if (instance != InstanceNumber ||
      (Mode == FaultMode::DropsRequests && chance < FaultProbability))
    co_return;
  const std::string body = "done " + attempt + " by " + Id;
  if (Mode == FaultMode::TruncatesResponses && chance < FaultProbability) {
    http::Response partialResponse = makeResponse(request, 200, body);
    co_await x.beginBody(200, std::move(partialResponse.Headers));
    co_await x.body(body.substr(0, 7));
    co_return;
  }
  const bool isError = Mode == FaultMode::Errors && chance < FaultProbability;
  http::Response response = makeResponse(request, isError ? 500 : 200, body);
  co_await x.send(std::move(response));
}

/// Resumes from the copy that `from` ("IP:port/handle") names; returns false if
/// this engine does not have it.
bool FakeServer::resumeFromCopy(const std::string &from,
                                const std::string &attempt,
                                Generation &generation) {
  const auto it = AllCopies.find(from.substr(from.rfind('/') + 1));
  if (it == AllCopies.end() || it->second.Attempt != attempt ||
      std::find(it->second.Engines.begin(), it->second.Engines.end(), Id) ==
          it->second.Engines.end())
    return false;
  generation.Id = it->second.Generation;
  generation.NextEvent = it->second.NextEvent;
  AllCopies.erase(it);
  return true;
}

asio::awaitable<void> FakeServer::stream(http::Request request,
                                         http::Exchange &x) {
  const int instance = InstanceNumber;
  const std::string attempt(request.header("X-Attempt-Id"));
  const std::string from(request.header("Kv-From"));
  auto generation = std::make_shared<Generation>();
  if (from.empty()) {
    generation->Id = "g" + std::to_string(Random.below(1'000'000'000));
    if (LeavingSince != base::Instant::max())
      Log.recordStartAfterLeaving(attempt, Id, LeavingSince);
    Log.recordStart(attempt, Id, false);
  } else if (!resumeFromCopy(from, attempt, *generation)) {
    http::Response refused = jsonResponse(503, "{}");
    refused.Headers.push_back({"X-Not-Run", "1"});
    co_await x.send(std::move(refused));
    co_return;
  }
  if (Mode == FaultMode::DropsRequests && Random.chance(FaultProbability))
    co_return;
  // A migrated stream resumes after the last event that the caller received.
  if (const std::string lastEventId(request.header("Last-Event-Id"));
      !from.empty() && !lastEventId.empty())
    generation->NextEvent = std::stoi(lastEventId) + 1;
  Running[attempt] = generation;
  x.onDisconnect([generation] { generation->IsStopped = true; });
  http::Response head = makeResponse(request, 200, "");
  head.Headers.push_back({"Content-Type", "text/event-stream"});
  co_await x.beginBody(200, std::move(head.Headers));
  const int eventCount = trailingNumber(request.path());
  const bool isTruncated =
      Mode == FaultMode::TruncatesResponses && Random.chance(FaultProbability);
  while (generation->NextEvent < eventCount) {
    co_await sleepFor(EventInterval);
    if (instance != InstanceNumber || generation->IsStopped ||
        (isTruncated && generation->NextEvent > eventCount / 2))
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

asio::awaitable<void> FakeServer::migrate(http::Request request,
                                          http::Exchange &x) {
  const int instance = InstanceNumber;
  const Json copyRequest = parse(request.Body);
  const std::string attempt = copyRequest.value("id", "");
  const auto it = Running.find(attempt);
  if (it == Running.end() || it->second->IsStopped) {
    co_await x.send(jsonResponse(NotFound, "{}"));
    co_return;
  }
  const std::shared_ptr<Generation> generation = it->second;
  const bool isLast = copyRequest.value("last", false);
  if (isLast) {
    generation->IsStopped = true;
    Running.erase(it);
  }
  co_await sleepFor(CopyDuration);
  if (instance != InstanceNumber)
    co_return;
  const std::string handle =
      "h" + std::to_string(Random.next() % 1'000'000'000);
  Copy copy{attempt, generation->Id, generation->NextEvent, {Id}};
  const std::string destination =
      Log.ServerAt(copyRequest.value("targetVersion", ""));
  if (!destination.empty())
    copy.Engines.push_back(destination);
  if (isLast || !destination.empty())
    AllCopies[handle] = copy;
  const Json answer{{"handle", handle}, {"made", generation->NextEvent}};
  co_await x.send(jsonResponse(destination.empty() ? 503 : 200, answer.dump()));
}

asio::awaitable<void> FakeServer::report(http::Exchange &x) {
  Json report{{"state", IsLeaving ? "draining" : "ready"},
              {"born", StartedAtMs},
              {"running", OpenRequests},
              {"waiting", 0},
              {"kvUsed", 0},
              {"kvTotal", 30'000}};
  if (IsLeaving)
    report["leaves_ms"] =
        std::max<std::int64_t>(0, base::toMs(ShutdownAt - Journal::now()));
  co_await x.send(jsonResponse(200, report.dump()));
}

} // namespace drumlanding::soak

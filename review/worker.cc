#include "worker.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace drumlanding::review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds RenewalInterval{1'200};
/// The platform removes an entry after this many missed renewals.
constexpr int MissedRenewals = 3;
/// From the pages' example of a config.
constexpr double BytesPerToken = 18'432;
constexpr double LinkMbps = 2'700;
constexpr int TokensPerEvent = 4;
constexpr const char *AttemptHeader = "X-Attempt-Id";
constexpr const char *StampHeader = "X-Served-Stamp";

void writeBytes(tcp::socket &socket, const std::string &bytes,
                boost::system::error_code &ec) {
  asio::write(socket, asio::buffer(bytes), ec);
}

bool sendHead(tcp::socket &socket, const std::string &attemptId,
              const std::string &worker, bool isUnframed) {
  boost::system::error_code ec;
  writeBytes(socket,
             std::string("HTTP/1.1 200 OK\r\n"
                         "Content-Type: text/event-stream\r\n") +
                 (isUnframed ? "Connection: close\r\n"
                             : "Transfer-Encoding: chunked\r\n") +
                 AttemptHeader + ": " + attemptId + "\r\n" + StampHeader +
                 ": stamp." + worker + "\r\n\r\n",
             ec);
  return !ec;
}

bool sendPart(tcp::socket &socket, const std::string &bytes, bool isUnframed) {
  boost::system::error_code ec;
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  writeBytes(socket, isUnframed ? bytes : size + bytes + "\r\n", ec);
  return !ec;
}

} // namespace

std::string CopyTable::add(const std::string &attemptId) {
  const std::lock_guard guard(Lock);
  const std::string handle = "h" + std::to_string(++LastHandle);
  Attempts[handle] = attemptId;
  return handle;
}

bool CopyTable::take(const std::string &handle, const std::string &attemptId) {
  const std::lock_guard guard(Lock);
  const auto it = Attempts.find(handle);
  if (it == Attempts.end() || it->second != attemptId)
    return false;
  Attempts.erase(it);
  return true;
}

void RunLog::add(const Run &run) {
  Log.write("worker " + run.Worker + " (" + run.Service + ") runs " +
            run.AttemptId + " " + run.Target);
  const std::lock_guard guard(Lock);
  Runs.push_back(run);
}

std::vector<Run> RunLog::all() const {
  const std::lock_guard guard(Lock);
  return Runs;
}

int RunLog::count(const std::string &attemptId) const {
  const std::lock_guard guard(Lock);
  return static_cast<int>(
      std::count_if(Runs.begin(), Runs.end(), [&](const Run &run) {
        return run.AttemptId == attemptId;
      }));
}

Worker::Worker(WorkerOptions options, Store &store, RunLog &runs)
    : Options(std::move(options)), Entries(store), Runs(runs) {
  Server = std::make_unique<WebServer>(
      Options.At, [this](const Request &request, tcp::socket &socket) {
        return serve(request, socket);
      });
  Entries.put("servers/" + Options.Id, entry(1));
  Renewal = std::thread([this] { renew(); });
}

Worker::~Worker() { crash(); }

void Worker::crash() {
  {
    const std::lock_guard guard(Lock);
    IsStopping = true;
  }
  Stopped.notify_all();
  Server->reset();
  if (Renewal.joinable())
    Renewal.join();
}

std::string Worker::entry(int sequence) const {
  return Json{{"backend", Options.Service},
              {"address", toString(Options.At)},
              {"zone", Options.Zone},
              {"version", "v1"},
              {"slots", Options.Slots},
              {"state", "ready"},
              {"coldLeftMs", 0},
              {"seq", sequence}}
      .dump();
}

void Worker::renew() {
  std::unique_lock guard(Lock);
  for (int sequence = 2; !IsStopping; ++sequence) {
    Stopped.wait_for(guard, RenewalInterval, [this] { return IsStopping; });
    if (!IsStopping)
      Entries.put("servers/" + Options.Id, entry(sequence));
  }
}

bool Worker::serve(const Request &request, tcp::socket &socket) {
  const std::string target(request.target());
  const std::string_view path = pathOf(target);
  if (path == "/healthz") {
    Response health = makeResponse(
        IsDraining ? http::status::service_unavailable : http::status::ok, "");
    health.set("X-Instance-Id", Options.Id);
    return respond(socket, health);
  }
  if (path == "/drumlanding/report" && Options.IsEngine)
    return report(socket);
  if (path == "/drumlanding/kv-move" && Options.Copies)
    return move(request, socket);
  if (path.starts_with("/drumlanding/kv-handle/"))
    return respond(socket, makeResponse(http::status::ok, ""));
  if (path.starts_with("/drumlanding/"))
    return respond(socket, makeResponse(http::status::not_found, ""));
  const auto expected = request.find("X-Expect-Instance");
  if (expected != request.end() && expected->value() != Options.Id) {
    Response wrong = makeResponse(http::status::misdirected_request, "");
    wrong.set("X-Instance-Id", Options.Id);
    return respond(socket, wrong);
  }
  return run(request, socket);
}

bool Worker::run(const Request &request, tcp::socket &socket) {
  const std::string attemptId(request[AttemptHeader]);
  Runs.add(
      {attemptId, std::string(request.target()), Options.Id, Options.Service});
  ++Running;
  bool isSent = false;
  if (Options.IsEngine) {
    isSent = stream(request, socket, attemptId);
  } else {
    std::this_thread::sleep_for(milliseconds(Options.WorkMs));
    Response response =
        makeResponse(http::status::ok, Options.Id + " ran " + attemptId);
    response.set(AttemptHeader, attemptId);
    response.set(StampHeader, "stamp." + Options.Id);
    isSent = respond(socket, response);
  }
  --Running;
  return isSent;
}

bool Worker::report(tcp::socket &socket) {
  const Json state{{"stage", "dual"},
                   {"busy", false},
                   {"seq", 1},
                   {"waiting", 0},
                   {"running", Running.load()},
                   {"kvUsed", 0},
                   {"kvTotal", 34'459},
                   {"handles", 0},
                   {"state", IsDraining ? "draining" : "ready"}};
  return respond(socket, makeResponse(http::status::ok, state.dump()));
}

bool Worker::stream(const Request &request, tcp::socket &socket,
                    const std::string &attemptId) {
  const auto generation = std::make_shared<Generation>();
  const std::string usage(request["X-Token-Usage"]);
  generation->PromptTokens = std::atoi(usage.c_str());
  const std::string from(request["Kv-From"]);
  if (!from.empty()) {
    const std::string handle = from.substr(from.find('/') + 1);
    if (!Options.Copies || !Options.Copies->take(handle, attemptId)) {
      Response refusal = makeResponse(http::status::service_unavailable, "");
      refusal.set("X-Not-Run", "1");
      refusal.set(AttemptHeader, attemptId);
      return respond(socket, refusal);
    }
    generation->Made = std::atoi(std::string(request["Last-Event-Id"]).c_str());
  }
  {
    const std::lock_guard guard(Lock);
    Generations[attemptId] = generation;
  }
  const bool isUnframed = Options.IsUnframed && Options.IsUnframed(attemptId);
  bool isSent = sendHead(socket, attemptId, Options.Id, isUnframed);
  bool isStopped = false;
  while (isSent && !isStopped) {
    std::this_thread::sleep_for(milliseconds(Options.EventGapMs));
    const std::lock_guard guard(Lock);
    // After a crash the channel is reset.
    if (IsStopping)
      return false;
    isStopped = generation->IsStopped || generation->Made == Options.Events;
    if (isStopped)
      break;
    const std::string id = std::to_string(++generation->Made);
    isSent = sendPart(socket, "id: " + id + "\ndata: " + attemptId + "\n\n",
                      isUnframed);
  }
  const std::lock_guard guard(Lock);
  Generations.erase(attemptId);
  generation->HasEnded = true;
  // A run that was stopped closes its channel without its end.
  if (!isSent || generation->IsStopped || isUnframed) {
    boost::system::error_code ec;
    socket.shutdown(tcp::socket::shutdown_send, ec);
    return false;
  }
  boost::system::error_code ec;
  writeBytes(socket, "0\r\n\r\n", ec);
  return !ec;
}

/// Copies a run's memory to another worker. The last copy stops the run first.
bool Worker::move(const Request &request, tcp::socket &socket) {
  const Json call = Json::parse(request.body());
  const std::string attemptId = call.at("id").get<std::string>();
  const bool isLast = call.value("last", false);
  std::shared_ptr<Generation> generation;
  {
    const std::lock_guard guard(Lock);
    const auto it = Generations.find(attemptId);
    if (it != Generations.end() && it->second->Made > 0)
      generation = it->second;
    if (generation && isLast)
      generation->IsStopped = true;
  }
  if (!generation)
    return respond(socket, makeResponse(http::status::not_found, "{}"));
  const double tokens =
      generation->PromptTokens + TokensPerEvent * generation->Made;
  const double ms = tokens * BytesPerToken * 8 / LinkMbps / 1'000;
  std::this_thread::sleep_for(milliseconds(static_cast<int>(isLast ? 60 : ms)));
  if (Options.LosesMove && Options.LosesMove(attemptId, isLast)) {
    const linger noLinger{1, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &noLinger,
                 sizeof(noLinger));
    return false;
  }
  const Json answer{{"handle", Options.Copies->add(attemptId)},
                    {"made", generation->Made.load()}};
  return respond(socket, makeResponse(http::status::ok, answer.dump()));
}

void Worker::drain() {
  IsDraining = true;
  constexpr int Sequence = 1'000;
  Entries.put("servers/" + Options.Id, entry(Sequence));
}

} // namespace drumlanding::review

#include "worker.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace drumlanding::review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds RenewalInterval{1'200};
/// The platform removes an entry after this many missed renewals.
constexpr int MissedRenewals = 3;
constexpr const char *AttemptHeader = "X-Attempt-Id";
constexpr const char *StampHeader = "X-Served-Stamp";

void writeBytes(tcp::socket &socket, const std::string &bytes,
                boost::system::error_code &ec) {
  asio::write(socket, asio::buffer(bytes), ec);
}

} // namespace

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
    Response health = makeResponse(http::status::ok, "");
    health.set("X-Instance-Id", Options.Id);
    return respond(socket, health);
  }
  if (path == "/drumlanding/report" && Options.IsEngine) {
    const Json report{{"stage", "dual"},
                      {"busy", false},
                      {"seq", 1},
                      {"waiting", 0},
                      {"running", Running + 0},
                      {"kvUsed", 0},
                      {"kvTotal", 34'459},
                      {"handles", 0}};
    return respond(socket, makeResponse(http::status::ok, report.dump()));
  }
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
    isSent = stream(socket, attemptId);
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

bool Worker::stream(tcp::socket &socket, const std::string &attemptId) {
  boost::system::error_code ec;
  writeBytes(socket,
             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\nX-Attempt-Id: " +
                 attemptId + "\r\nX-Served-Stamp: stamp." + Options.Id +
                 "\r\n\r\n",
             ec);
  for (int i = 1; i <= Options.Events && !ec; ++i) {
    std::this_thread::sleep_for(milliseconds(Options.EventGapMs));
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + attemptId + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    writeBytes(socket, size + event + "\r\n", ec);
  }
  if (!ec)
    writeBytes(socket, "0\r\n\r\n", ec);
  return !ec;
}

} // namespace drumlanding::review

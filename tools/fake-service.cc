// fake-service: a fake plain service, such as one that saves progress. It
// counts how often each call runs, by the "id" in the request body.
#include "tool-support.h"

#include <gflags/gflags.h>
#include <map>

DEFINE_string(listen, "127.0.0.1:7200", "[network] IP:port");
DEFINE_int32(work_ms, 5, "[service] duration of a call");

namespace {

using namespace drumlanding;
using namespace drumlanding::tools;

constexpr std::string_view Flags[] = {"listen", "work_ms"};

class Service {
public:
  asio::awaitable<void> handle(http::Request request, http::Exchange &x) {
    if (request.path() == "/healthz") {
      co_await x.send(emptyResponse(200));
      co_return;
    }
    if (request.path() == "/v1/test/runs") {
      co_await x.send(jsonResponse(200, Json(RunCounts)));
      co_return;
    }
    const Json body = Json::parse(request.Body, nullptr, false);
    const std::string id =
        body.is_object() && body.contains("id") && body["id"].is_string()
            ? body["id"].get<std::string>()
            : "";
    const int run = ++RunCounts[id];
    co_await sleepFor(base::milliseconds(FLAGS_work_ms));
    const Json answer{
        {"id", id}, {"run", run}, {"path", std::string(request.path())}};
    co_await x.send(jsonResponse(200, answer));
  }

private:
  std::map<std::string, int> RunCounts;
};

} // namespace

int main(int argc, char **argv) {
  readToolFlags(argc, argv, "fake-service: a fake plain service", Flags);
  asio::io_context io(1);
  Service service;
  return serveUntilStopped(io, FLAGS_listen,
                           [&](http::Request request, http::Exchange &x) {
                             return service.handle(std::move(request), x);
                           });
}

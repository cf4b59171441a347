#include "drumlanding/platform/client.h"

#include "drumlanding/http/http.h"

#include <nlohmann/json.hpp>

namespace drumlanding::platform {
namespace {

using base::Error;
using base::ErrorCode;
using base::milliseconds;
using base::Result;
using Json = nlohmann::json;

constexpr milliseconds CallLimit{2'000};
constexpr int Found = 200;
constexpr int NotFound = 404;
constexpr int Conflict = 409;

std::string pathOf(std::string_view key) {
  return "/v1/kv/" + std::string(key);
}

/// Turns anything but the expected statuses into an error.
Result<http::Response> checked(http::Fetched fetched,
                               std::initializer_list<int> expected) {
  if (!ok(fetched.Answer)) {
    Error e = error(fetched.Answer);
    // What was sent may have taken effect.
    if (fetched.Reached)
      e.Code = ErrorCode::TimedOut;
    return e;
  }
  http::Response &response = value(fetched.Answer);
  for (int status : expected)
    if (response.Status == status)
      return std::move(response);
  return Error{ErrorCode::Unavailable, "platform",
               "status " + std::to_string(response.Status)};
}

Result<Entry> toEntry(const http::Response &response) {
  if (response.Status == NotFound)
    return Entry{};
  const Json json = Json::parse(response.Body, nullptr, false);
  if (!json.is_object() || !json.contains("revision") ||
      !json["revision"].is_number_unsigned() || !json.contains("value") ||
      !json["value"].is_string())
    return base::invalid("platform", "malformed answer");
  return Entry{json["revision"].get<std::uint64_t>(),
               json["value"].get<std::string>()};
}

} // namespace

void Client::counted(std::string_view call) const {
  if (OnCall)
    OnCall(call);
}

asio::awaitable<Result<Entry>> Client::read(std::string_view key) const {
  counted("read");
  http::Request request{"GET", pathOf(key), {}, {}};
  http::Fetched fetched =
      co_await http::fetch(Service, std::move(request), CallLimit);
  auto answer = checked(std::move(fetched), {Found, NotFound});
  if (!ok(answer))
    co_return error(answer);
  co_return toEntry(value(answer));
}

asio::awaitable<Result<Entry>> Client::watch(std::string_view key,
                                             std::uint64_t after,
                                             milliseconds wait) const {
  counted("watch");
  http::Request request{"GET",
                        pathOf(key) + "?after=" + std::to_string(after) +
                            "&wait_ms=" + std::to_string(wait.count()),
                        {},
                        {}};
  http::Fetched fetched =
      co_await http::fetch(Service, std::move(request), wait + CallLimit);
  auto answer = checked(std::move(fetched), {Found, NotFound});
  if (!ok(answer))
    co_return error(answer);
  co_return toEntry(value(answer));
}

asio::awaitable<Result<Swap>> Client::swap(std::string_view key,
                                           std::uint64_t expected,
                                           std::string text,
                                           std::string lease) const {
  counted("swap");
  std::string target = pathOf(key) + "?expect=" + std::to_string(expected);
  if (!lease.empty())
    target += "&lease=" + lease;
  http::Request request{"PUT", target, {}, std::move(text)};
  http::Fetched fetched =
      co_await http::fetch(Service, std::move(request), CallLimit);
  auto answer = checked(std::move(fetched), {Found, Conflict});
  if (!ok(answer))
    co_return error(answer);
  const auto entry = toEntry(value(answer));
  if (!ok(entry))
    co_return error(entry);
  co_return Swap{value(answer).Status == Found, value(entry)};
}

asio::awaitable<Result<std::string>>
Client::grantLease(milliseconds ttl) const {
  counted("lease");
  http::Request request{
      "POST", "/v1/leases?ttl_ms=" + std::to_string(ttl.count()), {}, {}};
  http::Fetched fetched =
      co_await http::fetch(Service, std::move(request), CallLimit);
  auto answer = checked(std::move(fetched), {Found});
  if (!ok(answer))
    co_return error(answer);
  const Json json = Json::parse(value(answer).Body, nullptr, false);
  if (!json.is_object() || !json.contains("lease") ||
      !json["lease"].is_string())
    co_return base::invalid("platform", "malformed answer");
  co_return json["lease"].get<std::string>();
}

asio::awaitable<Result<base::Done>>
Client::renewLease(std::string lease) const {
  counted("lease");
  http::Request request{"PUT", "/v1/leases/" + lease, {}, {}};
  http::Fetched fetched =
      co_await http::fetch(Service, std::move(request), CallLimit);
  auto answer = checked(std::move(fetched), {Found});
  if (!ok(answer))
    co_return error(answer);
  co_return base::Done{};
}

asio::awaitable<Result<std::vector<entry::ListedVm>>> Client::vms() const {
  counted("vms");
  http::Request request{"GET", "/v1/vms", {}, {}};
  http::Fetched fetched =
      co_await http::fetch(Service, std::move(request), CallLimit);
  auto answer = checked(std::move(fetched), {Found});
  if (!ok(answer))
    co_return error(answer);
  const Json json = Json::parse(value(answer).Body, nullptr, false);
  std::vector<entry::ListedVm> vms;
  try {
    for (const Json &vm : json.at("vms")) {
      const auto control =
          base::parseEndpoint("control", vm.at("control").get<std::string>());
      if (!ok(control))
        co_return error(control);
      vms.push_back({vm.at("name"), vm.at("role"), vm.at("service"),
                     vm.at("place"), base::value(control),
                     vm.at("state") == "leaving"});
    }
  } catch (const Json::exception &e) {
    co_return base::invalid("platform vms", e.what());
  }
  co_return vms;
}

} // namespace drumlanding::platform

#include "gateway-pool.h"

#include "drumlanding/daemon/sleep.h"
#include "drumlanding/http/http.h"

namespace drumlanding::soak {
namespace {

constexpr base::milliseconds ProbeInterval{300};
constexpr base::milliseconds ProbeTimeout{250};
/// A gateway is not ready after this many failed probes in a row.
constexpr int MaxFailedProbes = 2;
constexpr int StatusOk = 200;

} // namespace

asio::awaitable<void> GatewayPool::probeReadiness() {
  for (;;) {
    for (const auto &gateway : Members) {
      http::Request request{"GET", "/drumlanding/readyz", {}, {}};
      const http::FetchResult fetched = co_await http::fetch(
          gateway->Ready, std::move(request), ProbeTimeout);
      const bool isOk =
          ok(fetched.Outcome) && value(fetched.Outcome).Status == StatusOk;
      gateway->FailedProbes = isOk ? 0 : gateway->FailedProbes + 1;
      gateway->IsReady = gateway->FailedProbes < MaxFailedProbes;
    }
    co_await daemon::sleepFor(ProbeInterval);
  }
}

Gateway &GatewayPool::chooseReady(base::Random &random) const {
  std::vector<Gateway *> ready;
  for (const auto &gateway : Members)
    if (gateway->IsReady)
      ready.push_back(gateway.get());
  if (ready.empty())
    return *Members[random.below(Members.size())];
  return *ready[random.below(ready.size())];
}

} // namespace drumlanding::soak

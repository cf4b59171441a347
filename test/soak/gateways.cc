#include "gateways.h"

#include "drumlanding/daemon/sleep.h"
#include "drumlanding/http/http.h"

namespace drumlanding::soak {
namespace {

constexpr base::milliseconds AskEvery{300};
constexpr base::milliseconds AnswerLimit{250};
/// As many misses take a gateway out.
constexpr int MostMisses = 2;
constexpr int Fine = 200;

} // namespace

asio::awaitable<void> Gateways::watchReadiness() {
  for (;;) {
    for (const auto &gateway : All) {
      http::Request request{"GET", "/drumlanding/readyz", {}, {}};
      const http::FetchResult fetched =
          co_await http::fetch(gateway->Ready, std::move(request), AnswerLimit);
      const bool isFine =
          ok(fetched.Outcome) && value(fetched.Outcome).Status == Fine;
      gateway->Misses = isFine ? 0 : gateway->Misses + 1;
      gateway->IsReady = gateway->Misses < MostMisses;
    }
    co_await daemon::sleepFor(AskEvery);
  }
}

Gateway &Gateways::choose(base::Random &random) const {
  std::vector<Gateway *> ready;
  for (const auto &gateway : All)
    if (gateway->IsReady)
      ready.push_back(gateway.get());
  if (ready.empty())
    return *All[random.below(All.size())];
  return *ready[random.below(ready.size())];
}

} // namespace drumlanding::soak

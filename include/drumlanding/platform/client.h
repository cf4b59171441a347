/// Platform client: the key-value service with compare-and-swap, leases and
/// watches, and the list of VMs, over their published HTTP interface.
///
///   Client client(endpoint);
///   Result<Entry> e = co_await client.read("bundle");
///   Result<Swap> s = co_await client.swap("bundle", value(e).Revision, text);
///
/// A swap that ends with TimedOut may have taken effect: read to find out.
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/result.h"
#include "drumlanding/base/settings.h"
#include "drumlanding/entry/core.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::platform {

namespace asio = boost::asio;

/// The keys that the system uses.
inline constexpr std::string_view BundleKey = "bundle";
inline constexpr std::string_view PlanKey = "plan";
inline constexpr std::string_view PlanLeaseKey = "plan-lease";

/// A key's value; revision 0 when the key is not there.
struct Entry {
  std::uint64_t Revision = 0;
  std::string Value;
};

/// What became of a compare-and-swap.
struct Swap {
  bool Swapped = false;
  /// The entry as it is now; the other's value when it was not swapped.
  Entry Current;
};

class Client {
public:
  explicit Client(base::Endpoint service) : Service(std::move(service)) {}

  asio::awaitable<base::Result<Entry>> read(std::string_view key) const;

  /// Waits until the key's revision is above `after`; gives the present entry
  /// when nothing happens for `wait`.
  asio::awaitable<base::Result<Entry>> watch(std::string_view key,
                                             std::uint64_t after,
                                             base::milliseconds wait) const;

  /// Writes when the key's revision is `expected` (0: not there). With a
  /// lease the key goes when the lease lapses.
  asio::awaitable<base::Result<Swap>> swap(std::string_view key,
                                           std::uint64_t expected,
                                           std::string value,
                                           std::string lease = {}) const;

  asio::awaitable<base::Result<std::string>>
  grantLease(base::milliseconds ttl) const;
  asio::awaitable<base::Result<base::Done>> renewLease(std::string lease) const;

  asio::awaitable<base::Result<std::vector<entry::ListedVm>>> vms() const;

  /// Counts each call, by name, for the metrics.
  std::function<void(std::string_view call)> OnCall;

private:
  void counted(std::string_view call) const;

  base::Endpoint Service;
};

} // namespace drumlanding::platform

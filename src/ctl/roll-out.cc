#include "roll-out.h"

#include "drumlanding/wire/link.h"
#include "platform/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <future>
#include <map>
#include <nlohmann/json.hpp>

namespace drumlanding::ctl {
namespace {

namespace asio = platform::asio;
using base::Error;
using base::ErrorCode;
using base::Result;
using Json = nlohmann::json;

constexpr base::milliseconds CallTimeout{2'000};
constexpr std::size_t ShownKeyDigits = 8;

/// Runs a coroutine to completion and returns its result.
template <typename T> T runBlocking(asio::awaitable<T> work) {
  asio::io_context io;
  std::future<T> future = asio::co_spawn(io, std::move(work), asio::use_future);
  io.run();
  return future.get();
}

std::string authorOf(const bundle::SignedBundle &b) {
  return base::toHex(b.Author.Key).substr(0, ShownKeyDigits);
}

/// Prints the author of the stored bundle and its differences from the proposed
/// one; returns the exit code.
int reportConflict(const std::string &storedBundle,
                   const std::string &proposedBundle) {
  const auto current = bundle::parseSignedBundle(storedBundle);
  const auto proposed = bundle::parseSignedBundle(proposedBundle);
  if (!ok(current) || !ok(proposed))
    return reportError(ok(current) ? error(proposed) : error(current));
  const auto parsed = bundle::parseBundle(value(current).Document);
  const unsigned long long version = ok(parsed) ? value(parsed).Version : 0;
  std::fprintf(stderr,
               "not rolled out: version %llu by author %s is in force\n",
               version, authorOf(value(current)).c_str());
  const auto lines =
      bundle::diffBundles(value(current).Document, value(proposed).Document);
  if (ok(lines))
    for (const std::string &line : value(lines))
      std::fprintf(stderr, "  in force -> yours: %s\n", line.c_str());
  return ExitFailure;
}

asio::awaitable<int> rollOutText(platform::Client client, std::string text,
                                 std::uint64_t version) {
  const auto stored = co_await client.read(platform::BundleKey);
  if (!ok(stored))
    co_return reportError(error(stored));
  if (value(stored).Value == text) {
    std::printf("version %llu is already in force\n",
                static_cast<unsigned long long>(version));
    co_return ExitSuccess;
  }
  if (value(stored).Revision != 0) {
    const auto currentSigned = bundle::parseSignedBundle(value(stored).Value);
    const auto currentBundle =
        ok(currentSigned) ? bundle::parseBundle(value(currentSigned).Document)
                          : Result<bundle::Bundle>(error(currentSigned));
    if (ok(currentBundle) && value(currentBundle).Version >= version)
      co_return reportConflict(value(stored).Value, text);
  }
  const auto swap = co_await client.compareAndSwap(
      platform::BundleKey, value(stored).Revision, text);
  if (ok(swap) && value(swap).Swapped) {
    std::printf("version %llu is accepted\n",
                static_cast<unsigned long long>(version));
    co_return ExitSuccess;
  }
  if (ok(swap))
    co_return reportConflict(value(swap).Current.Value, text);
  // The response was lost: the stored value shows whether the swap succeeded.
  const auto reread = co_await client.read(platform::BundleKey);
  if (!ok(reread)) {
    std::fprintf(stderr,
                 "may be accepted: the platform does not respond (%s); run "
                 "the same command again\n",
                 describe(error(reread)).c_str());
    co_return ExitFailure;
  }
  if (value(reread).Value != text)
    co_return reportConflict(value(reread).Value, text);
  std::printf("version %llu is accepted (the response was lost)\n",
              static_cast<unsigned long long>(version));
  co_return ExitSuccess;
}

/// The versions that one process reports.
struct ProcessStatus {
  entry::ListedVm Vm;
  bool IsReachable = false;
  wire::Versions Versions;
};

std::vector<ProcessStatus> queryAll(const std::vector<entry::ListedVm> &vms,
                                    const wire::ControlKey &key) {
  const auto counters = std::make_shared<wire::LinkCounters>();
  std::vector<std::unique_ptr<wire::Client>> clients;
  std::vector<std::future<Result<wire::Reply>>> replies;
  for (const entry::ListedVm &vm : vms) {
    auto promise = std::make_shared<std::promise<Result<wire::Reply>>>();
    replies.push_back(promise->get_future());
    auto client = wire::Client::dial(vm.Control, key, counters);
    if (!ok(client)) {
      promise->set_value(error(client));
      continue;
    }
    wire::Request request;
    request.set_sender("drumlandingctl");
    request.mutable_sync()->set_listed_leaving(vm.IsLeaving);
    value(client)->call(request, CallTimeout, [promise](Result<wire::Reply> r) {
      promise->set_value(std::move(r));
    });
    clients.push_back(std::move(value(client)));
  }
  std::vector<ProcessStatus> all;
  for (std::size_t i = 0; i < vms.size(); ++i) {
    const auto reply = replies[i].get();
    all.push_back({vms[i], ok(reply),
                   ok(reply) ? value(reply).versions() : wire::Versions()});
  }
  return all;
}

std::string formatTime(std::int64_t ms) {
  const std::time_t seconds = ms / 1'000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds));
}

/// The state of one place.
struct PlaceStatus {
  std::uint64_t Version = 0;
  std::int64_t SinceMs = 0;
  int Processes = 0;
  std::vector<std::string> Lagging;
};

std::map<std::string, PlaceStatus>
groupByPlace(const std::vector<ProcessStatus> &all, std::uint64_t accepted) {
  std::map<std::string, PlaceStatus> places;
  for (const ProcessStatus &p : all) {
    PlaceStatus &place = places[p.Vm.Place];
    ++place.Processes;
    place.Version = std::max(place.Version, p.Versions.bundle());
    place.SinceMs = std::max(place.SinceMs, p.Versions.bundle_since_ms());
    if (!p.IsReachable)
      place.Lagging.push_back(p.Vm.Name + " (no answer)");
    else if (p.Versions.bundle() < accepted)
      place.Lagging.push_back(
          fmt::format("{} (version {})", p.Vm.Name, p.Versions.bundle()));
  }
  return places;
}

void print(const std::map<std::string, PlaceStatus> &places,
           std::uint64_t accepted, bool asJson) {
  if (asJson) {
    Json json{{"acceptedVersion", accepted}, {"places", Json::object()}};
    for (const auto &[name, p] : places)
      json["places"][name] = {{"version", p.Version},
                              {"since", formatTime(p.SinceMs)},
                              {"processes", p.Processes},
                              {"lagging", p.Lagging}};
    std::printf("%s\n", json.dump(2).c_str());
    return;
  }
  std::printf("accepted: version %llu\n",
              static_cast<unsigned long long>(accepted));
  for (const auto &[name, p] : places) {
    std::printf("%-16s version %llu since %s, %d processes, %zu lagging\n",
                name.c_str(), static_cast<unsigned long long>(p.Version),
                formatTime(p.SinceMs).c_str(), p.Processes, p.Lagging.size());
    for (const std::string &line : p.Lagging)
      std::printf("  lags: %s\n", line.c_str());
  }
}

} // namespace

int rollOut(Arguments args, const base::Endpoint &platform) {
  if (args.size() != 1)
    return reportError(
        base::invalid("bundle roll-out", "expected one argument, FILE"),
        ExitUsage);
  const auto read = readBundleFile(args[0]);
  if (!ok(read))
    return reportError(error(read));
  const bundle::SignedBundle &signedBundle = value(read);
  if (signedBundle.Author.Key.empty() || signedBundle.Approver.Key.empty())
    return reportError(base::invalid(args[0],
                                     "expected the signatures of an author "
                                     "and of an approver"));
  // The daemons decide which keys they trust. This check only rejects invalid
  // signatures before a roll-out that the daemons would refuse.
  const auto verified = bundle::verify(
      signedBundle, {{signedBundle.Author.Key}, {signedBundle.Approver.Key}});
  if (!ok(verified))
    return reportError(error(verified));
  return runBlocking(rollOutText(platform::Client(platform),
                                 bundle::serialise(signedBundle),
                                 value(verified).Version));
}

int status(const base::Endpoint &platform, const std::string &controlKey,
           bool asJson) {
  constexpr std::size_t KeyBytes = 32;
  const auto key = base::parseHex("--control_key", controlKey, KeyBytes);
  if (!ok(key))
    return reportError(error(key), ExitUsage);
  const platform::Client client(platform);
  const auto vms = runBlocking(client.listVms());
  if (!ok(vms))
    return reportError(error(vms));
  const auto stored = runBlocking(client.read(platform::BundleKey));
  std::uint64_t accepted = 0;
  if (ok(stored) && value(stored).Revision != 0) {
    const auto current = bundle::parseSignedBundle(value(stored).Value);
    if (ok(current))
      if (const auto b = bundle::parseBundle(value(current).Document); ok(b))
        accepted = value(b).Version;
  }
  const auto places =
      groupByPlace(queryAll(value(vms), {value(key)}), accepted);
  print(places, accepted, asJson);
  for (const auto &[name, p] : places)
    if (!p.Lagging.empty())
      return ExitFailure;
  return ExitSuccess;
}

} // namespace drumlanding::ctl

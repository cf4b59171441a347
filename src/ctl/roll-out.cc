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

constexpr base::milliseconds AskLimit{2'000};
constexpr std::size_t ShownKeyDigits = 8;

/// Runs one coroutine to its end.
template <typename T> T runToEnd(asio::awaitable<T> work) {
  asio::io_context io;
  std::future<T> future = asio::co_spawn(io, std::move(work), asio::use_future);
  io.run();
  return future.get();
}

std::string authorOf(const bundle::SignedBundle &b) {
  return base::toHex(b.Author.Key).substr(0, ShownKeyDigits);
}

/// Says who has written the bundle in force and what differs from ours.
int reportConflict(const std::string &theirs, const std::string &ours) {
  const auto inForce = bundle::parseSignedBundle(theirs);
  const auto wanted = bundle::parseSignedBundle(ours);
  if (!ok(inForce) || !ok(wanted))
    return fail(ok(inForce) ? error(wanted) : error(inForce));
  const auto parsed = bundle::parseBundle(value(inForce).Document);
  const unsigned long long version = ok(parsed) ? value(parsed).Version : 0;
  std::fprintf(stderr,
               "not rolled out: version %llu by author %s is in force\n",
               version, authorOf(value(inForce)).c_str());
  const auto lines =
      bundle::diffBundles(value(inForce).Document, value(wanted).Document);
  if (ok(lines))
    for (const std::string &line : value(lines))
      std::fprintf(stderr, "  in force -> yours: %s\n", line.c_str());
  return ExitRefused;
}

asio::awaitable<int> rollOutText(platform::Client client, std::string text,
                                 std::uint64_t version) {
  const auto held = co_await client.read(platform::BundleKey);
  if (!ok(held))
    co_return fail(error(held));
  if (value(held).Value == text) {
    std::printf("version %llu is in force already\n",
                static_cast<unsigned long long>(version));
    co_return ExitDone;
  }
  if (value(held).Revision != 0) {
    const auto signedNow = bundle::parseSignedBundle(value(held).Value);
    const auto now = ok(signedNow)
                         ? bundle::parseBundle(value(signedNow).Document)
                         : Result<bundle::Bundle>(error(signedNow));
    if (ok(now) && value(now).Version >= version)
      co_return reportConflict(value(held).Value, text);
  }
  const auto swap =
      co_await client.swap(platform::BundleKey, value(held).Revision, text);
  if (ok(swap) && value(swap).Swapped) {
    std::printf("version %llu is accepted\n",
                static_cast<unsigned long long>(version));
    co_return ExitDone;
  }
  if (ok(swap))
    co_return reportConflict(value(swap).Current.Value, text);
  // The answer was lost: the value itself tells whether the swap was ours.
  const auto again = co_await client.read(platform::BundleKey);
  if (!ok(again)) {
    std::fprintf(stderr,
                 "may be accepted: the platform does not answer (%s); run "
                 "the same command again\n",
                 describe(error(again)).c_str());
    co_return ExitRefused;
  }
  if (value(again).Value != text)
    co_return reportConflict(value(again).Value, text);
  std::printf("version %llu is accepted (the answer was lost)\n",
              static_cast<unsigned long long>(version));
  co_return ExitDone;
}

/// What one process says of itself.
struct ProcessStatus {
  entry::ListedVm Vm;
  bool Answers = false;
  wire::Versions Versions;
};

std::vector<ProcessStatus> askAll(const std::vector<entry::ListedVm> &vms,
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
    value(client)->call(request, AskLimit, [promise](Result<wire::Reply> r) {
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

std::string timeText(std::int64_t ms) {
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
byPlace(const std::vector<ProcessStatus> &all, std::uint64_t accepted) {
  std::map<std::string, PlaceStatus> places;
  for (const ProcessStatus &p : all) {
    PlaceStatus &place = places[p.Vm.Place];
    ++place.Processes;
    place.Version = std::max(place.Version, p.Versions.bundle());
    place.SinceMs = std::max(place.SinceMs, p.Versions.bundle_since_ms());
    if (!p.Answers)
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
                              {"since", timeText(p.SinceMs)},
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
                timeText(p.SinceMs).c_str(), p.Processes, p.Lagging.size());
    for (const std::string &line : p.Lagging)
      std::printf("  lags: %s\n", line.c_str());
  }
}

} // namespace

int rollOut(Words words, const base::Endpoint &platform) {
  if (words.size() != 1)
    return fail(base::invalid("bundle roll-out", "one FILE is expected"),
                ExitWrongCall);
  const auto read = readBundleFile(words[0]);
  if (!ok(read))
    return fail(error(read));
  const bundle::SignedBundle &signedBundle = value(read);
  if (signedBundle.Author.Key.empty() || signedBundle.Approver.Key.empty())
    return fail(base::invalid(words[0], "needs the signatures of an author "
                                        "and of an approver"));
  // The daemons decide whom they trust; this saves a roll-out in vain.
  const auto verified = bundle::verify(
      signedBundle, {{signedBundle.Author.Key}, {signedBundle.Approver.Key}});
  if (!ok(verified))
    return fail(error(verified));
  return runToEnd(rollOutText(platform::Client(platform),
                              bundle::serialise(signedBundle),
                              value(verified).Version));
}

int status(const base::Endpoint &platform, const std::string &controlKey,
           bool asJson) {
  constexpr std::size_t KeyBytes = 32;
  const auto key = base::parseHex("--control_key", controlKey, KeyBytes);
  if (!ok(key))
    return fail(error(key), ExitWrongCall);
  const platform::Client client(platform);
  const auto vms = runToEnd(client.vms());
  if (!ok(vms))
    return fail(error(vms));
  const auto held = runToEnd(client.read(platform::BundleKey));
  std::uint64_t accepted = 0;
  if (ok(held) && value(held).Revision != 0) {
    const auto inForce = bundle::parseSignedBundle(value(held).Value);
    if (ok(inForce))
      if (const auto b = bundle::parseBundle(value(inForce).Document); ok(b))
        accepted = value(b).Version;
  }
  const auto places = byPlace(askAll(value(vms), {value(key)}), accepted);
  print(places, accepted, asJson);
  for (const auto &[name, p] : places)
    if (!p.Lagging.empty())
      return ExitRefused;
  return ExitDone;
}

} // namespace drumlanding::ctl

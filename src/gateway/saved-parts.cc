#include "saved-parts.h"

#include "gateway-metrics.h"
#include "gossip-messages.h"

#include "drumlanding/daemon/sleep.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;

/// Delay after a failed read: a part that is not restored ends servers again.
constexpr milliseconds ReadRetryInterval{300};
constexpr milliseconds SaveInterval{1'000};
/// No longer than the store's leases last.
constexpr milliseconds Lifetime = Quarantine::EvidenceRetention;

class SavedParts {
public:
  explicit SavedParts(GatewayContext &ctx) : Ctx(ctx) {}

  asio::awaitable<void> restore();
  asio::awaitable<void> save();

private:
  struct Entry {
    std::uint64_t Revision = 0;
    /// False once it marks the part as released.
    bool IsBlamed = false;
  };

  std::string encode(const SuspectReport &report) const;
  void apply(const SavedPart &part);
  asio::awaitable<void> write(std::string name, std::string value);
  /// Returns whether a call has succeeded. Logs when that changes.
  bool recordCall(const base::Error *error);

  GatewayContext &Ctx;
  /// The entries known to be in the store, by name.
  std::map<std::string, Entry> Saved;
  bool HasFailed = false;
};

bool SavedParts::recordCall(const base::Error *error) {
  countStoreCall(Ctx.Metrics, "parts", error == nullptr);
  const bool hasFailed = error != nullptr;
  if (hasFailed && !HasFailed)
    Ctx.Log.write("store-lost", {{"what", "parts"}, {"why", describe(*error)}});
  else if (!hasFailed && HasFailed)
    Ctx.Log.write("store-regained", {{"what", "parts"}});
  HasFailed = hasFailed;
  return !hasFailed;
}

std::string SavedParts::encode(const SuspectReport &report) const {
  wire::SavedPart saved;
  *saved.mutable_evidence() = toWire(report);
  saved.set_saved_at_ms(static_cast<std::uint64_t>(
      Ctx.Clock.now().Wall.time_since_epoch().count()));
  return saved.SerializeAsString();
}

/// Applies an entry. Its evidence has aged since it was saved.
void SavedParts::apply(const SavedPart &part) {
  wire::SavedPart saved;
  const bool isParsed = saved.ParseFromString(part.Value);
  auto report = isParsed ? fromWire(saved.evidence()) : std::nullopt;
  if (!report) {
    Ctx.Log.write("part-rejected", {{"name", part.Name}});
    return;
  }
  const auto now = Ctx.Clock.now();
  const milliseconds since =
      now.Wall.time_since_epoch() - milliseconds(saved.saved_at_ms());
  // The clocks of VMs may differ.
  const milliseconds age = std::clamp(since, milliseconds(0), Lifetime);
  for (EndReport &end : report->Ends)
    end.Age += age;
  if (report->ClearedAge)
    *report->ClearedAge += age;
  Ctx.SuspectParts.applyReport(now.Steady, "store", *report);
  Ctx.Log.write("part-restored",
                {{"fingerprint", toString(report->Fingerprint)},
                 {"organisation", report->Organisation},
                 {"part", report->Part},
                 {"age_ms", age.count()}});
}

asio::awaitable<void> SavedParts::restore() {
  for (;;) {
    const auto parts = co_await Ctx.Store.Parts.Read();
    if (recordCall(ok(parts) ? nullptr : &error(parts))) {
      for (const SavedPart &part : value(parts)) {
        Saved[part.Name] = {part.Revision, !part.Value.empty()};
        if (!part.Value.empty())
          apply(part);
      }
      Ctx.SuspectParts.update(Ctx.now());
      co_return;
    }
    co_await daemon::sleepFor(ReadRetryInterval);
  }
}

/// Writes an entry; an empty value marks the part as released. Another gateway
/// may have written it meanwhile.
asio::awaitable<void> SavedParts::write(std::string name, std::string value) {
  SavedPart part{name, std::move(value), Saved[name].Revision};
  const auto stored = co_await Ctx.Store.Parts.Write(std::move(part), Lifetime);
  if (!recordCall(ok(stored) ? nullptr : &error(stored)))
    co_return;
  const SavedPart &current = base::value(stored);
  Saved[name] = {current.Revision, !current.Value.empty()};
}

asio::awaitable<void> SavedParts::save() {
  for (const SuspectReport &report :
       Ctx.SuspectParts.blamedReports(Ctx.now())) {
    const std::string name = toString(report.Fingerprint);
    if (!Saved[name].IsBlamed)
      co_await write(name, encode(report));
  }
  std::vector<std::string> released;
  for (const auto &[name, entry] : Saved) {
    const auto part = parseFingerprint(name);
    if (entry.IsBlamed && part && !Ctx.SuspectParts.isBlamedAnywhere(*part))
      released.push_back(name);
  }
  for (const std::string &name : released)
    co_await write(name, "");
}

} // namespace

asio::awaitable<void> keepSavedParts(GatewayContext &ctx) {
  if (!ctx.Store.Parts.Read)
    co_return;
  SavedParts parts(ctx);
  co_await parts.restore();
  for (;;) {
    co_await daemon::sleepFor(SaveInterval);
    if (ctx.WatchesList)
      co_await parts.save();
  }
}

} // namespace drumlanding::gateway

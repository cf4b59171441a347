#include "drumlanding/gateway/request-limits.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// Unused requests accumulate for this long, since limits are given in requests
/// per second.
constexpr std::chrono::duration<double> BurstTime(1);
/// Requests beyond the limit are made up for, up to this many or up to what the
/// server takes in this time.
constexpr double MaxDebtRequests = 20;
constexpr std::chrono::duration<double> MaxDebtTime(4);
/// A server that names a lower rate is still asked this often, or the end of
/// its limit would never be seen.
constexpr double MinRequestsPerSecond = 1.0 / 60;
/// Time for which the end of a limit is remembered, longer than any report of
/// the limit is on its way.
constexpr base::seconds EndedLimitRetention{30};
/// Lower bound of the available share, which is divided by.
constexpr double MinShare = 1e-4;

double toSeconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

/// Returns true if both start times are known and differ.
bool isOtherInstance(const ServerInstance &a, const ServerInstance &b) {
  constexpr base::milliseconds Unknown{0};
  return a.StartedAt != b.StartedAt && a.StartedAt != Unknown &&
         b.StartedAt != Unknown;
}

double capacity(double rate) { return std::max(1.0, rate * BurstTime.count()); }

} // namespace

double RequestLimits::availableShare(base::Instant now) const {
  return AvailableShare ? std::clamp(AvailableShare(now), MinShare, 1.0) : 1.0;
}

RequestLimits::Limit &RequestLimits::findOrAdd(base::Instant now,
                                               const ServerInstance &server) {
  const auto [it, isNew] = Limits.try_emplace(server.Id);
  Limit &limit = it->second;
  if (isNew || isOtherInstance(limit.Server, server)) {
    limit = Limit();
    limit.Server = server;
    limit.FilledAt = now;
    limit.Share = availableShare(now);
  }
  return limit;
}

RequestLimits::Limit *RequestLimits::findActive(std::string_view id) {
  const auto it = Limits.find(id);
  if (it == Limits.end() || !it->second.RequestsPerSecond)
    return nullptr;
  return &it->second;
}

void RequestLimits::fill(base::Instant now, Limit &limit) const {
  const double share = availableShare(now);
  // Other gateways may spend the same tokens from now on. Each keeps its share
  // of them, less a part that differs between gateways: they would otherwise
  // all send their next request at the same time.
  if (share < limit.Share) {
    const double kept = share / limit.Share;
    limit.Tokens *= limit.Tokens > 0 ? kept : 1;
    limit.Tokens -= Phase * (1 - kept);
  }
  limit.Share = share;
  const double rate = *limit.RequestsPerSecond * share;
  limit.Tokens = std::min(limit.Tokens + rate * toSeconds(now - limit.FilledAt),
                          capacity(rate));
  limit.FilledAt = now;
}

void RequestLimits::take(base::Instant now, Limit &limit, double count) const {
  fill(now, limit);
  const double maxDebt =
      std::max(MaxDebtRequests, *limit.RequestsPerSecond * MaxDebtTime.count());
  limit.Tokens = std::max(limit.Tokens - count, -maxDebt);
}

void RequestLimits::setRate(base::Instant now, Limit &limit,
                            std::optional<double> rate,
                            std::string_view source) {
  if (rate)
    rate = std::max(*rate, MinRequestsPerSecond);
  if (limit.RequestsPerSecond)
    fill(now, limit);
  const bool isChanged = limit.RequestsPerSecond != rate;
  if (!limit.RequestsPerSecond && rate) {
    // A server that has just named a limit is overloaded already.
    limit.Tokens = 0;
    limit.FilledAt = now;
    limit.Share = availableShare(now);
  }
  limit.RequestsPerSecond = rate;
  if (!isChanged)
    return;
  limit.IsChanged = true;
  if (OnChange)
    OnChange(report(now, limit), source);
}

void RequestLimits::recordResponse(base::Instant now,
                                   const LimitObservation &seen) {
  const auto it = Limits.find(seen.Server.Id);
  if (!seen.RequestsPerSecond) {
    // A request sent before the limit was named says nothing about its end.
    if (it == Limits.end() || isOtherInstance(it->second.Server, seen.Server) ||
        seen.SentAt < it->second.ObservedAt)
      return;
  }
  Limit &limit = findOrAdd(now, seen.Server);
  limit.ObservedAt = now;
  setRate(now, limit, seen.RequestsPerSecond, "server");
}

bool RequestLimits::recordSend(base::Instant now, std::string_view id) {
  Limit *limit = findActive(id);
  if (!limit)
    return false;
  take(now, *limit, 1);
  ++limit->OwnSends;
  limit->IsChanged = true;
  return true;
}

bool RequestLimits::hasRoom(base::Instant now, std::string_view id) {
  return timeUntilRoom(now, id) == base::Duration(0);
}

base::Duration RequestLimits::timeUntilRoom(base::Instant now,
                                            std::string_view id) {
  Limit *limit = findActive(id);
  if (!limit)
    return base::Duration(0);
  fill(now, *limit);
  if (limit->Tokens >= 1)
    return base::Duration(0);
  const std::chrono::duration<double> wait(
      (1 - limit->Tokens) / (*limit->RequestsPerSecond * limit->Share));
  return std::chrono::ceil<base::Duration>(wait);
}

LimitReport RequestLimits::report(base::Instant now, const Limit &limit) const {
  return {limit.Server, limit.RequestsPerSecond, now - limit.ObservedAt,
          limit.OwnSends};
}

std::vector<LimitReport> RequestLimits::reports(base::Instant now) const {
  std::vector<LimitReport> all;
  for (const auto &[id, limit] : Limits)
    all.push_back(report(now, limit));
  return all;
}

std::vector<LimitReport> RequestLimits::takeChangedReports(base::Instant now) {
  std::vector<LimitReport> reports;
  for (auto &[id, limit] : Limits) {
    if (!limit.IsChanged)
      continue;
    reports.push_back(report(now, limit));
    limit.IsChanged = false;
  }
  return reports;
}

void RequestLimits::applyReport(base::Instant now, const GatewayInstance &from,
                                const LimitReport &seen) {
  const auto it = Limits.find(seen.Server.Id);
  // A report on an earlier instance of the server.
  if (it != Limits.end() && seen.Server.StartedAt < it->second.Server.StartedAt)
    return;
  Limit &limit = findOrAdd(now, seen.Server);
  if (now - seen.Age > limit.ObservedAt) {
    limit.ObservedAt = now - seen.Age;
    setRate(now, limit, seen.RequestsPerSecond, from.Address);
  }
  const auto [sends, isNew] = limit.SendsByPeer.try_emplace(from.Address);
  PeerSends &known = sends->second;
  if (!isNew && known.Incarnation == from.Incarnation &&
      seen.Sends <= known.Sends) {
    known.HeardAt = now;
    return;
  }
  // What a gateway sent before it was first heard is not recent.
  std::uint64_t before = isNew ? seen.Sends : 0;
  if (known.Incarnation == from.Incarnation)
    before = known.Sends;
  const double silence = toSeconds(now - known.HeardAt);
  known = {from.Incarnation, seen.Sends, now};
  if (!limit.RequestsPerSecond)
    return;
  // After a freeze or a partition, most of the requests were sent long ago.
  const double recent = std::min(1.0, BurstTime.count() / silence);
  take(now, limit, static_cast<double>(seen.Sends - before) * recent);
}

void RequestLimits::evict(
    base::Instant now,
    const std::function<bool(std::string_view id)> &isKnown) {
  std::erase_if(Limits, [&](const auto &entry) {
    const Limit &limit = entry.second;
    const bool hasEnded = !limit.RequestsPerSecond &&
                          now - limit.ObservedAt > EndedLimitRetention;
    return hasEnded || !isKnown(entry.first);
  });
}

} // namespace drumlanding::gateway

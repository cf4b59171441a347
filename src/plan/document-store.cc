#include "drumlanding/plan/document-store.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/base/invariant.h"
#include "drumlanding/bundle/bundle-delta.h"

#include <algorithm>

namespace drumlanding::plan {
namespace {

/// Number of bundle versions kept as bases of deltas. At 0.13 changes per
/// second a peer that missed a minute of changes still gets a delta.
constexpr std::size_t MaxHistory = 8;

void setReason(std::string *why, const base::Error &e) {
  if (why)
    *why = base::describe(e);
}

} // namespace

DocumentStore::DocumentStore(bundle::TrustedKeys trusted)
    : Trusted(std::move(trusted)) {}

const std::string &DocumentStore::body(wire::DocumentKind kind) const {
  return kind == wire::BUNDLE ? BundleBody : PlanBody;
}

OfferResult DocumentStore::offer(base::WallTime now, wire::DocumentKind kind,
                                 std::string_view body, std::string *why) {
  if (body == this->body(kind) && !body.empty())
    return OfferResult::Known;
  if (kind == wire::PLAN) {
    auto plan = parsePlan(body);
    if (!ok(plan)) {
      setReason(why, error(plan));
      return OfferResult::Invalid;
    }
    const std::uint64_t version = value(plan).Version;
    const OfferResult result = apply(now, kind, version, body);
    if (result == OfferResult::Taken)
      CurrentPlan = std::make_shared<Plan>(std::move(value(plan)));
    return result;
  }
  auto parsed = bundle::parseSignedBundle(body);
  if (!ok(parsed)) {
    setReason(why, error(parsed));
    return OfferResult::Invalid;
  }
  auto verified = bundle::verify(value(parsed), Trusted);
  if (!ok(verified)) {
    setReason(why, error(verified));
    return OfferResult::Invalid;
  }
  const std::uint64_t version = value(verified).Version;
  const OfferResult result = apply(now, kind, version, body);
  if (result == OfferResult::Taken)
    CurrentBundle =
        std::make_shared<bundle::Bundle>(std::move(value(verified)));
  return result;
}

wire::Document DocumentStore::pack(wire::DocumentKind kind,
                                   std::uint64_t base) const {
  wire::Document document;
  document.set_kind(kind);
  const std::string &full = body(kind);
  const auto past =
      std::find_if(History.begin(), History.end(),
                   [&](const PastBundle &p) { return p.Version == base; });
  if (kind == wire::BUNDLE && base != 0 && past != History.end()) {
    std::string delta = bundle::makeBundleDelta(past->Text, full);
    if (!delta.empty() && delta.size() < full.size() / 2) {
      document.set_body(std::move(delta));
      document.set_base_version(base);
      return document;
    }
  }
  document.set_body(full);
  return document;
}

OfferResult DocumentStore::offerPacked(base::WallTime now,
                                       const wire::Document &document,
                                       std::string *why) {
  if (document.base_version() == 0)
    return offer(now, document.kind(), document.body(), why);
  if (document.base_version() != Versions.bundle())
    return document.base_version() < Versions.bundle() ? OfferResult::Older
                                                       : OfferResult::Invalid;
  const auto full =
      bundle::applyBundleDelta(History.back().Text, document.body());
  if (!ok(full)) {
    setReason(why, error(full));
    return OfferResult::Invalid;
  }
  return offer(now, wire::BUNDLE, value(full), why);
}

OfferResult DocumentStore::apply(base::WallTime now, wire::DocumentKind kind,
                                 std::uint64_t version, std::string_view body) {
  const bool isBundle = kind == wire::BUNDLE;
  const std::uint64_t current = isBundle ? Versions.bundle() : Versions.plan();
  if (version <= current)
    return version == current ? OfferResult::Known : OfferResult::Older;
  base::invariant(base::Invariant::VersionNeverFalls, version > current,
                  toString(kind));
  const std::uint64_t digest = base::hash64(body);
  if (isBundle) {
    Versions.set_bundle(version);
    Versions.set_bundle_digest(digest);
    Versions.set_bundle_since_ms(now.time_since_epoch().count());
    BundleBody = body;
    History.push_back({version, BundleBody});
    if (History.size() > MaxHistory)
      History.pop_front();
  } else {
    Versions.set_plan(version);
    Versions.set_plan_digest(digest);
    PlanBody = body;
  }
  return OfferResult::Taken;
}

std::string_view toString(wire::DocumentKind kind) {
  return kind == wire::BUNDLE ? "bundle" : "plan";
}

std::string_view toString(OfferResult offer) {
  switch (offer) {
  case OfferResult::Taken:
    return "taken";
  case OfferResult::Known:
    return "known";
  case OfferResult::Older:
    return "older";
  case OfferResult::Invalid:
    return "invalid";
  }
  return "invalid";
}

} // namespace drumlanding::plan

#include "drumlanding/plan/document-store.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/base/invariant.h"
#include "drumlanding/bundle/difference.h"

#include <algorithm>

namespace drumlanding::plan {
namespace {

/// Versions kept to make differences from: at 0.13 changes a second a peer
/// that missed a minute's worth still gets a difference.
constexpr std::size_t KnownPast = 8;

void explain(std::string *why, const base::Error &e) {
  if (why)
    *why = base::describe(e);
}

} // namespace

DocumentStore::DocumentStore(bundle::TrustedKeys trusted)
    : Trusted(std::move(trusted)) {}

const std::string &DocumentStore::body(wire::DocumentKind kind) const {
  return kind == wire::BUNDLE ? BundleBody : PlanBody;
}

Offer DocumentStore::offer(base::WallTime now, wire::DocumentKind kind,
                           std::string_view body, std::string *why) {
  if (body == this->body(kind) && !body.empty())
    return Offer::Known;
  if (kind == wire::PLAN) {
    auto plan = parsePlan(body);
    if (!ok(plan)) {
      explain(why, error(plan));
      return Offer::Invalid;
    }
    const std::uint64_t version = value(plan).Version;
    const Offer result = take(now, kind, version, body);
    if (result == Offer::Taken)
      CurrentPlan = std::make_shared<Plan>(std::move(value(plan)));
    return result;
  }
  auto parsed = bundle::parseSignedBundle(body);
  if (!ok(parsed)) {
    explain(why, error(parsed));
    return Offer::Invalid;
  }
  auto verified = bundle::verify(value(parsed), Trusted);
  if (!ok(verified)) {
    explain(why, error(verified));
    return Offer::Invalid;
  }
  const std::uint64_t version = value(verified).Version;
  const Offer result = take(now, kind, version, body);
  if (result == Offer::Taken)
    CurrentBundle =
        std::make_shared<bundle::Bundle>(std::move(value(verified)));
  return result;
}

wire::Document DocumentStore::pack(wire::DocumentKind kind,
                                   std::uint64_t base) const {
  wire::Document document;
  document.set_kind(kind);
  const std::string &whole = body(kind);
  const auto past =
      std::find_if(Past.begin(), Past.end(),
                   [&](const PastBundle &p) { return p.Version == base; });
  if (kind == wire::BUNDLE && base != 0 && past != Past.end()) {
    std::string difference = bundle::makeDifference(past->Text, whole);
    if (!difference.empty() && difference.size() < whole.size() / 2) {
      document.set_body(std::move(difference));
      document.set_base_version(base);
      return document;
    }
  }
  document.set_body(whole);
  return document;
}

Offer DocumentStore::unpack(base::WallTime now, const wire::Document &document,
                            std::string *why) {
  if (document.base_version() == 0)
    return offer(now, document.kind(), document.body(), why);
  if (document.base_version() != Versions.bundle())
    return document.base_version() < Versions.bundle() ? Offer::Older
                                                       : Offer::Invalid;
  const auto whole = bundle::applyDifference(Past.back().Text, document.body());
  if (!ok(whole)) {
    explain(why, error(whole));
    return Offer::Invalid;
  }
  return offer(now, wire::BUNDLE, value(whole), why);
}

Offer DocumentStore::take(base::WallTime now, wire::DocumentKind kind,
                          std::uint64_t version, std::string_view body) {
  const bool isBundle = kind == wire::BUNDLE;
  const std::uint64_t current = isBundle ? Versions.bundle() : Versions.plan();
  if (version <= current)
    return version == current ? Offer::Known : Offer::Older;
  base::invariant(base::Invariant::VersionNeverFalls, version > current,
                  toString(kind));
  const std::uint64_t digest = base::hash64(body);
  if (isBundle) {
    Versions.set_bundle(version);
    Versions.set_bundle_digest(digest);
    Versions.set_bundle_since_ms(now.time_since_epoch().count());
    BundleBody = body;
    Past.push_back({version, BundleBody});
    if (Past.size() > KnownPast)
      Past.pop_front();
  } else {
    Versions.set_plan(version);
    Versions.set_plan_digest(digest);
    PlanBody = body;
  }
  return Offer::Taken;
}

std::string_view toString(wire::DocumentKind kind) {
  return kind == wire::BUNDLE ? "bundle" : "plan";
}

std::string_view toString(Offer offer) {
  switch (offer) {
  case Offer::Taken:
    return "taken";
  case Offer::Known:
    return "known";
  case Offer::Older:
    return "older";
  case Offer::Invalid:
    return "invalid";
  }
  return "invalid";
}

} // namespace drumlanding::plan

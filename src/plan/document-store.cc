#include "drumlanding/plan/document-store.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/base/invariant.h"

namespace drumlanding::plan {
namespace {

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

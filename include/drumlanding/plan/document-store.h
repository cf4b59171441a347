/// Document store: the bundle and plan in force in one process. A version
/// never goes down, whoever offers it. Between peers a changed bundle travels
/// as its difference (RFC 6902), and is checked by its signatures as a whole.
///
///   DocumentStore store(trusted);
///   Offer r = store.offer(now, wire::BUNDLE, bytes);
#pragma once

#include "control.pb.h"
#include "drumlanding/base/clock.h"
#include "drumlanding/bundle/signature.h"
#include "drumlanding/plan/plan.h"

#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace drumlanding::plan {

/// What became of an offered document.
enum class OfferResult {
  Taken,   ///< It is in force now.
  Known,   ///< It is the one in force.
  Older,   ///< A newer one is in force.
  Invalid, ///< It is malformed or not signed by the right keys.
};

/// Not thread-safe; it belongs to a core.
class DocumentStore {
public:
  explicit DocumentStore(bundle::TrustedKeys trusted);

  /// Checks a document and takes it when it is newer than the one in force.
  /// `why` receives the reason when it is refused.
  OfferResult offer(base::WallTime now, wire::DocumentKind kind,
                    std::string_view body, std::string *why = nullptr);

  /// Packs a document for a peer that has `base`: the difference where the
  /// store still knows that version and it is smaller, else the whole.
  wire::Document pack(wire::DocumentKind kind, std::uint64_t base) const;

  /// Takes what `pack` made. A difference that does not fit is Offer::Invalid;
  /// ask for the whole then.
  OfferResult offerPacked(base::WallTime now, const wire::Document &document,
                          std::string *why = nullptr);

  /// The documents in force; null until the first is taken.
  std::shared_ptr<const bundle::Bundle> bundle() const { return CurrentBundle; }
  std::shared_ptr<const Plan> plan() const { return CurrentPlan; }

  wire::Versions versions() const { return Versions; }
  const std::string &body(wire::DocumentKind kind) const;

private:
  OfferResult apply(base::WallTime now, wire::DocumentKind kind,
                    std::uint64_t version, std::string_view body);

  bundle::TrustedKeys Trusted;
  std::shared_ptr<const bundle::Bundle> CurrentBundle;
  std::shared_ptr<const Plan> CurrentPlan;
  std::string BundleBody;
  std::string PlanBody;
  wire::Versions Versions;
  /// The texts of the bundles before, newest last, to make differences from.
  struct PastBundle {
    std::uint64_t Version = 0;
    std::string Text;
  };
  std::deque<PastBundle> History;
};

std::string_view toString(wire::DocumentKind kind);
std::string_view toString(OfferResult offer);

} // namespace drumlanding::plan

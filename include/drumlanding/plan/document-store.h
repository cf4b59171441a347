/// Document store: the current bundle and plan of one process. The version of a
/// document never decreases, whatever its source. Peers exchange a changed
/// bundle as a delta (JSON Patch, RFC 6902); the signatures of the patched
/// bundle are verified.
///
///   DocumentStore store(trusted);
///   OfferResult r = store.offer(now, wire::BUNDLE, bytes);
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

/// Result of offering a document.
enum class OfferResult {
  Taken,   ///< It is now the current document.
  Known,   ///< The current document has the same version.
  Older,   ///< The current document is newer.
  Invalid, ///< It is malformed or lacks a trusted signature.
};

/// Not thread-safe; owned by a core.
class DocumentStore {
public:
  explicit DocumentStore(bundle::TrustedKeys trusted);

  /// Validates a document and applies it when it is newer than the current one.
  /// `why` receives the reason when it is invalid.
  OfferResult offer(base::WallTime now, wire::DocumentKind kind,
                    std::string_view body, std::string *why = nullptr);

  /// Packs a document for a peer that has version `base`: as a delta when the
  /// store still has that version and the delta is less than half the size of
  /// the document, otherwise in full.
  wire::Document pack(wire::DocumentKind kind, std::uint64_t base) const;

  /// Offers a document from `pack`. Returns Invalid for a delta that does not
  /// apply; the caller then requests the full document.
  OfferResult offerPacked(base::WallTime now, const wire::Document &document,
                          std::string *why = nullptr);

  /// The current documents; null until the first is applied.
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
  /// Recent bundles as the bases of deltas, the current one last.
  struct PastBundle {
    std::uint64_t Version = 0;
    std::string Text;
  };
  std::deque<PastBundle> History;
};

std::string_view toString(wire::DocumentKind kind);
std::string_view toString(OfferResult offer);

} // namespace drumlanding::plan

/// Document store: the bundle and plan in force in one process. A version
/// never goes down, whoever offers it.
///
///   DocumentStore store(trusted);
///   Offer r = store.offer(now, wire::BUNDLE, bytes);
#pragma once

#include "control.pb.h"
#include "drumlanding/base/clock.h"
#include "drumlanding/bundle/signature.h"
#include "drumlanding/plan/plan.h"

#include <memory>
#include <string>
#include <string_view>

namespace drumlanding::plan {

/// What became of an offered document.
enum class Offer {
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
  Offer offer(base::WallTime now, wire::DocumentKind kind,
              std::string_view body, std::string *why = nullptr);

  /// The documents in force; null until the first is taken.
  std::shared_ptr<const bundle::Bundle> bundle() const { return CurrentBundle; }
  std::shared_ptr<const Plan> plan() const { return CurrentPlan; }

  wire::Versions versions() const { return Versions; }
  const std::string &body(wire::DocumentKind kind) const;

private:
  Offer take(base::WallTime now, wire::DocumentKind kind, std::uint64_t version,
             std::string_view body);

  bundle::TrustedKeys Trusted;
  std::shared_ptr<const bundle::Bundle> CurrentBundle;
  std::shared_ptr<const Plan> CurrentPlan;
  std::string BundleBody;
  std::string PlanBody;
  wire::Versions Versions;
};

std::string_view toString(wire::DocumentKind kind);
std::string_view toString(Offer offer);

} // namespace drumlanding::plan

/// Deltas between signed bundles: a JSON Patch (RFC 6902) of the documents with
/// the new signatures, which verify the patched document.
///
///   std::string delta = makeBundleDelta(oldSigned, newSigned);
///   Result<std::string> patched = applyBundleDelta(oldSigned, delta);
#pragma once

#include "drumlanding/base/result.h"

#include <string>
#include <string_view>

namespace drumlanding::bundle {

/// Returns a document in the canonical form that applying a delta reproduces
/// byte for byte: keys sorted, no white space. Returns text that is not valid
/// JSON unchanged.
std::string canonicalJson(std::string_view document);

/// Returns the delta between two serialised signed bundles; empty when either
/// is malformed or the new document is not in canonical form.
std::string makeBundleDelta(std::string_view oldSigned,
                            std::string_view newSigned);

/// Applies a delta; returns the new serialised signed bundle.
base::Result<std::string> applyBundleDelta(std::string_view oldSigned,
                                           std::string_view delta);

} // namespace drumlanding::bundle

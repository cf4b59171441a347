/// Differences between signed bundles: JSON Patch (RFC 6902) of the documents,
/// with the new signatures. What comes out is checked by them as a whole.
///
///   std::string d = makeDifference(oldSigned, newSigned);
///   Result<std::string> again = applyDifference(oldSigned, d);
#pragma once

#include "drumlanding/base/result.h"

#include <string>
#include <string_view>

namespace drumlanding::bundle {

/// Returns the text of a document in the one form that differences rebuild
/// byte for byte: members sorted, no white space. Other texts are returned as
/// they are.
std::string canonicalJson(std::string_view document);

/// Makes the difference between two serialised signed bundles; empty when the
/// new document is not in canonical form.
std::string makeBundleDelta(std::string_view oldSigned,
                            std::string_view newSigned);

/// Returns the new serialised signed bundle.
base::Result<std::string> applyBundleDelta(std::string_view oldSigned,
                                           std::string_view delta);

} // namespace drumlanding::bundle

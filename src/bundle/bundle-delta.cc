#include "drumlanding/bundle/bundle-delta.h"

#include "drumlanding/bundle/signature.h"

#include <nlohmann/json.hpp>

namespace drumlanding::bundle {
namespace {

using base::Result;
using Json = nlohmann::json;

Json parse(std::string_view text) { return Json::parse(text, nullptr, false); }

} // namespace

std::string canonicalJson(std::string_view document) {
  const Json json = parse(document);
  if (json.is_discarded())
    return std::string(document);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string makeBundleDelta(std::string_view oldSigned,
                            std::string_view newSigned) {
  const auto oldBundle = parseSignedBundle(oldSigned);
  const auto newBundle = parseSignedBundle(newSigned);
  if (!ok(oldBundle) || !ok(newBundle) ||
      canonicalJson(value(newBundle).Document) != value(newBundle).Document)
    return {};
  const Json patch = Json::diff(parse(value(oldBundle).Document),
                                parse(value(newBundle).Document));
  // The new signatures are sent unchanged, in a signed bundle with an empty
  // document.
  SignedBundle signatures = value(newBundle);
  signatures.Document.clear();
  Json delta = parse(serialise(signatures));
  delta["patch"] = patch;
  return delta.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::string> applyBundleDelta(std::string_view oldSigned,
                                     std::string_view delta) {
  const auto oldBundle = parseSignedBundle(oldSigned);
  auto newBundle = parseSignedBundle(delta);
  if (!ok(oldBundle))
    return error(oldBundle);
  if (!ok(newBundle))
    return error(newBundle);
  const Json patch = parse(delta)["patch"];
  Json document = parse(value(oldBundle).Document);
  // The library throws when a patch does not apply.
  try {
    document.patch_inplace(patch);
  } catch (const Json::exception &e) {
    return base::invalid("difference", e.what());
  }
  value(newBundle).Document =
      document.dump(-1, ' ', false, Json::error_handler_t::replace);
  return serialise(value(newBundle));
}

} // namespace drumlanding::bundle

#include "drumlanding/bundle/difference.h"

#include "drumlanding/bundle/signature.h"

#include <nlohmann/json.hpp>

namespace drumlanding::bundle {
namespace {

using base::Result;
using Json = nlohmann::json;

Json parse(std::string_view text) { return Json::parse(text, nullptr, false); }

} // namespace

std::string canonical(std::string_view document) {
  const Json json = parse(document);
  if (json.is_discarded())
    return std::string(document);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string makeDifference(std::string_view oldSigned,
                           std::string_view newSigned) {
  const auto before = parseSignedBundle(oldSigned);
  const auto after = parseSignedBundle(newSigned);
  if (!ok(before) || !ok(after) ||
      canonical(value(after).Document) != value(after).Document)
    return {};
  const Json patch =
      Json::diff(parse(value(before).Document), parse(value(after).Document));
  // The signatures travel as they are, in a signed bundle without its text.
  SignedBundle shell = value(after);
  shell.Document.clear();
  Json difference = parse(serialise(shell));
  difference["patch"] = patch;
  return difference.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::string> applyDifference(std::string_view oldSigned,
                                    std::string_view difference) {
  const auto before = parseSignedBundle(oldSigned);
  auto after = parseSignedBundle(difference);
  if (!ok(before))
    return error(before);
  if (!ok(after))
    return error(after);
  const Json patch = parse(difference)["patch"];
  Json document = parse(value(before).Document);
  // The library throws on a patch that does not fit.
  try {
    document.patch_inplace(patch);
  } catch (const Json::exception &e) {
    return base::invalid("difference", e.what());
  }
  value(after).Document =
      document.dump(-1, ' ', false, Json::error_handler_t::replace);
  return serialise(value(after));
}

} // namespace drumlanding::bundle

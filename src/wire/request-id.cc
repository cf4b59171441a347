#include "drumlanding/wire/request-id.h"

#include "drumlanding/base/settings.h"

#include <charconv>
#include <fmt/format.h>

namespace drumlanding::wire {
namespace {

constexpr std::size_t IncarnationDigits = 16;
constexpr std::size_t NonceDigits = 32;

} // namespace

std::string toString(const RequestId &id) {
  return fmt::format("{}~{:016x}~{}", id.Server, id.Incarnation, id.Nonce);
}

base::Result<RequestId> parseRequestId(std::string_view text) {
  const base::Error bad =
      base::invalid("id", "is not a generation id (server~incarnation~nonce)");
  const auto first = text.find('~');
  const auto second = text.rfind('~');
  if (first == std::string_view::npos ||
      second != first + 1 + IncarnationDigits)
    return bad;
  RequestId id;
  id.Server = std::string(text.substr(0, first));
  const std::string_view digits = text.substr(first + 1, IncarnationDigits);
  const auto [end, ec] = std::from_chars(
      digits.data(), digits.data() + digits.size(), id.Incarnation, 16);
  id.Nonce = std::string(text.substr(second + 1));
  if (!ok(base::checkName("", id.Server)) || ec != std::errc() ||
      end != digits.data() + digits.size() ||
      !ok(base::parseHex("", id.Nonce, NonceDigits / 2)))
    return bad;
  return id;
}

} // namespace drumlanding::wire

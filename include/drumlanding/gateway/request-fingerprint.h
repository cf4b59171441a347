/// Request fingerprint: identifies what a caller asks for. It is the same for
/// all tries of a request, which carry different attempt ids, and at all
/// gateways.
///
///   RequestFingerprint f = makeFingerprint(request, "tutors-rosenheim");
///   log(toString(f));
#pragma once

#include "drumlanding/gateway/protocol-codec.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace drumlanding::gateway {

struct RequestFingerprint {
  static constexpr std::size_t Size = 16;
  std::array<std::uint8_t, Size> Digest{};
  auto operator<=>(const RequestFingerprint &) const = default;
};

/// Returns a cryptographic hash of the request's content and its organisation,
/// so that no organisation can craft a request with another one's fingerprint.
RequestFingerprint makeFingerprint(const CallerRequest &request,
                                   std::string_view organisation);

/// Returns the fingerprint of a part of an organisation's prompts. Another
/// organisation's part with the same id has a different one.
RequestFingerprint makePartFingerprint(std::string_view organisation,
                                       std::string_view part);

/// Returns the fingerprint as 32 hexadecimal digits.
std::string toString(const RequestFingerprint &fingerprint);

/// Parses what toString() returns; returns none for any other text.
std::optional<RequestFingerprint> parseFingerprint(std::string_view text);

/// Converts to and from the bytes that gateways send each other.
std::string toBytes(const RequestFingerprint &fingerprint);
std::optional<RequestFingerprint> fingerprintFromBytes(std::string_view bytes);

} // namespace drumlanding::gateway

#include "drumlanding/gateway/request-fingerprint.h"

#include "drumlanding/base/settings.h"

#include <algorithm>
#include <charconv>
#include <sodium.h>

namespace drumlanding::gateway {
namespace {

/// Adds a part with its length, so that the parts' boundaries count.
void addPart(crypto_generichash_state &state, std::string_view part) {
  const std::uint64_t size = part.size();
  std::array<unsigned char, sizeof size> prefix{};
  for (std::size_t i = 0; i < prefix.size(); ++i)
    prefix[i] = static_cast<unsigned char>(size >> (8 * i));
  crypto_generichash_update(&state, prefix.data(), prefix.size());
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char *>(part.data()),
      part.size());
}

} // namespace

RequestFingerprint makeFingerprint(const CallerRequest &request,
                                   std::string_view organisation) {
  RequestFingerprint fingerprint;
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, RequestFingerprint::Size);
  addPart(state, organisation);
  addPart(state, request.Http.Method);
  addPart(state, request.Host);
  addPart(state, request.Http.Target);
  addPart(state, request.PromptDescription);
  addPart(state, *request.Body);
  crypto_generichash_final(&state, fingerprint.Digest.data(),
                           fingerprint.Digest.size());
  return fingerprint;
}

RequestFingerprint makePartFingerprint(std::string_view organisation,
                                       std::string_view part) {
  RequestFingerprint fingerprint;
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, RequestFingerprint::Size);
  // Has fewer fields than a request, so that it equals none's fingerprint.
  addPart(state, organisation);
  addPart(state, part);
  crypto_generichash_final(&state, fingerprint.Digest.data(),
                           fingerprint.Digest.size());
  return fingerprint;
}

std::string toString(const RequestFingerprint &fingerprint) {
  return base::toHex(toBytes(fingerprint));
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view text) {
  constexpr std::size_t DigitsPerByte = 2;
  constexpr int Hexadecimal = 16;
  RequestFingerprint fingerprint;
  if (text.size() != DigitsPerByte * RequestFingerprint::Size)
    return std::nullopt;
  for (std::size_t i = 0; i < RequestFingerprint::Size; ++i) {
    const char *from = text.data() + DigitsPerByte * i;
    const char *to = from + DigitsPerByte;
    const auto [end, ec] =
        std::from_chars(from, to, fingerprint.Digest[i], Hexadecimal);
    if (ec != std::errc() || end != to)
      return std::nullopt;
  }
  return fingerprint;
}

std::string toBytes(const RequestFingerprint &fingerprint) {
  return {fingerprint.Digest.begin(), fingerprint.Digest.end()};
}

std::optional<RequestFingerprint> fingerprintFromBytes(std::string_view bytes) {
  RequestFingerprint fingerprint;
  if (bytes.size() != RequestFingerprint::Size)
    return std::nullopt;
  std::copy(bytes.begin(), bytes.end(), fingerprint.Digest.begin());
  return fingerprint;
}

} // namespace drumlanding::gateway

#include "drumlanding/bundle/signature.h"

#include "drumlanding/base/settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sodium.h>

namespace drumlanding::bundle {
namespace {

using base::Error;
using base::ErrorCode;
using base::Result;
using Json = nlohmann::json;

std::string_view roleName(Role role) {
  return role == Role::Author ? "author" : "approver";
}

const unsigned char *raw(std::string_view s) {
  return reinterpret_cast<const unsigned char *>(s.data());
}

/// Returns the text that is signed. It includes the role, so that a signature
/// in one role is never valid in the other.
std::string signedText(Role role, std::string_view document) {
  return "drumlanding bundle 1 " + std::string(roleName(role)) + "\n" +
         std::string(document);
}

Result<base::Done> checkSignature(const SignedBundle &bundle, Role role,
                                  const Signature &signature,
                                  const std::vector<std::string> &trusted) {
  const Error bad{ErrorCode::Forbidden,
                  "signatures." + std::string(roleName(role)), ""};
  const auto fail = [&](std::string_view message) {
    Error e = bad;
    e.Message = message;
    return e;
  };
  if (signature.Key.empty())
    return fail("is missing");
  if (std::find(trusted.begin(), trusted.end(), signature.Key) == trusted.end())
    return fail("the key is not among the trusted keys in the settings");
  const std::string text = signedText(role, bundle.Document);
  if (signature.Bytes.size() != crypto_sign_BYTES ||
      crypto_sign_verify_detached(raw(signature.Bytes), raw(text), text.size(),
                                  raw(signature.Key)) != 0)
    return fail("does not match the document");
  return base::Done{};
}

Json toJson(const Signature &s) {
  return {{"key", base::toHex(s.Key)}, {"signature", base::toHex(s.Bytes)}};
}

Result<Signature> readSignature(const Json &signatures, Role role) {
  const std::string name(roleName(role));
  if (!signatures.contains(name))
    return Signature{};
  const std::string where = "signatures." + name;
  const Json &s = signatures[name];
  if (!s.is_object() || !s.contains("key") || !s.contains("signature") ||
      !s["key"].is_string() || !s["signature"].is_string())
    return base::invalid(where, "expected the strings 'key' and 'signature'");
  const auto key = base::parseHex(where + ".key", s["key"].get<std::string>(),
                                  crypto_sign_PUBLICKEYBYTES);
  if (!ok(key))
    return base::error(key);
  const auto bytes =
      base::parseHex(where + ".signature", s["signature"].get<std::string>(),
                     crypto_sign_BYTES);
  if (!ok(bytes))
    return base::error(bytes);
  return Signature{base::value(key), base::value(bytes)};
}

} // namespace

KeyPair makeKeyPair() {
  KeyPair pair{std::string(crypto_sign_PUBLICKEYBYTES, '\0'),
               std::string(crypto_sign_SECRETKEYBYTES, '\0')};
  crypto_sign_keypair(reinterpret_cast<unsigned char *>(pair.Public.data()),
                      reinterpret_cast<unsigned char *>(pair.Secret.data()));
  return pair;
}

std::string publicKeyOf(std::string_view secret) {
  std::string key(crypto_sign_PUBLICKEYBYTES, '\0');
  crypto_sign_ed25519_sk_to_pk(reinterpret_cast<unsigned char *>(key.data()),
                               raw(secret));
  return key;
}

void sign(SignedBundle &bundle, Role role, std::string_view secret) {
  const std::string text = signedText(role, bundle.Document);
  Signature signature{publicKeyOf(secret),
                      std::string(crypto_sign_BYTES, '\0')};
  crypto_sign_detached(
      reinterpret_cast<unsigned char *>(signature.Bytes.data()), nullptr,
      raw(text), text.size(), raw(secret));
  (role == Role::Author ? bundle.Author : bundle.Approver) =
      std::move(signature);
}

Result<Bundle> verify(const SignedBundle &bundle, const TrustedKeys &trusted) {
  auto r = checkSignature(bundle, Role::Author, bundle.Author, trusted.Authors);
  if (!ok(r))
    return base::error(r);
  r = checkSignature(bundle, Role::Approver, bundle.Approver,
                     trusted.Approvers);
  if (!ok(r))
    return base::error(r);
  if (bundle.Author.Key == bundle.Approver.Key)
    return Error{ErrorCode::Forbidden, "signatures.approver",
                 "the approver's key must differ from the author's key"};
  return parseBundle(bundle.Document);
}

std::string serialise(const SignedBundle &bundle) {
  Json json;
  json["document"] = bundle.Document;
  json["signatures"] = Json::object();
  if (!bundle.Author.Key.empty())
    json["signatures"]["author"] = toJson(bundle.Author);
  if (!bundle.Approver.Key.empty())
    json["signatures"]["approver"] = toJson(bundle.Approver);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<SignedBundle> parseSignedBundle(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return base::invalid("signed bundle", "expected a JSON object");
  if (!json.contains("document") || !json["document"].is_string())
    return base::invalid("document", "expected a string");
  if (!json.contains("signatures") || !json["signatures"].is_object())
    return base::invalid("signatures", "expected an object");
  const auto author = readSignature(json["signatures"], Role::Author);
  if (!ok(author))
    return base::error(author);
  const auto approver = readSignature(json["signatures"], Role::Approver);
  if (!ok(approver))
    return base::error(approver);
  return SignedBundle{json["document"].get<std::string>(), base::value(author),
                      base::value(approver)};
}

Result<std::vector<std::string>> parseKeys(std::string_view flag,
                                           std::string_view list) {
  std::vector<std::string> keys;
  for (const std::string &part : base::splitList(list)) {
    auto key = base::parseHex(flag, part, crypto_sign_PUBLICKEYBYTES);
    if (!ok(key))
      return base::error(key);
    keys.push_back(std::move(base::value(key)));
  }
  if (keys.empty())
    return base::invalid(std::string(flag), "expected at least one key");
  return keys;
}

} // namespace drumlanding::bundle

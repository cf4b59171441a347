/// Bundle signatures: Ed25519 by libsodium. A bundle is valid only with the
/// signatures of its author and of a different approver.
///
///   KeyPair author = makeKeyPair();
///   SignedBundle s{document};
///   sign(s, Role::Author, author.Secret);
///   Result<Bundle> b = verify(s, trusted);
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/bundle/bundle.h"

#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::bundle {

enum class Role { Author, Approver };

/// An Ed25519 key pair, as raw bytes.
struct KeyPair {
  std::string Public;
  std::string Secret;
};

/// A public key and a signature by it, as raw bytes. Empty when not yet signed.
struct Signature {
  std::string Key;
  std::string Bytes;
};

/// A bundle's text, byte for byte as the author wrote it, with its signatures.
struct SignedBundle {
  std::string Document;
  Signature Author;
  Signature Approver;
};

/// The public keys that a daemon trusts, from its settings. Several keys per
/// role allow key rotation.
struct TrustedKeys {
  std::vector<std::string> Authors;
  std::vector<std::string> Approvers;
};

KeyPair makeKeyPair();

/// Returns the public key of a 64-byte secret key.
std::string publicKeyOf(std::string_view secret);

/// Signs the document in a role.
void sign(SignedBundle &bundle, Role role, std::string_view secret);

/// Verifies both signatures, checks that they are by different trusted keys,
/// and parses the document.
base::Result<Bundle> verify(const SignedBundle &bundle,
                            const TrustedKeys &trusted);

/// Converts a signed bundle to and from the JSON text that files and the
/// key-value service hold.
std::string serialise(const SignedBundle &bundle);
base::Result<SignedBundle> parseSignedBundle(std::string_view json);

/// Parses hexadecimal public keys separated by commas.
base::Result<std::vector<std::string>> parseKeys(std::string_view flag,
                                                 std::string_view list);

} // namespace drumlanding::bundle

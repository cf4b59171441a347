/// Signatures: Ed25519 by libsodium. A bundle is in force only when its author
/// and somebody else, who signs it off, both signed it.
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

/// An Ed25519 key pair; raw bytes.
struct KeyPair {
  std::string Public;
  std::string Secret;
};

/// A public key and its signature; raw bytes. Empty when not yet signed.
struct Signature {
  std::string Key;
  std::string Bytes;
};

/// A bundle's text, byte for byte as its author wrote it, with signatures.
struct SignedBundle {
  std::string Document;
  Signature Author;
  Signature Approver;
};

/// The public keys a daemon trusts, from its settings. Several of a role allow
/// keys to be replaced one after the other.
struct TrustedKeys {
  std::vector<std::string> Authors;
  std::vector<std::string> Approvers;
};

KeyPair makeKeyPair();

/// Returns the public half of a secret key of 64 bytes.
std::string publicKeyOf(std::string_view secret);

/// Signs the document in a role.
void sign(SignedBundle &bundle, Role role, std::string_view secret);

/// Checks both signatures, that they are of different trusted keys, and the
/// document itself.
base::Result<Bundle> verify(const SignedBundle &bundle,
                            const TrustedKeys &trusted);

/// Writes and reads the file and key-value form of a signed bundle.
std::string serialise(const SignedBundle &bundle);
base::Result<SignedBundle> parseSignedBundle(std::string_view json);

/// Reads hexadecimal public keys separated by commas.
base::Result<std::vector<std::string>> parseKeys(std::string_view flag,
                                                 std::string_view list);

} // namespace drumlanding::bundle

/// Commands of drumlandingctl. Each prints its result and returns the exit
/// code: 0 success, 1 refused or unreachable, 2 usage error.
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/bundle/signature.h"

#include <span>
#include <string>
#include <string_view>

namespace drumlanding::ctl {

inline constexpr int ExitSuccess = 0;
inline constexpr int ExitFailure = 1;
inline constexpr int ExitUsage = 2;

using Arguments = std::span<const std::string>;

/// keygen NAME: writes NAME.key (secret) and NAME.pub.
int keygen(Arguments args);
/// control-key: prints a new shared key for the daemons.
int controlKey();
/// credential: prints a new credential and its hash for the bundle.
int credential();
/// bundle check FILE: validates a bundle and prints its counts.
int checkBundle(Arguments args);
/// bundle diff OLD NEW: prints the differences of two bundles.
int diffBundleFiles(Arguments args);
/// bundle sign FILE: signs in the given role with the key in `keyFile`.
int signBundle(Arguments args, std::string_view role,
               const std::string &keyFile, const std::string &outFile);

/// explain REQUEST FILE...: prints a request's log lines and how it ended.
int explainRequest(Arguments args);

base::Result<std::string> readFile(const std::string &path);
base::Result<base::Done> writeFile(const std::string &path,
                                   std::string_view text, bool isSecret);
/// Reads a bundle from a file, signed or unsigned.
base::Result<bundle::SignedBundle> readBundleFile(const std::string &path);

/// Prints the error to standard error and returns `code`.
int reportError(const base::Error &e, int code = ExitFailure);

} // namespace drumlanding::ctl

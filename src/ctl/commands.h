/// Commands of drumlandingctl. Each prints its result and returns the exit
/// code: 0 done, 1 refused or not reachable, 2 wrong call.
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
/// control-key: prints a new shared key of the daemons.
int controlKey();
/// credential: prints a new credential and the hash that the bundle holds.
int credential();
/// bundle check FILE
int checkBundle(Arguments args);
/// bundle diff OLD NEW
int diffBundleFiles(Arguments args);
/// bundle sign FILE: adds the signature of --role with --key.
int signBundle(Arguments args, std::string_view role,
               const std::string &keyFile, const std::string &outFile);

/// explain REQUEST FILE...: tells the request's story from logs.
int explainRequest(Arguments args);

base::Result<std::string> readFile(const std::string &path);
base::Result<base::Done> writeFile(const std::string &path,
                                   std::string_view text, bool isSecret);
/// Reads a file that holds a bundle, signed or not.
base::Result<bundle::SignedBundle> readBundleFile(const std::string &path);

/// Prints the error's one line; returns `code`.
int reportError(const base::Error &e, int code = ExitFailure);

} // namespace drumlanding::ctl

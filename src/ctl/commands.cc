#include "commands.h"

#include "explain.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/base/settings.h"
#include "drumlanding/bundle/bundle-delta.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <sstream>
#include <sys/stat.h>

namespace drumlanding::ctl {

using base::Result;

int reportError(const base::Error &e, int code) {
  std::fprintf(stderr, "%s\n", describe(e).c_str());
  return code;
}

Result<std::string> readFile(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return base::Error{base::ErrorCode::NotFound, path, "cannot read the file"};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Result<base::Done> writeFile(const std::string &path, std::string_view text,
                             bool isSecret) {
  const mode_t before = umask(isSecret ? 0077 : 0022);
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  umask(before);
  file << text;
  file.close();
  if (!file)
    return base::Error{base::ErrorCode::Unavailable, path,
                       "cannot write the file"};
  return base::Done{};
}

Result<bundle::SignedBundle> readBundleFile(const std::string &path) {
  const auto text = readFile(path);
  if (!ok(text))
    return error(text);
  const auto json = nlohmann::json::parse(value(text), nullptr, false);
  if (json.is_object() && json.contains("signatures"))
    return bundle::parseSignedBundle(value(text));
  return bundle::SignedBundle{value(text), {}, {}};
}

int keygen(Arguments args) {
  if (args.size() != 1)
    return reportError(base::invalid("keygen", "expected one argument, NAME"),
                       ExitUsage);
  const bundle::KeyPair pair = bundle::makeKeyPair();
  const std::string name = args[0];
  auto r = writeFile(name + ".key", base::toHex(pair.Secret) + "\n", true);
  if (!ok(r))
    return reportError(error(r));
  r = writeFile(name + ".pub", base::toHex(pair.Public) + "\n", false);
  if (!ok(r))
    return reportError(error(r));
  std::printf("wrote %s.key (keep it secret) and %s.pub; public key:\n%s\n",
              name.c_str(), name.c_str(), base::toHex(pair.Public).c_str());
  return ExitSuccess;
}

int controlKey() {
  std::printf("%s%s\n", base::randomId().c_str(), base::randomId().c_str());
  return ExitSuccess;
}

int credential() {
  const std::string generated = base::randomId();
  std::printf("credential %s\ncredentialHash %s\n", generated.c_str(),
              bundle::credentialHash(generated).c_str());
  return ExitSuccess;
}

int checkBundle(Arguments args) {
  if (args.size() != 1)
    return reportError(
        base::invalid("bundle check", "expected one argument, FILE"),
        ExitUsage);
  const auto read = readBundleFile(args[0]);
  if (!ok(read))
    return reportError(error(read));
  const auto parsed = bundle::parseBundle(value(read).Document);
  if (!ok(parsed))
    return reportError(error(parsed));
  const bundle::Bundle &b = value(parsed);
  std::printf("%s: version %llu, %zu places, %zu models, %zu services, "
              "%zu organisations\n",
              b.Deployment.c_str(), static_cast<unsigned long long>(b.Version),
              b.Places.size(), b.Models.size(), b.Services.size(),
              b.Organisations.size());
  return ExitSuccess;
}

int diffBundleFiles(Arguments args) {
  if (args.size() != 2)
    return reportError(
        base::invalid("bundle diff", "expected two arguments, OLD and NEW"),
        ExitUsage);
  const auto a = readBundleFile(args[0]);
  const auto b = readBundleFile(args[1]);
  if (!ok(a) || !ok(b))
    return reportError(ok(a) ? error(b) : error(a));
  const auto lines = bundle::diffBundles(value(a).Document, value(b).Document);
  if (!ok(lines))
    return reportError(error(lines));
  for (const std::string &line : value(lines))
    std::printf("%s\n", line.c_str());
  return ExitSuccess;
}

int signBundle(Arguments args, std::string_view role,
               const std::string &keyFile, const std::string &outFile) {
  if (args.size() != 1 || keyFile.empty() ||
      (role != "author" && role != "approver"))
    return reportError(
        base::invalid("bundle sign",
                      "expected FILE, --key and --role author or approver"),
        ExitUsage);
  auto signing = readBundleFile(args[0]);
  if (!ok(signing))
    return reportError(error(signing));
  const auto parsed = bundle::parseBundle(value(signing).Document);
  if (!ok(parsed))
    return reportError(error(parsed));
  auto secretText = readFile(keyFile);
  if (!ok(secretText))
    return reportError(error(secretText));
  std::string digits = value(secretText);
  while (!digits.empty() && std::isspace(digits.back()))
    digits.pop_back();
  const auto secret =
      base::parseHex(keyFile, digits, crypto_sign_SECRETKEYBYTES);
  if (!ok(secret))
    return reportError(error(secret));
  bundle::SignedBundle &signedBundle = value(signing);
  // The author signs the canonical form, from which differences are made; the
  // approver signs the same bytes.
  if (role == "author")
    signedBundle.Document = bundle::canonicalJson(signedBundle.Document);
  const auto as =
      role == "author" ? bundle::Role::Author : bundle::Role::Approver;
  bundle::sign(signedBundle, as, value(secret));
  if (signedBundle.Author.Key == signedBundle.Approver.Key)
    return reportError(base::invalid("--key",
                                     "the author's key cannot also approve the "
                                     "bundle"));
  const std::string target = outFile.empty() ? args[0] : outFile;
  if (auto r = writeFile(target, bundle::serialise(signedBundle) + "\n", false);
      !ok(r))
    return reportError(error(r));
  std::printf("%s: signed as %s\n", target.c_str(), std::string(role).c_str());
  return ExitSuccess;
}

int explainRequest(Arguments args) {
  if (args.size() < 2)
    return reportError(
        base::invalid("explain", "expected a request id and log files"),
        ExitUsage);
  std::vector<LogLine> lines;
  for (const std::string &file : args.subspan(1)) {
    const auto text = readFile(file);
    if (!ok(text))
      return reportError(error(text));
    std::istringstream stream(value(text));
    for (std::string line; std::getline(stream, line);)
      if (auto read = parseLogLine(line))
        lines.push_back(std::move(*read));
  }
  const auto trace = explain(lines, args[0]);
  if (!ok(trace))
    return reportError(error(trace));
  for (const LogLine &line : value(trace).Lines)
    std::printf("%s\n", toText(line).c_str());
  std::printf("%s\n", value(trace).Cause.c_str());
  return ExitSuccess;
}

} // namespace drumlanding::ctl

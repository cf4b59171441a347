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

int fail(const base::Error &e, int code) {
  std::fprintf(stderr, "%s\n", describe(e).c_str());
  return code;
}

Result<std::string> readFile(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return base::Error{base::ErrorCode::NotFound, path, "cannot be read"};
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
    return base::Error{base::ErrorCode::Unavailable, path, "cannot be written"};
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

int keygen(Words words) {
  if (words.size() != 1)
    return fail(base::invalid("keygen", "one NAME is expected"), ExitWrongCall);
  const bundle::KeyPair pair = bundle::makeKeyPair();
  const std::string name = words[0];
  auto r = writeFile(name + ".key", base::toHex(pair.Secret) + "\n", true);
  if (!ok(r))
    return fail(error(r));
  r = writeFile(name + ".pub", base::toHex(pair.Public) + "\n", false);
  if (!ok(r))
    return fail(error(r));
  std::printf("%s.key (keep it secret) and %s.pub\n%s\n", name.c_str(),
              name.c_str(), base::toHex(pair.Public).c_str());
  return ExitDone;
}

int controlKey() {
  std::printf("%s%s\n", base::randomId().c_str(), base::randomId().c_str());
  return ExitDone;
}

int credential() {
  const std::string made = base::randomId();
  std::printf("credential %s\ncredentialHash %s\n", made.c_str(),
              bundle::credentialHash(made).c_str());
  return ExitDone;
}

int checkBundle(Words words) {
  if (words.size() != 1)
    return fail(base::invalid("bundle check", "one FILE is expected"),
                ExitWrongCall);
  const auto read = readBundleFile(words[0]);
  if (!ok(read))
    return fail(error(read));
  const auto parsed = bundle::parseBundle(value(read).Document);
  if (!ok(parsed))
    return fail(error(parsed));
  const bundle::Bundle &b = value(parsed);
  std::printf("%s: version %llu, %zu places, %zu models, %zu services, "
              "%zu organisations\n",
              b.Deployment.c_str(), static_cast<unsigned long long>(b.Version),
              b.Places.size(), b.Models.size(), b.Services.size(),
              b.Organisations.size());
  return ExitDone;
}

int diffBundleFiles(Words words) {
  if (words.size() != 2)
    return fail(base::invalid("bundle diff", "OLD and NEW are expected"),
                ExitWrongCall);
  const auto a = readBundleFile(words[0]);
  const auto b = readBundleFile(words[1]);
  if (!ok(a) || !ok(b))
    return fail(ok(a) ? error(b) : error(a));
  const auto lines = bundle::diffBundles(value(a).Document, value(b).Document);
  if (!ok(lines))
    return fail(error(lines));
  for (const std::string &line : value(lines))
    std::printf("%s\n", line.c_str());
  return ExitDone;
}

int signBundle(Words words, std::string_view role, const std::string &keyFile,
               const std::string &outFile) {
  if (words.size() != 1 || keyFile.empty() ||
      (role != "author" && role != "approver"))
    return fail(base::invalid("bundle sign",
                              "FILE, --key and --role author or approver "
                              "are expected"),
                ExitWrongCall);
  auto signing = readBundleFile(words[0]);
  if (!ok(signing))
    return fail(error(signing));
  const auto parsed = bundle::parseBundle(value(signing).Document);
  if (!ok(parsed))
    return fail(error(parsed));
  auto secretText = readFile(keyFile);
  if (!ok(secretText))
    return fail(error(secretText));
  std::string digits = value(secretText);
  while (!digits.empty() && std::isspace(digits.back()))
    digits.pop_back();
  const auto secret =
      base::parseHex(keyFile, digits, crypto_sign_SECRETKEYBYTES);
  if (!ok(secret))
    return fail(error(secret));
  bundle::SignedBundle &signedBundle = value(signing);
  // The author writes the form that travels as differences; who signs it off
  // signs the same bytes.
  if (role == "author")
    signedBundle.Document = bundle::canonicalJson(signedBundle.Document);
  const auto as =
      role == "author" ? bundle::Role::Author : bundle::Role::Approver;
  bundle::sign(signedBundle, as, value(secret));
  if (signedBundle.Author.Key == signedBundle.Approver.Key)
    return fail(base::invalid("--key", "the author cannot sign off the "
                                       "bundle"));
  const std::string target = outFile.empty() ? words[0] : outFile;
  if (auto r = writeFile(target, bundle::serialise(signedBundle) + "\n", false);
      !ok(r))
    return fail(error(r));
  std::printf("%s: signed as %s\n", target.c_str(), std::string(role).c_str());
  return ExitDone;
}

int explainRequest(Words words) {
  if (words.size() < 2)
    return fail(base::invalid("explain", "needs a request's id and log files"),
                ExitWrongCall);
  std::vector<LogLine> lines;
  for (const std::string &file : words.subspan(1)) {
    const auto text = readFile(file);
    if (!ok(text))
      return fail(error(text));
    std::istringstream stream(value(text));
    for (std::string line; std::getline(stream, line);)
      if (auto read = parseLogLine(line))
        lines.push_back(std::move(*read));
  }
  const auto story = explain(lines, words[0]);
  if (!ok(story))
    return fail(error(story));
  for (const LogLine &line : value(story).Lines)
    std::printf("%s\n", toText(line).c_str());
  std::printf("%s\n", value(story).Cause.c_str());
  return ExitDone;
}

} // namespace drumlanding::ctl

#include "drumlanding/base/settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <map>

namespace drumlanding::base {
namespace {

constexpr int ExitBadSettings = 2;
constexpr std::string_view EnvironmentPrefix = "DRUMLANDING_";
constexpr std::string_view SettingsFileFlag = "node_file";

std::string environmentName(std::string_view flag) {
  std::string name(EnvironmentPrefix);
  for (char c : flag)
    name += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  return name;
}

bool isAllowed(std::span<const std::string_view> allowed,
               std::string_view flag) {
  return std::find(allowed.begin(), allowed.end(), flag) != allowed.end();
}

Result<Done> setFlag(std::string_view flag, std::string_view text,
                     std::string_view source) {
  const std::string name(flag);
  const std::string result =
      gflags::SetCommandLineOption(name.c_str(), std::string(text).c_str());
  if (!result.empty())
    return Done{};
  gflags::CommandLineFlagInfo info;
  gflags::GetCommandLineFlagInfo(name.c_str(), &info);
  return invalid(std::string(source), "value '" + std::string(text) +
                                          "' is not a valid " + info.type);
}

void printHelp(std::string_view synopsis,
               std::span<const std::string_view> allowed) {
  std::map<std::string, std::vector<gflags::CommandLineFlagInfo>> groups;
  for (std::string_view flag : allowed) {
    gflags::CommandLineFlagInfo info;
    gflags::GetCommandLineFlagInfo(std::string(flag).c_str(), &info);
    const auto end = info.description.find(']');
    groups[info.description.substr(1, end - 1)].push_back(info);
  }
  std::printf("%.*s\n", static_cast<int>(synopsis.size()), synopsis.data());
  for (const auto &[group, flags] : groups) {
    std::printf("\n%s:\n", group.c_str());
    for (const auto &info : flags) {
      const auto text = info.description.find("] ") + 2;
      std::printf("  --%s (%s, default \"%s\", %s)\n      %s\n",
                  info.name.c_str(), info.type.c_str(),
                  info.default_value.c_str(),
                  environmentName(info.name).c_str(),
                  info.description.substr(text).c_str());
    }
  }
}

Result<Done> applyEnvironment(std::span<const std::string_view> allowed) {
  for (std::string_view flag : allowed) {
    const std::string name = environmentName(flag);
    const char *text = std::getenv(name.c_str());
    if (!text)
      continue;
    if (auto r = setFlag(flag, text, name); !ok(r))
      return r;
  }
  return Done{};
}

/// A flag as given on the command line or in a settings file.
struct FlagArgument {
  std::string Name;
  std::string Value;
  bool HasValue = false;
};

FlagArgument parseFlagArgument(std::string_view argument) {
  argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
  const auto equals = argument.find('=');
  if (equals == std::string_view::npos)
    return {std::string(argument), "", false};
  return {std::string(argument.substr(0, equals)),
          std::string(argument.substr(equals + 1)), true};
}

/// Sets flags from a settings file with one --flag=value per line, skipping
/// blank lines and lines that start with #.
Result<Done> applySettingsFile(const std::string &path,
                               std::span<const std::string_view> allowed) {
  std::ifstream file(path);
  if (!file)
    return invalid("--node_file", "cannot read the file: " + path);
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (line.empty() || line.starts_with('#'))
      continue;
    const std::string where = path + ":" + std::to_string(number);
    if (!line.starts_with("--"))
      return invalid(where, "expected --flag=value, got: " + line);
    const FlagArgument argument = parseFlagArgument(line);
    if (!isAllowed(allowed, argument.Name))
      return invalid(where, "unknown flag --" + argument.Name);
    if (auto r = setFlag(argument.Name, argument.Value, where); !ok(r))
      return r;
  }
  return Done{};
}

bool isBoolFlag(const std::string &flag) {
  gflags::CommandLineFlagInfo info;
  return gflags::GetCommandLineFlagInfo(flag.c_str(), &info) &&
         info.type == "bool";
}

/// Returns the path of the settings file from the command line or environment.
std::string findSettingsFile(int argc, char **argv) {
  const std::string flag = "--" + std::string(SettingsFileFlag);
  for (int i = 1; i < argc; ++i) {
    const std::string_view arg = argv[i];
    if (arg.starts_with(flag + "="))
      return std::string(arg.substr(flag.size() + 1));
    if (arg == flag && i + 1 < argc)
      return argv[i + 1];
  }
  const char *path = std::getenv(environmentName(SettingsFileFlag).c_str());
  return path ? path : "";
}

} // namespace

Result<std::vector<std::string>>
readSettings(int argc, char **argv, std::string_view synopsis,
             std::span<const std::string_view> allowed) {
  const bool acceptsFile = isAllowed(allowed, SettingsFileFlag);
  if (const std::string path = acceptsFile ? findSettingsFile(argc, argv) : "";
      !path.empty())
    if (auto r = applySettingsFile(path, allowed); !ok(r))
      return error(r);
  if (auto r = applyEnvironment(allowed); !ok(r))
    return error(r);
  std::vector<std::string> positional;
  for (int i = 1; i < argc; ++i) {
    const std::string_view arg = argv[i];
    if (!arg.starts_with('-') || arg == "-") {
      positional.emplace_back(arg);
      continue;
    }
    FlagArgument argument = parseFlagArgument(arg);
    if (argument.Name == "help") {
      printHelp(synopsis, allowed);
      std::exit(0);
    }
    if (!isAllowed(allowed, argument.Name))
      return invalid("--" + argument.Name,
                     "unknown flag; --help lists the flags");
    if (!argument.HasValue && isBoolFlag(argument.Name))
      argument.Value = "true";
    else if (!argument.HasValue && i + 1 < argc)
      argument.Value = argv[++i];
    else if (!argument.HasValue)
      return invalid("--" + argument.Name, "expected a value");
    if (auto r = setFlag(argument.Name, argument.Value, "--" + argument.Name);
        !ok(r))
      return error(r);
  }
  return positional;
}

void exitOnBadSettings(const Error &e) {
  std::fprintf(stderr, "%s\n", describe(e).c_str());
  std::exit(ExitBadSettings);
}

Result<Endpoint> parseEndpoint(std::string_view flag, std::string_view text) {
  const std::string where(flag);
  const std::string message = "value '" + std::string(text) +
                              "' is not IP:port, such as 127.0.0.1:8080";
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return invalid(where, message);
  Endpoint endpoint;
  endpoint.Address = std::string(text.substr(0, colon));
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  if (inet_pton(AF_INET, endpoint.Address.c_str(), buf.data()) != 1)
    return invalid(where, message);
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, ec] = std::from_chars(
      digits.data(), digits.data() + digits.size(), endpoint.Port);
  if (ec != std::errc() || end != digits.data() + digits.size())
    return invalid(where, message);
  return endpoint;
}

Result<std::vector<Endpoint>> parseEndpoints(std::string_view flag,
                                             std::string_view text) {
  std::vector<Endpoint> endpoints;
  for (const std::string &part : splitList(text)) {
    auto endpoint = parseEndpoint(flag, part);
    if (!ok(endpoint))
      return error(endpoint);
    endpoints.push_back(std::move(value(endpoint)));
  }
  return endpoints;
}

Result<Done> checkName(std::string_view flag, std::string_view text) {
  constexpr std::size_t MaxNameLength = 64;
  const auto isNameChar = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  if (!text.empty() && text.size() <= MaxNameLength &&
      std::all_of(text.begin(), text.end(), isNameChar))
    return Done{};
  return invalid(std::string(flag),
                 "value '" + std::string(text) +
                     "' is not a name (1 to 64 characters of a-z, 0-9, '-', "
                     "'_' and '.')");
}

Result<std::string> parseHex(std::string_view flag, std::string_view text,
                             std::size_t size) {
  const Error lengthError =
      invalid(std::string(flag),
              "expected " + std::to_string(size * 2) + " hexadecimal digits");
  if (text.size() != size * 2)
    return lengthError;
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); i += 2) {
    unsigned byte = 0;
    const auto [end, ec] =
        std::from_chars(text.data() + i, text.data() + i + 2, byte, 16);
    if (ec != std::errc() || end != text.data() + i + 2)
      return lengthError;
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

std::string toHex(std::string_view bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string text;
  for (unsigned char c : bytes) {
    text += Digits[c >> 4];
    text += Digits[c & 15];
  }
  return text;
}

std::vector<std::string> splitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto comma = text.find(',');
    parts.emplace_back(text.substr(0, comma));
    if (comma == std::string_view::npos)
      break;
    text.remove_prefix(comma + 1);
  }
  return parts;
}

std::string toString(const Endpoint &e) {
  return e.Address + ":" + std::to_string(e.Port);
}

} // namespace drumlanding::base

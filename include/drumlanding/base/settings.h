/// Settings: gflags, each with an environment variable, validated at start-up.
///
///   DEFINE_string(place, "", "[identity] place of this VM");
///   Result<Done> r = readSettings(argc, argv, "drumlanding-entry");
///
/// The description of a flag starts with its group in brackets. `--place` can
/// be set as DRUMLANDING_PLACE. The command line overrides the environment,
/// which overrides the file named by --node_file (one --flag=value per line).
/// Only programs that allow this flag read a file.
#pragma once

#include "drumlanding/base/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::base {

/// An IP address and port, such as 127.0.0.1:8080.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;
  bool operator==(const Endpoint &) const = default;
};

/// Sets the program's flags from the command line and the environment. `--help`
/// prints them by group and exits with 0. `allowed` lists the names of the
/// flags; returns the arguments that are not flags.
Result<std::vector<std::string>>
readSettings(int argc, char **argv, std::string_view synopsis,
             std::span<const std::string_view> allowed);

/// Prints the error to standard error and exits with 2.
[[noreturn]] void exitOnBadSettings(const Error &e);

/// Parses "IP:port" with an IPv4 address. Host names are rejected: the system
/// only connects to IP addresses.
Result<Endpoint> parseEndpoint(std::string_view flag, std::string_view text);

/// Parses a list of "IP:port", separated by commas.
Result<std::vector<Endpoint>> parseEndpoints(std::string_view flag,
                                             std::string_view text);

/// Returns an error unless `text` is a name: 1 to 64 characters of a-z, 0-9,
/// '-', '_' and '.'.
Result<Done> checkName(std::string_view flag, std::string_view text);

/// Decodes hexadecimal text of `size` bytes.
Result<std::string> parseHex(std::string_view flag, std::string_view text,
                             std::size_t size);

/// Encodes bytes as lower-case hexadecimal text.
std::string toHex(std::string_view bytes);

/// Splits a text at commas; returns an empty list for an empty text.
std::vector<std::string> splitList(std::string_view text);

std::string toString(const Endpoint &e);

} // namespace drumlanding::base

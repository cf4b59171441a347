/// Bundle: the operators' configuration of the system, in one document. It
/// changes only through a new signed version.
///
///   Result<Bundle> r = parseBundle(text);
///   const Organisation *o = value(r).organisation("school-1");
#pragma once

#include "drumlanding/base/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::bundle {

/// A hall with entry VMs and backend servers.
struct Place {
  std::string Name;
  std::string FailureDomain;
  std::string Region;
};

/// The network link between two places; symmetric.
struct Link {
  std::string From;
  std::string To;
  double OneWayMs = 0;
};

struct Model {
  std::string Name;
  std::vector<std::string> Versions;
  std::vector<std::string> Adapters;
};

enum class ServiceKind { Engine, Plain };

/// A group of interchangeable backend servers.
struct Service {
  std::string Name;
  ServiceKind Kind = ServiceKind::Plain;
  /// Names of its backend servers. A replacement VM keeps the name.
  std::vector<std::string> Servers;
  /// For engine services: the models that its servers may load.
  std::vector<std::string> Models;
};

/// Guarantees and limits of an organisation.
struct Contract {
  /// From 0 (lowest) to 9 (highest).
  int Priority = 5;
  /// Weight relative to other organisations of the same priority.
  double Share = 1;
  std::vector<std::string> Models;
  std::vector<std::string> Services;
  /// Maximum number of open requests, per entry.
  int MaxOpen = 0;
  /// Maximum rate of new requests, per entry.
  double RequestsPerSecond = 0;
  /// A request is refused immediately when its predicted wait is longer.
  std::chrono::milliseconds MaxQueueWait{0};
  /// Cost weights of a second of stall and of a long gap between tokens.
  double StallWeight = 1;
  double GapWeight = 1;
};

struct Organisation {
  std::string Name;
  /// BLAKE2b-256 of the credential, hexadecimal; the credential is not stored.
  std::string CredentialHash;
  bundle::Contract Contract;
};

struct Limits {
  std::uint32_t MaxBodyBytes = 0;
  std::uint32_t MaxPromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
};

struct Bundle {
  std::uint64_t Version = 0;
  std::string Deployment;
  std::vector<Place> Places;
  std::vector<Link> Links;
  std::vector<Model> Models;
  std::vector<Service> Services;
  std::vector<Organisation> Organisations;
  bundle::Limits Limits;
  /// Backend servers that must not get new work.
  std::vector<std::string> Drain;

  const Organisation *organisation(std::string_view name) const;
  const Model *model(std::string_view name) const;
  const Service *service(std::string_view name) const;
  const Service *serviceOfModel(std::string_view model) const;
  bool isDraining(std::string_view server) const;
  /// Returns the one-way delay between two places in milliseconds: 0 within a
  /// place, and a conservative default when the bundle has no such link.
  double oneWayMs(std::string_view from, std::string_view to) const;
};

/// Parses and validates a bundle. An error's `Where` is the path in the
/// document, such as organisations[3].contract.share.
base::Result<Bundle> parseBundle(std::string_view json);

/// Returns the hash of a credential, as bundles store it.
std::string credentialHash(std::string_view credential);

/// Returns one line per changed value, such as
/// "organisations.school-1.contract.share: 1 -> 2". Both must be valid JSON.
base::Result<std::vector<std::string>> diffBundles(std::string_view oldJson,
                                                   std::string_view newJson);

} // namespace drumlanding::bundle

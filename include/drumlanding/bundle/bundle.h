/// Bundle: the operators' one document. Everything the system does follows
/// from it; it changes only by a new signed version.
///
///   Result<Bundle> r = parseBundle(text);
///   const Organisation *o = value(r).organisationOf(credential);
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

/// The network between two places, the same both ways.
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

/// A group of equal backend servers.
struct Service {
  std::string Name;
  ServiceKind Kind = ServiceKind::Plain;
  /// The names of its backend servers. They stay while VMs are replaced.
  std::vector<std::string> Servers;
  /// Engine services: the models its servers may load.
  std::vector<std::string> Models;
};

/// What an organisation is promised and allowed.
struct Contract {
  /// 0 (last) to 9 (first).
  int Priority = 5;
  /// Weight against other organisations of the same priority.
  double Share = 1;
  std::vector<std::string> Models;
  std::vector<std::string> Services;
  /// Most requests open at a time, per entry.
  int MaxOpen = 0;
  /// Most new requests a second, per entry.
  double RequestsPerSecond = 0;
  /// A request is refused at once when it would wait longer than this.
  std::chrono::milliseconds MaxQueueWait{0};
  /// How much a second of stall, and a long gap between tokens, weigh.
  double StallWeight = 1;
  double GapWeight = 1;
};

struct Organisation {
  std::string Name;
  /// BLAKE2b-256 of the credential, hexadecimal; the credential is never kept.
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
  /// Backend servers that must take no new work.
  std::vector<std::string> Drain;

  const Organisation *organisation(std::string_view name) const;
  const Model *model(std::string_view name) const;
  const Service *service(std::string_view name) const;
  const Service *serviceOfModel(std::string_view model) const;
  bool isDraining(std::string_view server) const;
  /// One-way time between two places in milliseconds; 0 within a place, a
  /// cautious constant where the bundle names no link.
  double oneWayMs(std::string_view from, std::string_view to) const;
};

/// Reads and checks a bundle. An error's `Where` is the path in the document,
/// such as organisations[3].contract.share.
base::Result<Bundle> parseBundle(std::string_view json);

/// Returns the hash under which a bundle holds a credential.
std::string credentialHash(std::string_view credential);

/// Returns one line for each difference, such as
/// "organisations.school-1.contract.share: 1 -> 2". Both must be valid JSON.
base::Result<std::vector<std::string>> diffBundles(std::string_view oldJson,
                                                   std::string_view newJson);

} // namespace drumlanding::bundle

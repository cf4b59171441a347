#include "drumlanding/bundle/bundle.h"

#include "drumlanding/base/settings.h"
#include "json-reader.h"

#include <algorithm>
#include <set>
#include <sodium.h>

namespace drumlanding::bundle {
namespace {

using base::Error;
using base::Result;
using Json = nlohmann::json;

constexpr std::size_t CredentialHashDigits = 64;
constexpr double DefaultOneWayMs = 50;
/// JSON numbers are read as doubles, which are exact up to 2^53 (9.007e15).
constexpr double MaxVersion = 9e15;

template <typename T>
const T *findByName(const std::vector<T> &all, std::string_view name) {
  const auto it = std::find_if(all.begin(), all.end(),
                               [&](const T &t) { return t.Name == name; });
  return it == all.end() ? nullptr : &*it;
}

bool contains(const std::vector<std::string> &names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

Place readPlace(const JsonReader &r) {
  r.allowOnly({"name", "failureDomain", "region"});
  return {r.name("name"), r.name("failureDomain"), r.name("region")};
}

Link readLink(const JsonReader &r) {
  r.allowOnly({"from", "to", "oneWayMs"});
  return {r.name("from"), r.name("to"), r.number("oneWayMs", {0, 1000})};
}

Model readModel(const JsonReader &r) {
  r.allowOnly({"name", "versions", "adapters"});
  Model model{r.name("name"), r.names("versions"), r.names("adapters")};
  if (model.Versions.empty())
    r.fail(r.pathOf("versions"), "expected at least one version");
  return model;
}

Service readService(const JsonReader &r) {
  r.allowOnly({"name", "kind", "servers", "models"});
  Service service;
  service.Name = r.name("name");
  const std::string kind = r.text("kind");
  if (kind != "engine" && kind != "plain")
    r.fail(r.pathOf("kind"), "expected 'engine' or 'plain'");
  service.Kind = kind == "engine" ? ServiceKind::Engine : ServiceKind::Plain;
  service.Servers = r.names("servers");
  if (service.Kind == ServiceKind::Engine)
    service.Models = r.names("models");
  return service;
}

Contract readContract(const JsonReader &r) {
  r.allowOnly({"priority", "share", "models", "services", "maxOpen",
               "requestsPerSecond", "maxQueueWaitMs", "stallWeight",
               "gapWeight"});
  Contract c;
  c.Priority = static_cast<int>(r.integer("priority", {0, 9}));
  c.Share = r.number("share", {0.001, 1000});
  c.Models = r.names("models");
  c.Services = r.names("services");
  c.MaxOpen = static_cast<int>(r.integer("maxOpen", {1, 1e6}));
  c.RequestsPerSecond = r.number("requestsPerSecond", {0.001, 1e6});
  c.MaxQueueWait =
      std::chrono::milliseconds(r.integer("maxQueueWaitMs", {0, 600'000}));
  c.StallWeight = r.number("stallWeight", {0, 100});
  c.GapWeight = r.number("gapWeight", {0, 100});
  return c;
}

Organisation readOrganisation(const JsonReader &r) {
  r.allowOnly({"name", "credentialHash", "contract"});
  Organisation o{r.name("name"), r.text("credentialHash"),
                 readContract(r.object("contract"))};
  if (!ok(base::parseHex("", o.CredentialHash, CredentialHashDigits / 2)))
    r.fail(r.pathOf("credentialHash"),
           "expected 64 hexadecimal digits (from drumlandingctl credential)");
  return o;
}

Limits readLimits(const JsonReader &r) {
  r.allowOnly({"maxBodyBytes", "maxPromptTokens", "maxOutputTokens"});
  Limits l;
  l.MaxBodyBytes =
      static_cast<std::uint32_t>(r.integer("maxBodyBytes", {256, 4 << 20}));
  l.MaxPromptTokens =
      static_cast<std::uint32_t>(r.integer("maxPromptTokens", {1, 1e6}));
  l.MaxOutputTokens =
      static_cast<std::uint32_t>(r.integer("maxOutputTokens", {1, 1e6}));
  return l;
}

/// Fails when two elements of an array have the same name.
template <typename T>
void checkUnique(const JsonReader &r, std::string_view list,
                 const std::vector<T> &all) {
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < all.size(); ++i)
    if (!seen.insert(all[i].Name).second)
      r.fail(std::string(list) + "[" + std::to_string(i) + "].name",
             "'" + all[i].Name + "' occurs twice");
}

/// Fails at `path` when a name refers to no element of `all`.
template <typename T>
void checkKnown(const JsonReader &r, const std::string &path,
                const std::vector<std::string> &names,
                const std::vector<T> &all) {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (!findByName(all, names[i]))
      r.fail(path + "[" + std::to_string(i) + "]",
             "'" + names[i] + "' is not in the bundle");
}

void checkServers(const JsonReader &r, const Bundle &b) {
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < b.Services.size(); ++i)
    for (const std::string &server : b.Services[i].Servers)
      if (!seen.insert(server).second)
        r.fail("services[" + std::to_string(i) + "].servers",
               "'" + server + "' occurs twice");
  for (std::size_t i = 0; i < b.Drain.size(); ++i)
    if (!seen.contains(b.Drain[i]))
      r.fail("drain[" + std::to_string(i) + "]",
             "'" + b.Drain[i] + "' is not a backend server in the bundle");
}

void checkReferences(const JsonReader &r, const Bundle &b) {
  checkUnique(r, "places", b.Places);
  checkUnique(r, "models", b.Models);
  checkUnique(r, "services", b.Services);
  checkUnique(r, "organisations", b.Organisations);
  checkServers(r, b);
  for (std::size_t i = 0; i < b.Links.size(); ++i) {
    const std::string path = "links[" + std::to_string(i) + "]";
    checkKnown(r, path + ".from", {b.Links[i].From}, b.Places);
    checkKnown(r, path + ".to", {b.Links[i].To}, b.Places);
  }
  for (std::size_t i = 0; i < b.Services.size(); ++i)
    checkKnown(r, "services[" + std::to_string(i) + "].models",
               b.Services[i].Models, b.Models);
  std::set<std::string_view> hashes;
  for (std::size_t i = 0; i < b.Organisations.size(); ++i) {
    const std::string path = "organisations[" + std::to_string(i) + "]";
    const Organisation &o = b.Organisations[i];
    checkKnown(r, path + ".contract.models", o.Contract.Models, b.Models);
    checkKnown(r, path + ".contract.services", o.Contract.Services, b.Services);
    if (!hashes.insert(o.CredentialHash).second)
      r.fail(path + ".credentialHash",
             "another organisation has the same credential");
  }
}

Bundle readBundle(const JsonReader &r) {
  r.allowOnly({"version", "deployment", "places", "links", "models", "services",
               "organisations", "limits", "drain"});
  Bundle b;
  b.Version = static_cast<std::uint64_t>(r.integer("version", {1, MaxVersion}));
  b.Deployment = r.name("deployment");
  r.objects("places",
            [&](const JsonReader &o) { b.Places.push_back(readPlace(o)); });
  r.objects("links",
            [&](const JsonReader &o) { b.Links.push_back(readLink(o)); });
  r.objects("models",
            [&](const JsonReader &o) { b.Models.push_back(readModel(o)); });
  r.objects("services",
            [&](const JsonReader &o) { b.Services.push_back(readService(o)); });
  r.objects("organisations", [&](const JsonReader &o) {
    b.Organisations.push_back(readOrganisation(o));
  });
  b.Limits = readLimits(r.object("limits"));
  b.Drain = r.names("drain");
  return b;
}

/// Converts arrays of named objects to objects keyed by name, so that a changed
/// order is not reported as a difference.
Json keyedByName(const Json &json) {
  if (json.is_object()) {
    Json keyed = Json::object();
    for (const auto &[key, member] : json.items())
      keyed[key] = keyedByName(member);
    return keyed;
  }
  const bool named = json.is_array() && !json.empty() && json[0].is_object() &&
                     json[0].contains("name");
  if (!named)
    return json;
  Json keyed = Json::object();
  for (const Json &element : json)
    if (element.is_object() && element.contains("name") &&
        element["name"].is_string())
      keyed[element["name"].get<std::string>()] = keyedByName(element);
  return keyed;
}

void diffValues(const Json &a, const Json &b, const std::string &path,
                std::vector<std::string> &lines) {
  if (a == b)
    return;
  if (!a.is_object() || !b.is_object()) {
    lines.push_back(path + ": " + a.dump() + " -> " + b.dump());
    return;
  }
  const std::string prefix = path.empty() ? "" : path + ".";
  for (const auto &[key, member] : a.items()) {
    if (b.contains(key))
      diffValues(member, b[key], prefix + key, lines);
    else
      lines.push_back(prefix + key + ": removed");
  }
  for (const auto &[key, member] : b.items())
    if (!a.contains(key))
      lines.push_back(prefix + key + ": added");
}

} // namespace

const Organisation *Bundle::organisation(std::string_view name) const {
  return findByName(Organisations, name);
}
const Model *Bundle::model(std::string_view name) const {
  return findByName(Models, name);
}
const Service *Bundle::service(std::string_view name) const {
  return findByName(Services, name);
}

const Service *Bundle::serviceOfModel(std::string_view model) const {
  for (const Service &service : Services)
    if (contains(service.Models, model))
      return &service;
  return nullptr;
}

bool Bundle::isDraining(std::string_view server) const {
  return contains(Drain, server);
}

double Bundle::oneWayMs(std::string_view from, std::string_view to) const {
  if (from == to)
    return 0;
  for (const Link &link : Links)
    if ((link.From == from && link.To == to) ||
        (link.From == to && link.To == from))
      return link.OneWayMs;
  return DefaultOneWayMs;
}

Result<Bundle> parseBundle(std::string_view json) {
  const Json document = Json::parse(json, nullptr, false);
  if (document.is_discarded())
    return base::invalid("bundle", "is not valid JSON");
  if (!document.is_object())
    return base::invalid("bundle", "expected an object");
  std::optional<Error> failure;
  const JsonReader reader(document, "", failure);
  Bundle bundle = readBundle(reader);
  if (!failure)
    checkReferences(reader, bundle);
  if (failure)
    return *failure;
  return bundle;
}

std::string credentialHash(std::string_view credential) {
  std::string hash(CredentialHashDigits / 2, '\0');
  crypto_generichash(reinterpret_cast<unsigned char *>(hash.data()),
                     hash.size(),
                     reinterpret_cast<const unsigned char *>(credential.data()),
                     credential.size(), nullptr, 0);
  return base::toHex(hash);
}

Result<std::vector<std::string>> diffBundles(std::string_view oldJson,
                                             std::string_view newJson) {
  const Json a = Json::parse(oldJson, nullptr, false);
  const Json b = Json::parse(newJson, nullptr, false);
  if (a.is_discarded() || b.is_discarded())
    return base::invalid(a.is_discarded() ? "old bundle" : "new bundle",
                         "is not valid JSON");
  std::vector<std::string> lines;
  diffValues(keyedByName(a), keyedByName(b), "", lines);
  return lines;
}

} // namespace drumlanding::bundle

/// The operators' config of the cases, in the platform's form.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace drumlanding::review {

struct ConfigOptions {
  int Version = 1;
  int MaxBodyBytes = 4'194'304;
  int IdleTimeoutMs = 15'000;
  /// False if the only tenant has been taken away with its keys.
  bool HasTenant = true;
};

inline constexpr const char *Host = "pupils.example";
inline constexpr const char *Key = "xd9dnn2ctnfzs989anu6";
inline constexpr const char *ModelService = "tutor-llm";
inline constexpr const char *PlainService = "lernapp";
inline constexpr const char *StreamPath = "/hints/1";
inline constexpr const char *LongStreamPath = "/answers/1";
inline constexpr const char *SavePath = "/saves/1";
inline constexpr const char *SheetPath = "/sheets/1";

/// The other key of the tenant.
inline constexpr const char *SecondKey = "wsjnbanfqasnmgkcuyj8";

/// Returns a config with streaming routes to the model service, and routes of
/// both other kinds to the plain service.
inline std::string makeConfig(const ConfigOptions &options) {
  using Json = nlohmann::json;
  const auto route = [](const char *name, const char *prefix, const char *kind,
                        const char *service, int timeoutMs, int attempts) {
    return Json{
        {"name", name},    {"host", Host},           {"pathPrefix", prefix},
        {"kind", kind},    {"timeoutMs", timeoutMs}, {"sloMs", 1'500},
        {"priority", 1},   {"backend", service},     {"maxAttempts", attempts},
        {"public", false}, {"sticky", false},        {"resumable", false}};
  };
  const Json engine{
      {"slots", 64},         {"kvCapTokens", 34'459}, {"kvTokenBytes", 18'432},
      {"linkMbps", 2'700.0}, {"moves", true},         {"stride", 4},
      {"handleS", 5.0}};
  const Json tenants = Json::array(
      {{{"name", "huka270"}, {"apiKeys", {Key, SecondKey}}, {"priority", 1}}});
  return Json{
      {"version", options.Version},
      {"routes",
       {route("answers", "/answers/", "streaming", ModelService, 39'000, 1),
        route("hints", "/hints/", "streaming", ModelService, 6'000, 1),
        route("saves", "/saves/", "non_idempotent", PlainService, 3'000, 2),
        route("sheets", "/sheets/", "idempotent", PlainService, 3'000, 2)}},
      {"services",
       {{{"name", ModelService},
         {"healthPath", "/healthz"},
         {"maxConns", 442},
         {"protocol", "h1"},
         {"tls", false},
         {"engine", engine}},
        {{"name", PlainService},
         {"healthPath", "/healthz"},
         {"maxConns", 110},
         {"protocol", "h1"},
         {"tls", false}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", options.MaxBodyBytes},
        {"headerTimeoutMs", 3'000},
        {"idleTimeoutMs", options.IdleTimeoutMs}}},
      {"tenants", options.HasTenant ? tenants : Json::array()}}
      .dump();
}

} // namespace drumlanding::review

/// Example bundles and keys for tests.
#pragma once

#include "drumlanding/bundle/signature.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace drumlanding::test {

inline constexpr const char *Credential1 = "credential-1";
inline constexpr const char *Credential2 = "credential-2";

inline nlohmann::json organisationJson(const std::string &name,
                                       const std::string &credential) {
  return {{"name", name},
          {"credentialHash", bundle::credentialHash(credential)},
          {"contract",
           {{"priority", 5},
            {"share", 1.0},
            {"models", {"tutor-llm"}},
            {"services", {"lernapp"}},
            {"maxOpen", 100000},
            {"requestsPerSecond", 100000},
            {"maxQueueWaitMs", 600000},
            {"stallWeight", 1},
            {"gapWeight", 1}}}};
}

/// Returns a bundle with two organisations, two engines and two plain servers.
inline nlohmann::json exampleJson(std::uint64_t version) {
  return {
      {"version", version},
      {"deployment", "test"},
      {"places",
       {{{"name", "hall-a"}, {"failureDomain", "a"}, {"region", "r"}},
        {{"name", "hall-b"}, {"failureDomain", "b"}, {"region", "r"}}}},
      {"links", {{{"from", "hall-a"}, {"to", "hall-b"}, {"oneWayMs", 1.5}}}},
      {"models",
       {{{"name", "tutor-llm"},
         {"versions", {"1"}},
         {"adapters", nlohmann::json::array()}}}},
      {"services",
       {{{"name", "tutor-llm"},
         {"kind", "engine"},
         {"servers", {"tutor-llm-1", "tutor-llm-2"}},
         {"models", {"tutor-llm"}}},
        {{"name", "lernapp"},
         {"kind", "plain"},
         {"servers", {"lernapp-1", "lernapp-2"}}}}},
      {"organisations",
       {organisationJson("school-1", Credential1),
        organisationJson("school-2", Credential2)}},
      {"limits",
       {{"maxBodyBytes", 100000},
        {"maxPromptTokens", 20000},
        {"maxOutputTokens", 20000}}},
      {"drain", nlohmann::json::array()}};
}

/// The key pairs of an author and an approver.
struct Signers {
  bundle::KeyPair Author = bundle::makeKeyPair();
  bundle::KeyPair Approver = bundle::makeKeyPair();

  bundle::TrustedKeys trusted() const {
    return {{Author.Public}, {Approver.Public}};
  }
  bundle::SignedBundle signedBundle(const nlohmann::json &json) const {
    bundle::SignedBundle b{json.dump(), {}, {}};
    bundle::sign(b, bundle::Role::Author, Author.Secret);
    bundle::sign(b, bundle::Role::Approver, Approver.Secret);
    return b;
  }
  std::string serialised(const nlohmann::json &json) const {
    return bundle::serialise(signedBundle(json));
  }
};

} // namespace drumlanding::test

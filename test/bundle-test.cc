#include "drumlanding/bundle/bundle.h"
#include "drumlanding/bundle/signature.h"
#include "drumlanding/plan/document-store.h"

#include "test-bundles.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace drumlanding::bundle {
namespace {

using Json = nlohmann::json;

std::string errorLocation(const Json &json) {
  const auto r = parseBundle(json.dump());
  return ok(r) ? "" : error(r).Where;
}

TEST(Bundle, ParsesExample) {
  const auto r = parseBundle(test::exampleJson(3).dump());
  ASSERT_TRUE(ok(r)) << describe(error(r));
  EXPECT_EQ(value(r).Version, 3U);
  EXPECT_EQ(value(r).serviceOfModel("tutor-llm")->Name, "tutor-llm");
  EXPECT_DOUBLE_EQ(value(r).oneWayMs("hall-b", "hall-a"), 1.5);
}

TEST(Bundle, ErrorsNameTheInvalidPath) {
  Json json = test::exampleJson(1);
  json["organisations"][1]["contract"]["share"] = -1;
  EXPECT_EQ(errorLocation(json), "organisations[1].contract.share");
  json = test::exampleJson(1);
  json["organisations"][0]["contract"]["models"] = {"no-such"};
  EXPECT_EQ(errorLocation(json), "organisations[0].contract.models[0]");
  json = test::exampleJson(1);
  json["limits"].erase("maxBodyBytes");
  EXPECT_EQ(errorLocation(json), "limits.maxBodyBytes");
  json = test::exampleJson(1);
  json["plases"] = 1;
  EXPECT_EQ(errorLocation(json), "plases");
  json = test::exampleJson(1);
  json["drain"] = {"nobody"};
  EXPECT_EQ(errorLocation(json), "drain[0]");
  json = test::exampleJson(1);
  json["services"][1]["servers"] = {"tutor-llm-1"};
  EXPECT_EQ(errorLocation(json), "services[1].servers");
  EXPECT_FALSE(ok(parseBundle("{")));
}

TEST(Bundle, DiffListsEachChange) {
  Json a = test::exampleJson(1);
  Json b = a;
  b["organisations"][0]["contract"]["share"] = 9;
  std::swap(b["organisations"][0], b["organisations"][1]);
  const auto lines = diffBundles(a.dump(), b.dump());
  ASSERT_TRUE(ok(lines));
  ASSERT_EQ(value(lines).size(), 1U);
  EXPECT_EQ(value(lines)[0], "organisations.school-1.contract.share: 1.0 -> 9");
}

TEST(Signature, RequiresTwoDifferentTrustedKeys) {
  const test::Signers signers;
  SignedBundle b = signers.signedBundle(test::exampleJson(1));
  EXPECT_TRUE(ok(verify(b, signers.trusted())));

  SignedBundle changed = b;
  changed.Document[20] ^= 1;
  EXPECT_EQ(error(verify(changed, signers.trusted())).Where,
            "signatures.author");

  SignedBundle unapproved = b;
  unapproved.Approver = {};
  EXPECT_FALSE(ok(verify(unapproved, signers.trusted())));

  SignedBundle untrusted = b;
  sign(untrusted, Role::Approver, makeKeyPair().Secret);
  EXPECT_FALSE(ok(verify(untrusted, signers.trusted())));

  // The author's signature is not valid as the approver's, and one key cannot
  // sign in both roles.
  SignedBundle swapped = b;
  swapped.Approver = b.Author;
  const TrustedKeys both{{signers.Author.Public}, {signers.Author.Public}};
  EXPECT_FALSE(ok(verify(swapped, both)));
  sign(swapped, Role::Approver, signers.Author.Secret);
  EXPECT_FALSE(ok(verify(swapped, both)));
}

TEST(DocumentStore, VersionNeverDecreases) {
  const test::Signers signers;
  plan::DocumentStore store(signers.trusted());
  const auto offer = [&](std::uint64_t version) {
    return store.offer({}, wire::BUNDLE,
                       signers.serialised(test::exampleJson(version)));
  };
  EXPECT_EQ(offer(2), plan::OfferResult::Taken);
  EXPECT_EQ(offer(1), plan::OfferResult::Older);
  EXPECT_EQ(offer(2), plan::OfferResult::Known);
  EXPECT_EQ(offer(3), plan::OfferResult::Taken);
  EXPECT_EQ(store.bundle()->Version, 3U);
  EXPECT_EQ(store.offer({}, wire::BUNDLE, "{}"), plan::OfferResult::Invalid);
  EXPECT_EQ(store.versions().bundle(), 3U);
}

TEST(DocumentStore, SendsChangesAsDelta) {
  const test::Signers signers;
  plan::DocumentStore from(signers.trusted());
  plan::DocumentStore to(signers.trusted());
  Json json = test::exampleJson(1);
  from.offer({}, wire::BUNDLE, signers.serialised(json));
  EXPECT_EQ(to.offerPacked({}, from.pack(wire::BUNDLE, 0)),
            plan::OfferResult::Taken);
  json["version"] = 2;
  json["organisations"][1]["contract"]["share"] = 7;
  from.offer({}, wire::BUNDLE, signers.serialised(json));
  const wire::Document delta = from.pack(wire::BUNDLE, 1);
  EXPECT_EQ(delta.base_version(), 1U);
  EXPECT_LT(delta.body().size(), 1'000U);

  // The signatures of the patched bundle detect a changed byte in the delta.
  wire::Document changed = delta;
  const auto at = changed.body().find("\"value\":7");
  ASSERT_NE(at, std::string::npos);
  (*changed.mutable_body())[at + 8] = '8';
  EXPECT_EQ(to.offerPacked({}, changed), plan::OfferResult::Invalid);
  EXPECT_EQ(to.versions().bundle(), 1U);

  EXPECT_EQ(to.offerPacked({}, delta), plan::OfferResult::Taken);
  EXPECT_EQ(to.bundle()->Organisations[1].Contract.Share, 7);
  // A repeated delta is older; a store without the base rejects it.
  EXPECT_EQ(to.offerPacked({}, delta), plan::OfferResult::Older);
  plan::DocumentStore fresh(signers.trusted());
  EXPECT_EQ(fresh.offerPacked({}, delta), plan::OfferResult::Invalid);
  EXPECT_EQ(fresh.offerPacked({}, from.pack(wire::BUNDLE, 0)),
            plan::OfferResult::Taken);
}

} // namespace
} // namespace drumlanding::bundle

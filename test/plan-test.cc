#include "drumlanding/plan/plan.h"

#include "test-bundles.h"

#include <gtest/gtest.h>

namespace drumlanding::plan {
namespace {

bundle::Bundle bundleWith(std::uint64_t version,
                          std::vector<std::string> modelVersions) {
  nlohmann::json json = test::exampleJson(version);
  json["models"][0]["versions"] = modelVersions;
  return base::value(bundle::parseBundle(json.dump()));
}

std::vector<PlannedServer> twoServers() {
  return {{"tutor-llm-1", "tutor-llm", false},
          {"tutor-llm-2", "tutor-llm", false},
          {"lernapp-1", "lernapp", false}};
}

std::string versionOn(const Plan &plan, std::string_view server) {
  return plan.assignment(server)->Models.at(0).Version;
}

TEST(Plan, UnchangedPlanKeepsItsVersion) {
  const auto bundle = bundleWith(1, {"1"});
  const Plan first = makePlan(bundle, twoServers(), {});
  EXPECT_EQ(first.Version, 1U);
  EXPECT_EQ(first.Assignments.size(), 2U);
  EXPECT_EQ(makePlan(bundle, twoServers(), first).Version, 1U);
}

TEST(Plan, RollsOutModelVersionOneServerAtATime) {
  const Plan first = makePlan(bundleWith(1, {"1"}), twoServers(), {});
  const auto newer = bundleWith(2, {"1", "2"});
  const Plan second = makePlan(newer, twoServers(), first);
  EXPECT_EQ(second.Version, 2U);
  EXPECT_EQ(versionOn(second, "tutor-llm-1"), "2");
  EXPECT_EQ(versionOn(second, "tutor-llm-2"), "1");
  // No other server changes until the changed one has loaded its models.
  EXPECT_EQ(makePlan(newer, twoServers(), second, 0).Version, 2U);
  const Plan third = makePlan(newer, twoServers(), second);
  EXPECT_EQ(versionOn(third, "tutor-llm-2"), "2");
}

TEST(Plan, LeavingServerKeepsItsAssignment) {
  const Plan first = makePlan(bundleWith(1, {"1"}), twoServers(), {});
  auto servers = twoServers();
  servers[0].Leaving = true;
  const Plan second = makePlan(bundleWith(2, {"1", "2"}), servers, first);
  EXPECT_EQ(versionOn(second, "tutor-llm-1"), "1");
  EXPECT_EQ(versionOn(second, "tutor-llm-2"), "2");
}

TEST(Plan, RoundTripsThroughJsonAndRejectsMalformedText) {
  const Plan plan = makePlan(bundleWith(1, {"1"}), twoServers(), {});
  const auto parsed = parsePlan(serialise(plan));
  ASSERT_TRUE(ok(parsed));
  EXPECT_EQ(base::value(parsed).Assignments, plan.Assignments);
  EXPECT_FALSE(ok(parsePlan("{\"version\": \"x\"}")));
  EXPECT_FALSE(ok(parsePlan("[]")));
}

} // namespace
} // namespace drumlanding::plan

#include "plan-leader.h"

#include "control.pb.h"

#include <gtest/gtest.h>

namespace drumlanding::entry {
namespace {

plan::Assignment assignment(std::vector<std::string> adapters) {
  plan::Assignment assigned;
  assigned.Models.push_back({"tutor-llm", "1", std::move(adapters)});
  return assigned;
}

/// Guards against a roll-out that changes only adapters and counts as converged
/// at once, so that all engines reload at the same time.
TEST(PlanLeader, AServerWithoutAnAssignedAdapterHasNotConverged) {
  wire::Report report;
  report.add_models("tutor-llm@1");
  EXPECT_TRUE(reportsAllModels(report, assignment({})));
  EXPECT_FALSE(reportsAllModels(report, assignment({"physics"})));
  report.add_models("tutor-llm@1+maths");
  EXPECT_FALSE(reportsAllModels(report, assignment({"maths", "physics"})));
  report.add_models("tutor-llm@1+physics");
  EXPECT_TRUE(reportsAllModels(report, assignment({"maths", "physics"})));
  EXPECT_TRUE(reportsAllModels(report, assignment({"maths"})));
}

TEST(PlanLeader, AServerWithAnotherVersionHasNotConverged) {
  wire::Report report;
  report.add_models("tutor-llm@2");
  EXPECT_FALSE(reportsAllModels(report, assignment({})));
}

} // namespace
} // namespace drumlanding::entry

// Tests of `drumlandingctl explain`: log lines as gateways write them, and the
// cause that is derived from them.
#include "explain.h"

#include <gtest/gtest.h>

namespace drumlanding::ctl {
namespace {

std::vector<LogLine> parseAll(const std::vector<std::string> &lines) {
  std::vector<LogLine> parsed;
  for (const std::string &line : lines)
    if (auto read = parseLogLine(line))
      parsed.push_back(std::move(*read));
  return parsed;
}

std::string causeOf(const std::vector<LogLine> &lines, const char *request) {
  const auto trace = explain(lines, request);
  return ok(trace) ? value(trace).Cause : describe(error(trace));
}

TEST(Explain, ParsesPrefixedLinesAndSkipsOthers) {
  EXPECT_FALSE(parseLogLine("a stack trace").has_value());
  EXPECT_FALSE(parseLogLine("{not json").has_value());
  EXPECT_FALSE(parseLogLine(R"({"a":1})").has_value());
  const auto line = parseLogLine(
      R"(  1.5 g1 {"time_ms":1500,"process":"g1","event":"placed","server":"s"})");
  ASSERT_TRUE(line.has_value());
  EXPECT_EQ(line->TimeMs, 1'500);
  EXPECT_EQ(line->text("server"), "s");
}

TEST(Explain, StreamWithLateMigration) {
  const auto lines = parseAll(
      {R"({"time_ms":1000,"process":"g1","event":"placed","request":"r","server":"s1"})",
       R"({"time_ms":1100,"process":"g1","event":"server-leaving","server":"s1"})",
       R"({"time_ms":1150,"process":"g1","event":"server-leaving","server":"other"})",
       R"({"time_ms":2500,"process":"g1","event":"move-begun","request":"r","from":"s1","to":"s2","ms_left":60})",
       R"({"time_ms":2600,"process":"g1","event":"stream-ended","request":"r","server":"s1","how":"broken off"})"});
  EXPECT_EQ(
      causeOf(lines, "r"),
      "s1 left; the migration began with 60 ms remaining and was not completed "
      "in time.");
  const auto trace = explain(lines, "r");
  EXPECT_EQ(value(trace).Lines.size(), 4U);
}

TEST(Explain, ServerDisconnectedWithoutNotice) {
  const auto lines = parseAll(
      {R"({"time_ms":1000,"process":"g1","event":"placed","request":"r","server":"s1"})",
       R"({"time_ms":1003,"process":"g1","event":"stream-ended","request":"r","server":"","how":"no head"})"});
  EXPECT_EQ(causeOf(lines, "r"),
            "s1 closed the connection without notice (no head).");
}

TEST(Explain, ARefusedSuspect) {
  const char *cause = "Backend servers had ended while they ran this request, "
                      "at this or another gateway: it was not sent to another "
                      "one.";
  const auto call = parseAll(
      {R"({"time_ms":1000,"process":"g1","event":"suspect-refused","request":"r","why":"quarantined"})",
       R"({"time_ms":1000,"process":"g1","event":"request-ended","request":"r","status":503,"why":"suspect","sends":0})"});
  EXPECT_EQ(causeOf(call, "r"), cause);
  const auto stream = parseAll(
      {R"({"time_ms":1000,"process":"g1","event":"stream-ended","request":"r","how":"suspect"})"});
  EXPECT_EQ(causeOf(stream, "r"), cause);
}

TEST(Explain, GatewayCrashedOrStopped) {
  const std::string placed =
      R"({"time_ms":1000,"process":"g1","event":"placed","request":"r","server":"s1"})";
  EXPECT_EQ(causeOf(parseAll({placed}), "r"),
            "The logs end before the request.");
  EXPECT_EQ(
      causeOf(
          parseAll({placed,
                    R"({"time_ms":900,"process":"g1","event":"started"})",
                    R"({"time_ms":2000,"process":"g1","event":"started"})"}),
          "r"),
      "g1 crashed while serving the request.");
  EXPECT_EQ(
      causeOf(
          parseAll(
              {placed, R"({"time_ms":1500,"process":"g1","event":"stopping"})",
               R"({"time_ms":9000,"process":"g1","event":"stopped","open":2})"}),
          "r"),
      "g1 was stopped and reached its drain limit with 2 requests open.");
}

TEST(Explain, CausesByCallStatus) {
  const auto ended = [](const char *rest) {
    return parseAll({std::string(R"({"time_ms":1,"process":"g","event":)"
                                 R"("request-ended","request":"r",)") +
                     rest + "}"});
  };
  EXPECT_EQ(causeOf(ended(R"("status":502,"why":"no whole answer")"), "r"),
            "It was sent and no complete response arrived: it may have run.");
  EXPECT_EQ(causeOf(ended(R"("status":503,"why":"no server")"), "r"),
            "No server accepted it, and it did not run.");
  EXPECT_EQ(causeOf(ended(R"("status":504,"why":"x","sends":1)"), "r"),
            "Its route's timeout expired while a server processed it.");
  EXPECT_EQ(causeOf(ended(R"("status":500,"why":"answered")"), "r"),
            "A server responded with status 500.");
  EXPECT_EQ(causeOf({}, "r"), "r: no line of these logs names this request");
}

} // namespace
} // namespace drumlanding::ctl

#include "LibReplay/TraceFile.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace bergamothook;

TEST_CASE("the recorded traces come out as stated") {
  std::filesystem::path Folder =
      std::filesystem::path(BERGAMOTHOOK_TEST_DATA) / "Traces";
  std::size_t Traces = 0;
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    CAPTURE(File.path().filename().string());
    std::ifstream In(File.path());
    std::size_t Line = 0;
    auto Read = readTrace(In, Line);
    REQUIRE(Read);
    ScenarioReport Report = runScenario(Read.value());
    for (const auto &Broken : Report.Violations)
      FAIL_CHECK(Broken);
    for (const auto &Difference : Report.Differences)
      FAIL_CHECK(Difference);
    CHECK(Report.FaultsStruck == Read.value().Faults.size());
    ++Traces;
  }
  CHECK(Traces >= 6);
}

TEST_CASE("a request survives being written and read") {
  ScenarioRequest Request;
  Request.Kind = RequestKind::Stream;
  Request.Key = "k";
  Request.Expected = {Outcome::Done, Outcome::Unknown};
  Request.ExpectedRuns = 2;
  std::stringstream File;
  writeTraceRequest(File, Request);
  std::size_t Line = 0;
  auto Read = readTrace(File, Line);
  REQUIRE(Read);
  CHECK(Read.value().Requests[0].Kind == RequestKind::Stream);
  CHECK(Read.value().Requests[0].Expected == Request.Expected);
  CHECK(Read.value().Requests[0].ExpectedRuns == Request.ExpectedRuns);
}

TEST_CASE("a malformed trace is a typed error with its line") {
  std::size_t Line = 0;
  auto ProblemOf = [&Line](const std::string &Text) {
    std::istringstream In(Text);
    return readTrace(In, Line).error();
  };
  CHECK(ProblemOf("{") == TraceError::MalformedLine);
  CHECK(ProblemOf("[]") == TraceError::MalformedLine);
  CHECK(ProblemOf("") == TraceError::Empty);
  CHECK(ProblemOf("{\"type\":\"other\"}") == TraceError::UnknownType);
  std::string Good = R"({"type":"request","kind":"order","key":"k"})";
  auto Late = ProblemOf(Good + "\n" + R"({"type":"fault","kind":"x"})");
  CHECK(Late == TraceError::UnknownName);
  CHECK(Line == 2);
  CHECK(ProblemOf(Good + R"(
{"type":"fault","kind":"log-out","step":"claim","request":5})") ==
        TraceError::UnknownRequest);
}

#include "LibReplay/TraceFile.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace bergamothook;

TEST_CASE("the recorded traces produce the expected outcomes") {
  std::filesystem::path Folder =
      std::filesystem::path(BERGAMOTHOOK_TEST_DATA) / "Traces";
  std::size_t Traces = 0;
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    CAPTURE(File.path().filename().string());
    std::ifstream In(File.path());
    std::size_t LineNumber = 0;
    auto Parsed = readTrace(In, LineNumber);
    REQUIRE(Parsed);
    ScenarioReport Report = runScenario(Parsed.value());
    for (const auto &Violation : Report.Violations)
      FAIL_CHECK(Violation);
    for (const auto &Difference : Report.Differences)
      FAIL_CHECK(Difference);
    CHECK(Report.FaultsInjected == Parsed.value().Faults.size());
    ++Traces;
  }
  CHECK(Traces >= 6);
}

TEST_CASE("a request is unchanged after writing and reading") {
  ScenarioRequest Request;
  Request.Kind = RequestKind::Stream;
  Request.Key = "k";
  Request.Expected = {Outcome::Done, Outcome::Unknown};
  Request.ExpectedRuns = 2;
  std::stringstream File;
  writeTraceRequest(File, Request);
  std::size_t LineNumber = 0;
  auto Parsed = readTrace(File, LineNumber);
  REQUIRE(Parsed);
  CHECK(Parsed.value().Requests[0].Kind == RequestKind::Stream);
  CHECK(Parsed.value().Requests[0].Expected == Request.Expected);
  CHECK(Parsed.value().Requests[0].ExpectedRuns == Request.ExpectedRuns);
}

TEST_CASE("a malformed trace yields a typed error and its line number") {
  std::size_t LineNumber = 0;
  auto ErrorOf = [&LineNumber](const std::string &Text) {
    std::istringstream In(Text);
    return readTrace(In, LineNumber).error();
  };
  CHECK(ErrorOf("{") == TraceError::MalformedLine);
  CHECK(ErrorOf("[]") == TraceError::MalformedLine);
  CHECK(ErrorOf("") == TraceError::Empty);
  CHECK(ErrorOf("{\"type\":\"other\"}") == TraceError::UnknownType);
  std::string Good = R"({"type":"request","kind":"order","key":"k"})";
  auto LaterError = ErrorOf(Good + "\n" + R"({"type":"fault","kind":"x"})");
  CHECK(LaterError == TraceError::UnknownName);
  CHECK(LineNumber == 2);
  CHECK(ErrorOf(Good + R"(
{"type":"fault","kind":"log-out","step":"claim","request":5})") ==
        TraceError::UnknownRequest);
}

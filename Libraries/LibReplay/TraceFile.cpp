#include "LibReplay/TraceFile.h"

#include "LibBase/ErrorCategory.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

using Json = nlohmann::json;

const char *describe(TraceError Value) {
  switch (Value) {
  case TraceError::MalformedLine:
    return "the line is not a trace line";
  case TraceError::UnknownType:
    return "the type of the line is unknown";
  case TraceError::UnknownName:
    return "a name in the line is unknown";
  case TraceError::UnknownRequest:
    return "the fault names a request that is not there";
  case TraceError::Empty:
    return "the trace has no request";
  }
  return "unknown trace error";
}

const ErrorCategory<TraceError> &category() {
  static const ErrorCategory<TraceError> Category("trace", describe);
  return Category;
}

Milliseconds millisecondsOf(const Json &Line, const char *Name,
                            Milliseconds Default) {
  return Milliseconds(Line.value(Name, Default.count()));
}

void readWorld(const Json &Line, Scenario &Read) {
  Read.Name = Line.value("name", Read.Name);
  Read.Seed = Line.value("seed", Read.Seed);
  Read.Hosts = Line.value("hosts", Read.Hosts);
  Read.Engines = Line.value("engines", Read.Engines);
  Read.Runners = Line.value("runners", Read.Runners);
  Read.ChecksFence = Line.value("checks_fence", Read.ChecksFence);
}

Result<ScenarioRequest> readRequest(const Json &Line) {
  ScenarioRequest Read;
  auto Kind = requestKindOf(Line.at("kind").get<std::string>());
  if (!Kind)
    return TraceError::UnknownName;
  Read.Kind = *Kind;
  Read.At = millisecondsOf(Line, "at_ms", Read.At);
  Read.Team = Line.value("team", Read.Team);
  Read.Key = Line.at("key").get<std::string>();
  Read.Body = Line.value("body", Read.Body);
  Read.Host = Line.value("host", Read.Host);
  Read.Patience = millisecondsOf(Line, "patience_ms", Read.Patience);
  Read.Attempts = Line.value("attempts", Read.Attempts);
  Read.Tokens = Line.value("tokens", Read.Tokens);
  Read.MayRepeat = Line.value("may_repeat", Read.MayRepeat);
  Read.IsPoison = Line.value("poison", Read.IsPoison);
  Read.HasTicket = Line.value("ticket", Read.HasTicket);
  Read.CountsAttempts = Line.value("counts_attempts", Read.CountsAttempts);
  for (const auto &Name : Line.value("expect", std::vector<std::string>{})) {
    auto Stated = outcomeOf(Name);
    if (!Stated)
      return TraceError::UnknownName;
    Read.Expected.push_back(*Stated);
  }
  if (Line.contains("expect_runs"))
    Read.ExpectedRuns = Line.at("expect_runs").get<std::uint32_t>();
  return Read;
}

Result<ScenarioFault> readFault(const Json &Line) {
  ScenarioFault Read;
  auto Kind = faultKindOf(Line.at("kind").get<std::string>());
  if (!Kind)
    return TraceError::UnknownName;
  Read.Kind = *Kind;
  Read.Span = millisecondsOf(Line, "span_ms", Read.Span);
  Read.AtTime = millisecondsOf(Line, "at_ms", Read.AtTime);
  Read.Subject = Line.value("subject", Read.Subject);
  if (!Line.contains("step"))
    return Read;
  auto At = stepOf(Line.at("step").get<std::string>());
  if (!At)
    return TraceError::UnknownName;
  Read.At = *At;
  Read.Request = Line.at("request").get<std::size_t>();
  return Read;
}

Result<void> readLine(const std::string &Text, Scenario &Read) {
  try {
    Json Line = Json::parse(Text);
    auto Type = Line.at("type").get<std::string>();
    if (Type == "world") {
      readWorld(Line, Read);
    } else if (Type == "request") {
      BOOST_OUTCOME_TRY(Request, readRequest(Line));
      Read.Requests.push_back(std::move(Request));
    } else if (Type == "fault") {
      BOOST_OUTCOME_TRY(Fault, readFault(Line));
      Read.Faults.push_back(Fault);
    } else {
      return TraceError::UnknownType;
    }
    return success();
  } catch (const Json::exception &) {
    return TraceError::MalformedLine;
  }
}

bool hasRequestsOfFaults(const Scenario &Read) {
  for (const auto &Fault : Read.Faults)
    if (Fault.Request && *Fault.Request >= Read.Requests.size())
      return false;
  return true;
}

} // namespace

std::error_code make_error_code(TraceError Value) {
  return {static_cast<int>(Value), category()};
}

Result<Scenario> readTrace(std::istream &In, std::size_t &Line) {
  Scenario Read;
  std::string Text;
  Line = 0;
  while (std::getline(In, Text)) {
    ++Line;
    if (Text.empty())
      continue;
    BOOST_OUTCOME_TRYV(readLine(Text, Read));
  }
  bool HasSizes = Read.Hosts > 0 && Read.Engines > 0 && Read.Runners > 0;
  if (Read.Requests.empty() || !HasSizes)
    return TraceError::Empty;
  if (!hasRequestsOfFaults(Read))
    return TraceError::UnknownRequest;
  return Read;
}

void writeTraceRequest(std::ostream &Out, const ScenarioRequest &Request) {
  Json Line{{"type", "request"},
            {"kind", nameOf(Request.Kind)},
            {"at_ms", Request.At.count()},
            {"team", Request.Team},
            {"key", Request.Key},
            {"body", Request.Body},
            {"host", Request.Host},
            {"patience_ms", Request.Patience.count()},
            {"attempts", Request.Attempts},
            {"tokens", Request.Tokens},
            {"may_repeat", Request.MayRepeat},
            {"poison", Request.IsPoison},
            {"ticket", Request.HasTicket},
            {"counts_attempts", Request.CountsAttempts}};
  std::vector<std::string> Expected;
  for (Outcome Stated : Request.Expected)
    Expected.emplace_back(nameOf(Stated));
  Line["expect"] = Expected;
  if (Request.ExpectedRuns)
    Line["expect_runs"] = *Request.ExpectedRuns;
  Out << Line.dump() << "\n";
}

} // namespace bergamothook

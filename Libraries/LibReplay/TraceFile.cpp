#include "LibReplay/TraceFile.h"

#include "LibBase/ErrorCategory.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

using Json = nlohmann::json;

const char *describe(TraceError Value) {
  switch (Value) {
  case TraceError::MalformedLine:
    return "the line is malformed";
  case TraceError::UnknownType:
    return "the type of the line is unknown";
  case TraceError::UnknownName:
    return "a name in the line is unknown";
  case TraceError::UnknownRequest:
    return "the fault refers to an unknown request";
  case TraceError::Empty:
    return "the trace contains no request";
  }
  return "unknown trace error";
}

const ErrorCategory<TraceError> &category() {
  static const ErrorCategory<TraceError> Category("trace", describe);
  return Category;
}

Milliseconds millisecondsOf(const Json &Entry, const char *Name,
                            Milliseconds Default) {
  return Milliseconds(Entry.value(Name, Default.count()));
}

void readSetup(const Json &Entry, Scenario &Parsed) {
  Parsed.Name = Entry.value("name", Parsed.Name);
  Parsed.Seed = Entry.value("seed", Parsed.Seed);
  Parsed.Hosts = Entry.value("hosts", Parsed.Hosts);
  Parsed.Engines = Entry.value("engines", Parsed.Engines);
  Parsed.Runners = Entry.value("runners", Parsed.Runners);
  Parsed.ChecksFence = Entry.value("checks_fence", Parsed.ChecksFence);
}

Result<ScenarioRequest> readRequest(const Json &Entry) {
  ScenarioRequest Parsed;
  auto Kind = requestKindOf(Entry.at("kind").get<std::string>());
  if (!Kind)
    return TraceError::UnknownName;
  Parsed.Kind = *Kind;
  Parsed.At = millisecondsOf(Entry, "at_ms", Parsed.At);
  Parsed.Team = Entry.value("team", Parsed.Team);
  Parsed.Key = Entry.at("key").get<std::string>();
  Parsed.Body = Entry.value("body", Parsed.Body);
  Parsed.Host = Entry.value("host", Parsed.Host);
  Parsed.Timeout = millisecondsOf(Entry, "patience_ms", Parsed.Timeout);
  Parsed.Attempts = Entry.value("attempts", Parsed.Attempts);
  Parsed.Tokens = Entry.value("tokens", Parsed.Tokens);
  Parsed.MayRepeat = Entry.value("may_repeat", Parsed.MayRepeat);
  Parsed.IsPoison = Entry.value("poison", Parsed.IsPoison);
  Parsed.HasTicket = Entry.value("ticket", Parsed.HasTicket);
  Parsed.CountsAttempts = Entry.value("counts_attempts", Parsed.CountsAttempts);
  for (const auto &Name : Entry.value("expect", std::vector<std::string>{})) {
    auto Value = outcomeOf(Name);
    if (!Value)
      return TraceError::UnknownName;
    Parsed.Expected.push_back(*Value);
  }
  if (Entry.contains("expect_runs"))
    Parsed.ExpectedRuns = Entry.at("expect_runs").get<std::uint32_t>();
  return Parsed;
}

Result<ScenarioFault> readFault(const Json &Entry) {
  ScenarioFault Parsed;
  auto Kind = faultKindOf(Entry.at("kind").get<std::string>());
  if (!Kind)
    return TraceError::UnknownName;
  Parsed.Kind = *Kind;
  Parsed.Span = millisecondsOf(Entry, "span_ms", Parsed.Span);
  Parsed.AtTime = millisecondsOf(Entry, "at_ms", Parsed.AtTime);
  Parsed.Subject = Entry.value("subject", Parsed.Subject);
  if (!Entry.contains("step"))
    return Parsed;
  auto At = stepOf(Entry.at("step").get<std::string>());
  if (!At)
    return TraceError::UnknownName;
  Parsed.At = *At;
  Parsed.Request = Entry.at("request").get<std::size_t>();
  return Parsed;
}

Result<void> readLine(const std::string &Text, Scenario &Parsed) {
  try {
    Json Entry = Json::parse(Text);
    auto Type = Entry.at("type").get<std::string>();
    if (Type == "world") {
      readSetup(Entry, Parsed);
    } else if (Type == "request") {
      BOOST_OUTCOME_TRY(Request, readRequest(Entry));
      Parsed.Requests.push_back(std::move(Request));
    } else if (Type == "fault") {
      BOOST_OUTCOME_TRY(Fault, readFault(Entry));
      Parsed.Faults.push_back(Fault);
    } else {
      return TraceError::UnknownType;
    }
    return success();
  } catch (const Json::exception &) {
    return TraceError::MalformedLine;
  }
}

bool doFaultRequestsExist(const Scenario &Parsed) {
  for (const auto &Fault : Parsed.Faults)
    if (Fault.Request && *Fault.Request >= Parsed.Requests.size())
      return false;
  return true;
}

} // namespace

std::error_code make_error_code(TraceError Value) {
  return {static_cast<int>(Value), category()};
}

Result<Scenario> readTrace(std::istream &In, std::size_t &LineNumber) {
  Scenario Parsed;
  std::string Text;
  LineNumber = 0;
  while (std::getline(In, Text)) {
    ++LineNumber;
    if (Text.empty())
      continue;
    BOOST_OUTCOME_TRYV(readLine(Text, Parsed));
  }
  bool HasSizes = Parsed.Hosts > 0 && Parsed.Engines > 0 && Parsed.Runners > 0;
  if (Parsed.Requests.empty() || !HasSizes)
    return TraceError::Empty;
  if (!doFaultRequestsExist(Parsed))
    return TraceError::UnknownRequest;
  return Parsed;
}

void writeTraceRequest(std::ostream &Out, const ScenarioRequest &Request) {
  Json Entry{{"type", "request"},
             {"kind", nameOf(Request.Kind)},
             {"at_ms", Request.At.count()},
             {"team", Request.Team},
             {"key", Request.Key},
             {"body", Request.Body},
             {"host", Request.Host},
             {"patience_ms", Request.Timeout.count()},
             {"attempts", Request.Attempts},
             {"tokens", Request.Tokens},
             {"may_repeat", Request.MayRepeat},
             {"poison", Request.IsPoison},
             {"ticket", Request.HasTicket},
             {"counts_attempts", Request.CountsAttempts}};
  std::vector<std::string> Expected;
  for (Outcome Value : Request.Expected)
    Expected.emplace_back(nameOf(Value));
  Entry["expect"] = Expected;
  if (Request.ExpectedRuns)
    Entry["expect_runs"] = *Request.ExpectedRuns;
  Out << Entry.dump() << "\n";
}

} // namespace bergamothook

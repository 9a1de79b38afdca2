#include "LibStandinServer/StandinResponses.h"

#include "LibAdapter/ErrorMapping.h"

#include <charconv>

namespace bergamothook {

namespace {

struct NotRunStatus {
  int Status;
  const char *Reason;
};

NotRunStatus notRunStatusOf(std::error_code Error) {
  if (Error == TargetError::StaleFencingNumber)
    return {409, NotRunFenced};
  if (Error == TargetError::UnknownStream)
    return {404, NotRunUnknownStream};
  if (Error == TargetError::BadRequest || Error == TargetError::BadAnswer)
    return {400, NotRunBadRequest};
  return {503, NotRunRefused};
}

} // namespace

void sendJson(HttpReply &Reply, int Status, const nlohmann::json &Body,
              const HttpHeaders &ExtraHeaders) {
  Reply.sendResponse(
      Status, "application/json",
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      ExtraHeaders);
}

void sendError(HttpReply &Reply, int Status, std::error_code Error,
               const HttpHeaders &ExtraHeaders) {
  sendJson(Reply, Status, {{"error", Error.message()}}, ExtraHeaders);
}

void sendNotRun(HttpReply &Reply, std::error_code Error) {
  NotRunStatus Response = notRunStatusOf(Error);
  sendError(Reply, Response.Status, Error, {{NotRunHeader, Response.Reason}});
}

bool serveCommonPaths(const HttpRequest &Request, HttpReply &Reply,
                      FaultTable &Faults) {
  if (Request.Path == "/healthz") {
    sendJson(Reply, 200, {{"ok", true}});
    return true;
  }
  if (Request.Path != "/faults")
    return false;
  if (Request.Method == "POST") {
    auto Body = parseBody(Request, Reply);
    if (!Body)
      return true;
    if (auto Applied = Faults.apply(*Body); !Applied) {
      sendError(Reply, 400, Applied.error());
      return true;
    }
  }
  sendJson(Reply, 200, Faults.show());
  return true;
}

std::optional<nlohmann::json> parseBody(const HttpRequest &Request,
                                        HttpReply &Reply) {
  auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
  if (!Body.is_discarded())
    return Body;
  sendJson(Reply, 400, {{"error", "the body is not JSON"}},
           {{NotRunHeader, NotRunBadRequest}});
  return std::nullopt;
}

std::uint64_t integerParameter(const HttpRequest &Request,
                               const std::string &Name, std::uint64_t Default) {
  return parseNumber(Request.parameter(Name)).value_or(Default);
}

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace bergamothook

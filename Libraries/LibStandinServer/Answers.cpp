#include "LibStandinServer/Answers.h"

#include "LibAdapter/ErrorMapping.h"

#include <charconv>

namespace bergamothook {

namespace {

struct Refusal {
  int Status;
  const char *Word;
};

Refusal refusalOf(std::error_code Failure) {
  if (Failure == TargetError::StaleFencingNumber)
    return {409, NotRunFenced};
  if (Failure == TargetError::UnknownStream)
    return {404, NotRunUnknownStream};
  if (Failure == TargetError::BadRequest || Failure == TargetError::BadAnswer)
    return {400, NotRunBadRequest};
  return {503, NotRunRefused};
}

} // namespace

void answerJson(HttpReply &Reply, int Status, const nlohmann::json &Body,
                const HttpHeaders &ExtraHeaders) {
  Reply.sendResponse(
      Status, "application/json",
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      ExtraHeaders);
}

void answerFailure(HttpReply &Reply, int Status, std::error_code Failure,
                   const HttpHeaders &ExtraHeaders) {
  answerJson(Reply, Status, {{"error", Failure.message()}}, ExtraHeaders);
}

void answerNotRun(HttpReply &Reply, std::error_code Failure) {
  Refusal Said = refusalOf(Failure);
  answerFailure(Reply, Said.Status, Failure, {{NotRunHeader, Said.Word}});
}

bool answerCommon(const HttpRequest &Request, HttpReply &Reply,
                  FaultTable &Faults) {
  if (Request.Path == "/healthz") {
    answerJson(Reply, 200, {{"ok", true}});
    return true;
  }
  if (Request.Path != "/faults")
    return false;
  if (Request.Method == "POST") {
    auto Body = parseBody(Request, Reply);
    if (!Body)
      return true;
    if (auto Applied = Faults.apply(*Body); !Applied) {
      answerFailure(Reply, 400, Applied.error());
      return true;
    }
  }
  answerJson(Reply, 200, Faults.show());
  return true;
}

std::optional<nlohmann::json> parseBody(const HttpRequest &Request,
                                        HttpReply &Reply) {
  auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
  if (!Body.is_discarded())
    return Body;
  answerJson(Reply, 400, {{"error", "the body is not JSON"}},
             {{NotRunHeader, NotRunBadRequest}});
  return std::nullopt;
}

std::uint64_t numberParameter(const HttpRequest &Request,
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

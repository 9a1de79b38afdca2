#include "LibAdapter/HttpLog.h"

#include "LibAdapter/ErrorMapping.h"
#include "LibAdapter/LogWire.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// The time that a read may take in addition to the time that it waits for
/// entries.
constexpr Duration ReadTimeoutMargin = std::chrono::seconds(5);

std::error_code logErrorOfStatus(int Status) {
  switch (Status) {
  case 410:
    return LogError::BelowRetention;
  case 413:
    return LogError::TooLarge;
  case 429:
    return LogError::RateLimited;
  case 503:
    return LogError::Unreachable;
  default:
    return LogError::MalformedResponse;
  }
}

Result<Offset> parseOffset(const std::string &Body) {
  auto Answer = nlohmann::json::parse(Body, nullptr, false);
  if (!Answer.is_object() || !Answer.contains("offset") ||
      !Answer["offset"].is_number_unsigned())
    return LogError::MalformedResponse;
  return Offset{Answer["offset"].get<std::uint64_t>()};
}

Result<HttpResponse> send(HttpClient &Client, HttpCall Call,
                          TimePoint Deadline) {
  auto Answer = Client.call(std::move(Call), Deadline);
  if (!Answer)
    return logErrorOf(Answer.error());
  if (Answer.value().Status != 200)
    return logErrorOfStatus(Answer.value().Status);
  return Answer;
}

Result<Offset> append(HttpClient &Client, HttpCall Call, std::string Payload,
                      TimePoint Deadline) {
  Call.Method = "POST";
  Call.Headers["Content-Type"] = "application/octet-stream";
  Call.Body = std::move(Payload);
  BOOST_OUTCOME_TRY(Answer, send(Client, std::move(Call), Deadline));
  return parseOffset(Answer.Body);
}

Result<LogPage> read(HttpClient &Client, HttpCall Call, Offset From,
                     std::size_t MaxEntries, Duration Wait, TimePoint Now) {
  auto WaitMs = std::chrono::duration_cast<std::chrono::milliseconds>(Wait);
  Call.Path += "?from=" + std::to_string(From.Value) +
               "&max=" + std::to_string(MaxEntries) +
               "&wait_ms=" + std::to_string(WaitMs.count());
  BOOST_OUTCOME_TRY(
      Answer, send(Client, std::move(Call), Now + Wait + ReadTimeoutMargin));
  return decodeLogPage(Answer.Body);
}

} // namespace

LogHooks makeHttpLog(HttpClient &Client, const Runtime &Tasks,
                     const std::string &Address, std::uint16_t Port) {
  auto MakeCall = [Address, Port](const std::string &Stream) {
    HttpCall Call;
    Call.Address = Address;
    Call.Port = Port;
    Call.Path = logEntriesPath(Stream);
    return Call;
  };
  LogHooks Hooks;
  Hooks.Append = [&Client, MakeCall](const std::string &Stream,
                                     std::string Payload, TimePoint Deadline) {
    return append(Client, MakeCall(Stream), std::move(Payload), Deadline);
  };
  Hooks.Read = [&Client, MakeCall, Tasks](const std::string &Stream,
                                          Offset From, std::size_t MaxEntries,
                                          Duration Wait) {
    return read(Client, MakeCall(Stream), From, MaxEntries, Wait, Tasks.Now());
  };
  return Hooks;
}

} // namespace bergamothook

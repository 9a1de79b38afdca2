#include "LibAdapter/HttpEngine.h"

#include "LibAdapter/EngineControlWire.h"
#include "LibAdapter/EngineWire.h"
#include "LibAdapter/ErrorMapping.h"

namespace bergamothook {

namespace {

/// The maximum length of a line of a stream. A longer one is no valid response
/// of an engine.
constexpr std::size_t MaxLineBytes = 1 << 20;

HttpCall makeEngineCall(const TargetAddress &Target, const char *Method,
                        const std::string &Path) {
  HttpCall Call;
  Call.Method = Method;
  Call.Address = Target.Address;
  Call.Port = Target.Port;
  Call.Path = Path;
  return Call;
}

std::string pathOf(RequestId Request) {
  return std::string(EngineStreamsPath) + "/" + toHex(Request);
}

std::error_code errorOfResponse(int Status, const HttpHeaders &Headers) {
  if (auto NotRun = notRunErrorOf(Headers))
    return NotRun;
  bool IsMalformed = Status == 400 || Status == 413 || Status == 431;
  return IsMalformed ? TargetError::BadRequest : TargetError::BadAnswer;
}

/// Splits the body of a stream into lines and parses them.
class LineReader {
public:
  explicit LineReader(HttpStreamHandle Body) : Body(std::move(Body)) {}

  Result<StreamChunk> next(TimePoint Deadline) {
    std::size_t End = this->Buffer.find('\n');
    while (End == std::string::npos) {
      if (this->Buffer.size() > MaxLineBytes)
        return TargetError::BadAnswer;
      auto Data = this->Body.next(Deadline);
      if (!Data)
        return targetErrorOf(Data.error());
      // If the body ends before the last chunk of the stream, the stream was
      // cut off.
      if (!Data.value())
        return TargetError::ConnectionLost;
      this->Buffer += *Data.value();
      End = this->Buffer.find('\n');
    }
    std::string Line = this->Buffer.substr(0, End);
    this->Buffer.erase(0, End + 1);
    return streamChunkOfJson(nlohmann::json::parse(Line, nullptr, false));
  }

private:
  HttpStreamHandle Body;
  std::string Buffer;
};

Result<EngineStream> openStream(HttpClient &Client, const TargetAddress &Target,
                                const GenerationRequest &Generation,
                                TimePoint Deadline) {
  HttpCall Call = makeEngineCall(Target, "POST", EngineStreamsPath);
  Call.Headers["Content-Type"] = "application/json";
  Call.Body =
      toJson(Generation)
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  auto Opened = Client.open(std::move(Call), Deadline);
  if (!Opened)
    return targetErrorOf(Opened.error());
  auto &Body = Opened.value();
  if (Body.status() != 200)
    return errorOfResponse(Body.status(), Body.headers());
  auto Lines = std::make_shared<LineReader>(std::move(Body));
  EngineStream Stream;
  Stream.Next = [Lines](TimePoint NextDeadline) {
    return Lines->next(NextDeadline);
  };
  return Stream;
}

Result<nlohmann::json> callForJson(HttpClient &Client, HttpCall Call,
                                   TimePoint Deadline) {
  auto Answer = Client.call(std::move(Call), Deadline);
  if (!Answer)
    return targetErrorOf(Answer.error());
  if (Answer.value().Status != 200)
    return errorOfResponse(Answer.value().Status, Answer.value().Headers);
  return nlohmann::json::parse(Answer.value().Body, nullptr, false);
}

Result<StreamStatus> callForStatus(HttpClient &Client, HttpCall Call,
                                   TimePoint Deadline) {
  BOOST_OUTCOME_TRY(Json, callForJson(Client, std::move(Call), Deadline));
  return streamStatusOfJson(Json);
}

} // namespace

EngineHooks makeHttpEngines(HttpClient &Client) {
  EngineHooks Hooks;
  Hooks.Open = [&Client](const TargetAddress &Target,
                         const GenerationRequest &Generation,
                         TimePoint Deadline) {
    return openStream(Client, Target, Generation, Deadline);
  };
  Hooks.Cancel = [&Client](const TargetAddress &Target, RequestId Request,
                           TimePoint Deadline) {
    return callForStatus(
        Client, makeEngineCall(Target, "DELETE", pathOf(Request)), Deadline);
  };
  Hooks.Probe = [&Client](const TargetAddress &Target, RequestId Request,
                          TimePoint Deadline) {
    HttpCall Call = makeEngineCall(Target, "GET", pathOf(Request));
    // A reused connection may be the one that stopped responding.
    Call.UsesFreshConnection = true;
    return callForStatus(Client, std::move(Call), Deadline);
  };
  Hooks.ReadLoad = [&Client](const TargetAddress &Target,
                             TimePoint Deadline) -> Result<EngineLoad> {
    BOOST_OUTCOME_TRY(
        Json, callForJson(Client, makeEngineCall(Target, "GET", EngineLoadPath),
                          Deadline));
    return engineLoadOfJson(Json);
  };
  return Hooks;
}

EngineControlHooks makeHttpEngineControl(HttpClient &Client) {
  EngineControlHooks Hooks;
  Hooks.Send = [&Client](const TargetAddress &Target,
                         const EngineCommand &Command,
                         TimePoint Deadline) -> Result<void> {
    HttpCall Call = makeEngineCall(Target, "POST", EngineOrdersPath);
    Call.Body = toJson(Command).dump();
    BOOST_OUTCOME_TRY(callForJson(Client, std::move(Call), Deadline));
    return success();
  };
  return Hooks;
}

CacheHooks makeHttpCaches(HttpClient &Client) {
  CacheHooks Hooks;
  Hooks.ReadEvents =
      [&Client](const TargetAddress &Target, std::uint64_t After,
                TimePoint Deadline) -> Result<std::vector<CacheEvent>> {
    std::string Path =
        std::string(EngineCacheEventsPath) + "?after=" + std::to_string(After);
    BOOST_OUTCOME_TRY(
        Json,
        callForJson(Client, makeEngineCall(Target, "GET", Path), Deadline));
    return cacheEventsOfJson(Json);
  };
  Hooks.ReadSnapshot = [&Client](const TargetAddress &Target,
                                 TimePoint Deadline) -> Result<CacheSnapshot> {
    BOOST_OUTCOME_TRY(
        Json,
        callForJson(Client, makeEngineCall(Target, "GET", EngineCachePath),
                    Deadline));
    return cacheSnapshotOfJson(Json);
  };
  return Hooks;
}

} // namespace bergamothook

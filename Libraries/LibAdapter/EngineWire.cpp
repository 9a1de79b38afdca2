#include "LibAdapter/EngineWire.h"

#include "LibAdapter/GuardedParse.h"

#include <array>
#include <charconv>

namespace bergamothook {

namespace {

constexpr std::size_t HexDigitsPerHalf = 16;

struct ReasonName {
  FinishReason Reason;
  const char *Name;
};

constexpr std::array<ReasonName, 3> ReasonNames{{
    {FinishReason::Stop, "stop"},
    {FinishReason::Length, "length"},
    {FinishReason::Cancelled, "cancelled"},
}};

const char *nameOf(FinishReason Reason) {
  for (const ReasonName &Entry : ReasonNames)
    if (Entry.Reason == Reason)
      return Entry.Name;
  return "stop";
}

Result<FinishReason> reasonOfName(const std::string &Name) {
  for (const ReasonName &Entry : ReasonNames)
    if (Name == Entry.Name)
      return Entry.Reason;
  return TargetError::BadAnswer;
}

std::optional<std::uint64_t> parseHex(std::string_view Hex) {
  std::uint64_t Value = 0;
  auto Parsed = std::from_chars(Hex.data(), Hex.data() + Hex.size(), Value, 16);
  if (Parsed.ec != std::errc() || Parsed.ptr != Hex.data() + Hex.size())
    return std::nullopt;
  return Value;
}

nlohmann::json toJson(const Usage &Counted) {
  return {{"prompt_tokens", Counted.PromptTokens},
          {"cached_prompt_tokens", Counted.CachedPromptTokens},
          {"generated_tokens", Counted.GeneratedTokens}};
}

/// Reads a 32-bit unsigned number. nlohmann would silently wrap a larger or
/// negative one.
std::uint32_t uint32At(const nlohmann::json &Json, const char *Key) {
  const auto &Value = Json.at(Key);
  if (!Value.is_number_unsigned() ||
      Value.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    throw nlohmann::json::type_error::create(302, Key, &Json);
  return Value.get<std::uint32_t>();
}

Usage usageOfJson(const nlohmann::json &Json) {
  Usage Counted;
  Counted.PromptTokens = uint32At(Json, "prompt_tokens");
  Counted.CachedPromptTokens = uint32At(Json, "cached_prompt_tokens");
  Counted.GeneratedTokens = uint32At(Json, "generated_tokens");
  return Counted;
}

Result<RequestId> requestOfJson(const nlohmann::json &Json) {
  auto Request = requestIdOfHex(Json.at("request").get<std::string>());
  if (!Request)
    return TargetError::BadAnswer;
  return *Request;
}

} // namespace

std::optional<RequestId> requestIdOfHex(std::string_view Hex) {
  if (Hex.size() != 2 * HexDigitsPerHalf)
    return std::nullopt;
  auto High = parseHex(Hex.substr(0, HexDigitsPerHalf));
  auto Low = parseHex(Hex.substr(HexDigitsPerHalf));
  if (!High || !Low)
    return std::nullopt;
  return RequestId{*High, *Low};
}

nlohmann::json toJson(const GenerationRequest &Generation) {
  return {{"request", toHex(Generation.Request)},
          {"attempt", Generation.Attempt.Value},
          {"model", Generation.Model},
          {"prompt", Generation.Prompt},
          {"max_tokens", Generation.MaxTokens},
          {"priority", Generation.Priority},
          {"resume_after_tokens", Generation.ResumeAfterTokens},
          {"must_resume", Generation.MustResume}};
}

nlohmann::json toJson(const StreamChunk &Chunk) {
  nlohmann::json Json{{"request", toHex(Chunk.Request)},
                      {"attempt", Chunk.Attempt.Value},
                      {"first_token", Chunk.FirstToken},
                      {"tokens", Chunk.Tokens},
                      {"text", Chunk.Text}};
  if (Chunk.IsLast) {
    Json["finish_reason"] = nameOf(Chunk.Reason);
    Json["usage"] = toJson(Chunk.Counted);
  }
  return Json;
}

nlohmann::json toJson(const StreamStatus &Status) {
  return {{"is_running", Status.IsRunning}, {"usage", toJson(Status.Counted)}};
}

nlohmann::json toJson(const EngineLoad &Load) {
  return {{"engine", Load.Engine},
          {"running", Load.Running},
          {"waiting", Load.Waiting},
          {"waiting_prefill_tokens", Load.WaitingPrefillTokens},
          {"decode_tokens_per_second", Load.DecodeTokensPerSecond},
          {"prefill_tokens_per_second", Load.PrefillTokensPerSecond},
          {"batch_limit", Load.BatchLimit},
          {"loaded_models", Load.LoadedModels},
          {"is_leaving", Load.IsLeaving}};
}

Result<GenerationRequest> generationRequestOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<GenerationRequest>(
      [&]() -> Result<GenerationRequest> {
        GenerationRequest Generation;
        BOOST_OUTCOME_TRY(Request, requestOfJson(Json));
        Generation.Request = Request;
        Generation.Attempt = AttemptNumber{uint32At(Json, "attempt")};
        Generation.Model = Json.at("model").get<std::string>();
        Generation.Prompt = Json.at("prompt").get<std::string>();
        Generation.MaxTokens = uint32At(Json, "max_tokens");
        Generation.Priority = Json.value("priority", 0);
        Generation.ResumeAfterTokens = uint32At(Json, "resume_after_tokens");
        Generation.MustResume = Json.value("must_resume", false);
        return Generation;
      });
}

Result<StreamChunk> streamChunkOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<StreamChunk>([&]() -> Result<StreamChunk> {
    StreamChunk Chunk;
    BOOST_OUTCOME_TRY(Request, requestOfJson(Json));
    Chunk.Request = Request;
    Chunk.Attempt = AttemptNumber{uint32At(Json, "attempt")};
    Chunk.FirstToken = uint32At(Json, "first_token");
    Chunk.Tokens = uint32At(Json, "tokens");
    Chunk.Text = Json.at("text").get<std::string>();
    Chunk.IsLast = Json.contains("finish_reason");
    if (!Chunk.IsLast)
      return Chunk;
    BOOST_OUTCOME_TRY(
        Reason, reasonOfName(Json.at("finish_reason").get<std::string>()));
    Chunk.Reason = Reason;
    Chunk.Counted = usageOfJson(Json.at("usage"));
    return Chunk;
  });
}

Result<StreamStatus> streamStatusOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<StreamStatus>([&]() -> Result<StreamStatus> {
    StreamStatus Status;
    Status.IsRunning = Json.at("is_running").get<bool>();
    Status.Counted = usageOfJson(Json.at("usage"));
    return Status;
  });
}

Result<EngineLoad> engineLoadOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<EngineLoad>([&]() -> Result<EngineLoad> {
    EngineLoad Load;
    Load.Engine = Json.at("engine").get<std::string>();
    Load.Running = uint32At(Json, "running");
    Load.Waiting = uint32At(Json, "waiting");
    Load.WaitingPrefillTokens =
        Json.at("waiting_prefill_tokens").get<std::uint64_t>();
    Load.DecodeTokensPerSecond =
        Json.at("decode_tokens_per_second").get<double>();
    Load.PrefillTokensPerSecond =
        Json.at("prefill_tokens_per_second").get<double>();
    Load.BatchLimit = uint32At(Json, "batch_limit");
    Load.LoadedModels =
        Json.at("loaded_models").get<std::vector<std::string>>();
    Load.IsLeaving = Json.at("is_leaving").get<bool>();
    return Load;
  });
}

} // namespace bergamothook

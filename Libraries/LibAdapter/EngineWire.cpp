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

std::optional<std::uint64_t> numberOfHex(std::string_view Hex) {
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

/// A number of tokens. nlohmann would wrap a larger or negative one silently.
std::uint32_t tokensAt(const nlohmann::json &Json, const char *Key) {
  const auto &Value = Json.at(Key);
  if (!Value.is_number_unsigned() ||
      Value.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    throw nlohmann::json::type_error::create(302, Key, &Json);
  return Value.get<std::uint32_t>();
}

Usage usageOfJson(const nlohmann::json &Json) {
  Usage Counted;
  Counted.PromptTokens = tokensAt(Json, "prompt_tokens");
  Counted.CachedPromptTokens = tokensAt(Json, "cached_prompt_tokens");
  Counted.GeneratedTokens = tokensAt(Json, "generated_tokens");
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
  auto High = numberOfHex(Hex.substr(0, HexDigitsPerHalf));
  auto Low = numberOfHex(Hex.substr(HexDigitsPerHalf));
  if (!High || !Low)
    return std::nullopt;
  return RequestId{*High, *Low};
}

nlohmann::json toJson(const GenerationRequest &Order) {
  return {{"request", toHex(Order.Request)},
          {"attempt", Order.Attempt.Value},
          {"model", Order.Model},
          {"prompt", Order.Prompt},
          {"max_tokens", Order.MaxTokens},
          {"priority", Order.Priority},
          {"resume_after_tokens", Order.ResumeAfterTokens},
          {"must_resume", Order.MustResume}};
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
        GenerationRequest Order;
        BOOST_OUTCOME_TRY(Request, requestOfJson(Json));
        Order.Request = Request;
        Order.Attempt = AttemptNumber{tokensAt(Json, "attempt")};
        Order.Model = Json.at("model").get<std::string>();
        Order.Prompt = Json.at("prompt").get<std::string>();
        Order.MaxTokens = tokensAt(Json, "max_tokens");
        Order.Priority = Json.value("priority", 0);
        Order.ResumeAfterTokens = tokensAt(Json, "resume_after_tokens");
        Order.MustResume = Json.value("must_resume", false);
        return Order;
      });
}

Result<StreamChunk> streamChunkOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<StreamChunk>([&]() -> Result<StreamChunk> {
    StreamChunk Chunk;
    BOOST_OUTCOME_TRY(Request, requestOfJson(Json));
    Chunk.Request = Request;
    Chunk.Attempt = AttemptNumber{tokensAt(Json, "attempt")};
    Chunk.FirstToken = tokensAt(Json, "first_token");
    Chunk.Tokens = tokensAt(Json, "tokens");
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
    Load.Running = tokensAt(Json, "running");
    Load.Waiting = tokensAt(Json, "waiting");
    Load.WaitingPrefillTokens =
        Json.at("waiting_prefill_tokens").get<std::uint64_t>();
    Load.DecodeTokensPerSecond =
        Json.at("decode_tokens_per_second").get<double>();
    Load.PrefillTokensPerSecond =
        Json.at("prefill_tokens_per_second").get<double>();
    Load.BatchLimit = tokensAt(Json, "batch_limit");
    Load.LoadedModels =
        Json.at("loaded_models").get<std::vector<std::string>>();
    Load.IsLeaving = Json.at("is_leaving").get<bool>();
    return Load;
  });
}

} // namespace bergamothook

/// \file
/// The settings, requests and events of an engine model.

#ifndef BERGAMOTHOOK_LIBSTANDIN_ENGINEMODELTYPES_H
#define BERGAMOTHOOK_LIBSTANDIN_ENGINEMODELTYPES_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibTarget/EngineHooks.h"
#include "LibTarget/PrefixBlocks.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamothook {

struct EngineModelSettings {
  std::string Name;
  /// The models that are loaded at the start.
  std::vector<std::string> Models;
  /// A step takes the time to prefill up to PrefillTokensPerStep tokens and,
  /// if any sequence decodes, StepBase plus StepPerSequence for each of them.
  double PrefillTokensPerSecond = 8000;
  Duration StepBase = std::chrono::milliseconds(18);
  Duration StepPerSequence = std::chrono::microseconds(500);
  std::uint32_t PrefillTokensPerStep = 512;
  std::uint32_t BatchLimit = 16;
  /// Queue length above which requests are refused.
  std::uint32_t WaitingLimit = 512;
  /// Capacity of the prefix cache in prompt blocks.
  std::size_t CacheBlocks = 512;
  /// The age of the figures in a load report.
  Duration LoadLag = std::chrono::milliseconds(100);
  /// The delay before a cache event is published, and the probability that it
  /// never is.
  Duration CacheEventDelay = std::chrono::milliseconds(100);
  double CacheEventLoss = 0;
  /// The time that loading a model takes.
  Duration LoadTime = std::chrono::seconds(10);
  /// The number of models and adapters that fit into memory.
  std::size_t MaxModels = 4;
  bool ChecksFence = true;
  /// The minimum time that the response of a finished stream stays readable.
  Duration FinishedRetention = std::chrono::seconds(60);
};

/// One request to an engine model.
struct EngineModelRequest {
  RequestId Request;
  AttemptNumber Attempt;
  std::string Model;
  std::vector<PrefixHash> Blocks;
  std::uint32_t PromptTokens = 0;
  /// The length of the response if MaxTokens does not truncate it.
  std::uint32_t ResponseTokens = 0;
  std::uint32_t MaxTokens = 0;
  /// Higher values are scheduled first.
  std::int32_t Priority = 0;
  std::uint32_t ResumeAfterTokens = 0;
  /// Crashes every engine that schedules it.
  bool CrashesEngine = false;
};

enum class EngineModelEventKind : std::uint8_t { Tokens, Finished, Crashed };

/// Progress of one request.
struct EngineModelEvent {
  TimePoint At;
  RequestId Request;
  AttemptNumber Attempt;
  EngineModelEventKind Kind = EngineModelEventKind::Tokens;
  /// The number of response tokens before this event.
  std::uint32_t FirstToken = 0;
  std::uint32_t Tokens = 0;
  FinishReason Reason = FinishReason::Stop;
  Usage Counted;
};

/// The key-value cache of one stream in transfer between engines.
struct KvCache {
  RequestId Request;
  std::string Model;
  /// The prompt and response tokens computed so far.
  std::uint32_t PromptTokens = 0;
  std::uint32_t GeneratedTokens = 0;
};

} // namespace bergamothook

#endif

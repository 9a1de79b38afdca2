/// \file
/// The settings of a model of an engine, and what goes in and out of it.

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
  /// The time of a step is the sum of a base, a part for each sequence that
  /// decodes and the prefill of one piece of a prompt.
  double PrefillTokensPerSecond = 8000;
  Duration StepBase = std::chrono::milliseconds(18);
  Duration StepPerSequence = std::chrono::microseconds(500);
  std::uint32_t PrefillTokensPerStep = 512;
  std::uint32_t BatchLimit = 16;
  /// Requests that may wait; more are refused.
  std::uint32_t WaitingLimit = 512;
  /// The blocks of prompts that the prefix cache holds.
  std::size_t CacheBlocks = 512;
  /// How old the numbers of a load report are.
  Duration LoadLag = std::chrono::milliseconds(100);
  /// How late cache events are published, and the share that never is.
  Duration CacheEventDelay = std::chrono::milliseconds(100);
  double CacheEventLoss = 0;
  /// How long loading a model takes.
  Duration LoadTime = std::chrono::seconds(10);
  /// Models and adapters that fit into the memory.
  std::size_t MaxModels = 4;
  bool ChecksFence = true;
  /// How long the answer of an ended stream can still be read.
  Duration KeepFinished = std::chrono::seconds(60);
};

/// One request to the model of an engine.
struct EngineModelRequest {
  RequestId Request;
  AttemptNumber Attempt;
  std::string Model;
  std::vector<PrefixHash> Blocks;
  std::uint32_t PromptTokens = 0;
  /// The tokens that the answer has if nothing cuts it.
  std::uint32_t ResponseTokens = 0;
  std::uint32_t MaxTokens = 0;
  /// Larger numbers go first.
  std::int32_t Priority = 0;
  std::uint32_t ResumeAfterTokens = 0;
  /// Crashes every engine that starts it.
  bool CrashesEngine = false;
};

enum class EngineModelEventKind : std::uint8_t { Tokens, Finished, Crashed };

/// What the model of an engine did for one request.
struct EngineModelEvent {
  TimePoint At;
  RequestId Request;
  AttemptNumber Attempt;
  EngineModelEventKind Kind = EngineModelEventKind::Tokens;
  /// The number of tokens of the answer before these.
  std::uint32_t FirstToken = 0;
  std::uint32_t Tokens = 0;
  FinishReason Reason = FinishReason::Stop;
  Usage Counted;
};

/// The key-value cache of one stream, as it is moved between engines.
struct KvCache {
  RequestId Request;
  std::string Model;
  /// The tokens of the prompt and of the answer that are computed.
  std::uint32_t PromptTokens = 0;
  std::uint32_t GeneratedTokens = 0;
};

} // namespace bergamothook

#endif

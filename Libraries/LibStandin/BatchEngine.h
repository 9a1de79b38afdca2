/// \file
/// A model engine with continuous batching, for tests and for the stand-in
/// program. It reads no clock; its owner calls advance().
///
/// Cost model. The engine works in steps. At the start of a step, waiting
/// sequences fill the batch, larger priorities first. A step takes a base time,
/// a time for each sequence that decodes, and a time for each prompt token
/// prefilled; a sequence whose prompt is done gains one token a step. Prompt
/// blocks found in the prefix cache cost nothing.

#ifndef BERGAMOTHOOK_LIBSTANDIN_BATCHENGINE_H
#define BERGAMOTHOOK_LIBSTANDIN_BATCHENGINE_H

#include "LibStandin/PromptCache.h"
#include "LibTarget/EngineHooks.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace bergamothook {

struct BatchEngineLimits {
  std::string Name = "engine";
  std::vector<std::string> Models;
  Duration StepBase = std::chrono::milliseconds(8);
  Duration StepPerSequence = std::chrono::microseconds(250);
  Duration PrefillPerToken = std::chrono::microseconds(40);
  std::uint32_t PrefillTokensPerStep = 2048;
  std::uint32_t BatchLimit = 32;
  std::uint32_t QueueLimit = 512;
  std::size_t CacheBlocks = 1024;
  /// How long a finished stream can be read again.
  Duration FinishedRetention = std::chrono::minutes(5);
  /// The age of the load that the engine reports.
  Duration LoadLag = std::chrono::milliseconds(250);
  /// Whether orders with an old fencing number are refused.
  bool ChecksFence = false;
};

/// Faults of the engine. They can be changed at any time.
struct BatchEngineFaults {
  /// A prompt that holds this text crashes the engine; none when empty.
  std::string CrashMarker = "[crash]";
  /// Every step takes this many times its normal time.
  double SlowFactor = 1;
  /// The engine leaves: it finishes what it has and takes nothing new.
  bool IsLeaving = false;
};

/// What became of one generation, as the engine itself knows it.
enum class RunOutcome { Running, Stop, Length, Cancelled, Crashed };

/// One generation that the engine started.
struct GenerationRun {
  RequestId Request;
  /// The attempt that started it.
  AttemptNumber Attempt;
  Usage Counted;
  /// The times that it was opened: the start and each resumption.
  std::uint32_t Opens = 0;
  RunOutcome Outcome = RunOutcome::Running;
};

class BatchEngine {
public:
  BatchEngine(BatchEngineLimits Limits, std::uint64_t Seed);

  /// Starts a generation, or joins the one of the same request. A stream that
  /// resumes and is not known is refused as TargetError::UnknownStream.
  Result<void> open(const GenerationOrder &Order, TimePoint Now);

  /// Ends a generation. Ending it again gives the same answer.
  Result<StreamStatus> cancel(RequestId Request, TimePoint Now);

  Result<StreamStatus> probe(RequestId Request) const;

  /// Gives what the answer to \p Request has beyond its first \p Sent tokens;
  /// nothing where that is nothing yet.
  Result<std::optional<StreamChunk>> pieceAfter(RequestId Request,
                                                std::uint32_t Sent) const;

  /// Does the steps that end up to the time \p Now.
  void advance(TimePoint Now);

  /// When the present step ends; nothing while the engine idles.
  std::optional<TimePoint> nextStepEnd() const { return this->StepEnd; }

  /// The load as it was some time before \p Now.
  EngineLoad load(TimePoint Now) const;

  /// Loads or unloads a model. TargetError::FencedOff for an order with an old
  /// fencing number, where the engine checks it.
  Result<void> orderModel(const std::string &Model, bool IsLoaded,
                          std::uint64_t FencingNumber);

  /// Gives the cached blocks of \p Prompt, to be imported elsewhere.
  std::vector<PrefixHash> exportCache(const std::string &Model,
                                      const std::string &Prompt);
  void importCache(std::span<const PrefixHash> Blocks, TimePoint Now);

  /// Loses all state, as a crash does.
  void crash();

  /// Whether the engine crashed since the last call.
  bool takeCrash() { return std::exchange(this->HasCrashed, false); }

  const std::vector<GenerationRun> &ledger() const { return this->Runs; }

  BatchEngineFaults Faults;
  PromptCache Cache;

private:
  struct Sequence {
    GenerationOrder Order;
    std::size_t Run = 0;
    std::uint32_t PrefillLeft = 0;
    std::uint32_t AnswerTokens = 0;
    TimePoint FinishedAt{};
  };
  /// Larger priorities first, then first come, first served.
  struct QueuePlace {
    std::int32_t Priority = 0;
    std::uint64_t Arrival = 0;
    RequestId Request;
    bool operator<(const QueuePlace &Other) const;
  };

  Result<void> checkOrder(const GenerationOrder &Order) const;
  void addSequence(const GenerationOrder &Order, TimePoint Now);
  bool isRunning(const Sequence &Of) const;
  StreamStatus statusOf(const Sequence &Of) const;
  void startStep(TimePoint Now);
  void fillBatch(TimePoint Now);
  void finishStep(TimePoint Now);
  void advanceSequence(RequestId Request, TimePoint Now);
  void finish(Sequence &Of, RunOutcome Outcome, TimePoint Now);
  void forgetOldStreams(TimePoint Now);
  EngineLoad presentLoad() const;
  void noteLoad(TimePoint Now);

  BatchEngineLimits Limits;
  std::set<std::string> Models;
  std::map<RequestId, Sequence> Sequences;
  std::set<QueuePlace> Waiting;
  std::set<RequestId> Batch;
  std::map<RequestId, std::uint32_t> StepPrefill;
  std::optional<TimePoint> StepEnd;
  std::uint64_t Arrivals = 0;
  std::uint64_t HighestFence = 0;
  bool HasCrashed = false;
  std::deque<std::pair<TimePoint, EngineLoad>> Loads;
  std::deque<std::pair<TimePoint, RequestId>> FinishedStreams;
  std::vector<GenerationRun> Runs;
};

} // namespace bergamothook

#endif

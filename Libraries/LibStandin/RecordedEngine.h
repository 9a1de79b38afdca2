/// \file
/// A model of an engine that keeps what each stream has produced, so that it
/// can be read by the token, and a ledger of every generation.

#ifndef BERGAMOTHOOK_LIBSTANDIN_RECORDEDENGINE_H
#define BERGAMOTHOOK_LIBSTANDIN_RECORDEDENGINE_H

#include "LibStandin/EngineModel.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bergamothook {

/// What became of one generation, as the engine itself knows it.
enum class RunOutcome { Running, Stop, Length, Cancelled, Crashed, Moved };

/// One generation that the engine started.
struct GenerationRun {
  RequestId Request;
  /// The attempt that started it.
  AttemptNumber Attempt;
  Usage Counted;
  /// The tokens that an earlier engine generated.
  std::uint32_t FirstToken = 0;
  /// The times that it was opened: the start and each resumption.
  std::uint32_t Opens = 1;
  RunOutcome Outcome = RunOutcome::Running;
};

/// One engine. Not thread-safe; it reads no clock.
class RecordedEngine {
public:
  RecordedEngine(EngineModelSettings Settings, std::uint64_t Seed);

  /// Starts a generation, or joins the one of the same request. Errors as of
  /// EngineModel::submit(), BadRequest for an order without tokens, and
  /// UnknownStream for one that must resume what is not there.
  Result<void> open(const GenerationRequest &Order, TimePoint Now);

  Result<StreamStatus> cancel(RequestId Request, TimePoint Now);

  /// Takes a stream out, to be imported by another engine.
  Result<KvCache> exportKv(RequestId Request, TimePoint Now);

  /// Gives what the answer to \p Request has beyond its first \p Sent tokens;
  /// nothing where that is nothing yet. The attempt is left to the reader.
  /// Errors: UnknownStream, also for a stream that crashed or moved.
  Result<std::optional<StreamChunk>> pieceAfter(RequestId Request,
                                                std::uint32_t Sent) const;

  /// Does what is due up to the time \p Now.
  void advance(TimePoint Now);

  /// Ends the process of the engine: all streams are lost.
  void crash(TimePoint Now);

  /// All generations so far. The list only grows.
  const std::vector<GenerationRun> &ledger() const { return this->Runs; }

  /// For what needs no record: probes, load, orders, the cache, imports.
  EngineModel Model;

  /// A prompt that holds this text crashes the engine; none when empty.
  std::string CrashMarker = "[crash]";

private:
  EngineModelRequest modelRequestOf(const GenerationRequest &Order) const;
  bool joins(RequestId Request) const;
  void recordRun(const GenerationRequest &Order);
  void record(const EngineModelEvent &Event);
  void recordEvents();
  GenerationRun *runOf(RequestId Request);
  void forgetOldest();

  /// The latest run of each request.
  std::map<RequestId, std::size_t> Latest;
  std::deque<RequestId> Ended;
  std::vector<GenerationRun> Runs;
};

} // namespace bergamothook

#endif

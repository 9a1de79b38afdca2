/// \file
/// A small deterministic model of an inference engine: continuous batching with
/// chunked prefill, priorities, a bounded prefix cache, delayed load reports,
/// cancel and resume, transfer of key-value caches, fenced control commands,
/// and requests that crash it. It reads no clock: the caller advances it.

#ifndef BERGAMOTHOOK_LIBSTANDIN_ENGINEMODEL_H
#define BERGAMOTHOOK_LIBSTANDIN_ENGINEMODEL_H

#include "LibBase/Result.h"
#include "LibStandin/EngineModelCache.h"
#include "LibStandin/EngineModelTypes.h"
#include "LibTarget/EngineControl.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bergamothook {

/// Models one engine. Not thread-safe. Call advance() with a new time before
/// any other call at that time.
class EngineModel {
public:
  EngineModel(EngineModelSettings Settings, std::uint64_t Seed);

  /// Runs every step that ends by \p Now.
  void advance(TimePoint Now);

  /// \returns the time of the next step end or model load, if any is pending.
  std::optional<TimePoint> nextEvent() const;

  /// \returns the events since the last call, in order of time, and clears
  /// them.
  std::vector<EngineModelEvent> takeEvents();

  /// Starts a stream, or attaches to the stream of the same request, which then
  /// continues under the new attempt. Errors: ConnectFailed when the engine is
  /// down, Refused when the model is not loaded, the queue is full, the engine
  /// is leaving, or it has the decode role and no cache was imported for the
  /// request.
  Result<void> submit(const EngineModelRequest &Request, TimePoint Now);

  /// Cancels a stream. Errors: ConnectFailed, UnknownStream.
  Result<StreamStatus> cancel(RequestId Request, TimePoint Now);

  /// \returns the state of a stream. Errors: ConnectFailed, UnknownStream.
  Result<StreamStatus> probe(RequestId Request) const;

  /// \returns the load as it was LoadLag before \p Now. Errors: ConnectFailed.
  Result<EngineLoad> load(TimePoint Now) const;

  /// Executes a control command. Errors: ConnectFailed, StaleFencingNumber,
  /// Refused when MaxModels are loaded or loading.
  Result<void> control(const EngineCommand &Command, TimePoint Now);

  /// Removes a stream and returns its cache, so that another engine can
  /// continue it. Errors: ConnectFailed, UnknownStream.
  Result<KvCache> exportKv(RequestId Request, TimePoint Now);

  /// Stores a transferred cache for a later submit() of the same request.
  /// Errors: ConnectFailed, Refused when the model is not loaded.
  Result<void> importKv(const KvCache &Transferred);

  EngineModelCache &cache() { return this->Cache; }

  void setLeaving(bool Value) { this->IsLeaving = Value; }

  /// Makes every step take \p Factor times as long. Load reports do not reflect
  /// it.
  void setSlowdown(double Factor) { this->Slowdown = Factor; }

  /// Simulates a process crash: all streams are lost.
  void crash(TimePoint Now);

  /// Restarts the process with an empty cache and its initial models.
  void restart();

  bool isDown() const { return this->IsDown; }
  std::size_t running() const { return this->Batch.size(); }
  std::size_t waiting() const { return this->Waiting.size(); }
  bool hasLoaded(const std::string &Model) const;
  EngineRole role() const { return this->Role; }

private:
  struct Sequence {
    EngineModelRequest Request;
    std::uint32_t CachedTokens = 0;
    std::uint32_t RemainingPrefillTokens = 0;
    std::uint32_t Generated = 0;
    /// The prompt tokens that the current step prefills.
    std::uint32_t PrefillInStep = 0;
    bool IsStarted = false;
  };

  /// The load figures at one point in time.
  struct LoadSample {
    TimePoint At;
    std::uint32_t Running = 0;
    std::uint32_t Waiting = 0;
    std::uint64_t PrefillTokens = 0;
  };

  struct EndedStream {
    TimePoint At;
    EngineModelEvent LastEvent;
  };

  void startStep(TimePoint Now);
  void finishStep(TimePoint At);
  void fillBatch();
  void startSequence(Sequence &Started);
  Duration planStep();
  void emitToken(Sequence &Running, TimePoint At);
  void finishSequence(const Sequence &Finished, FinishReason Reason,
                      TimePoint At);
  void recordLoad(TimePoint Now);
  void finishLoads(TimePoint Now);
  Usage usageOf(const Sequence &Stream) const;
  Sequence *find(RequestId Request);
  std::optional<Sequence> extractSequence(RequestId Request);
  bool attach(const EngineModelRequest &Request, TimePoint Now);

  EngineModelSettings Settings;
  EngineModelCache Cache;
  std::vector<Sequence> Batch;
  std::vector<Sequence> Waiting;
  std::optional<TimePoint> StepEnd;
  std::vector<EngineModelEvent> Events;
  std::deque<LoadSample> Samples;
  std::unordered_map<RequestId, EndedStream> EndedStreams;
  std::unordered_map<RequestId, KvCache> Imported;
  std::vector<std::string> Models;
  std::map<std::string, TimePoint> Loading;
  EngineRole Role = EngineRole::Both;
  std::uint64_t HighestFence = 0;
  double Slowdown = 1;
  bool IsLeaving = false;
  bool IsDown = false;
};

} // namespace bergamothook

#endif

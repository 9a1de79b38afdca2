/// \file
/// A small deterministic model of an engine: continuous batching with prefill
/// in pieces, priorities, a bounded prefix cache, late load reports, cancel and
/// resume, moves of key-value caches, fenced control orders, and a crash by a
/// marked request. It reads no clock: the caller advances it.

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

/// The model of one engine. Not thread-safe. Call advance() before any other
/// call with a later time.
class EngineModel {
public:
  EngineModel(EngineModelSettings Settings, std::uint64_t Seed);

  /// Runs every step that ends by \p Now.
  void advance(TimePoint Now);

  /// Gives the time at which advance() has something to do.
  std::optional<TimePoint> nextEvent() const;

  /// Gives, once, what happened since the last call, in order of time.
  std::vector<EngineModelEvent> takeEvents();

  /// Starts a stream, or attaches to the one of the same request, which then
  /// goes on under the new attempt. Errors: ConnectFailed when the engine is
  /// down, Refused when the model is not loaded, the queue is full, the engine
  /// leaves, or its role does not fit.
  Result<void> submit(const EngineModelRequest &Request, TimePoint Now);

  /// Ends a stream. Errors: ConnectFailed, UnknownStream.
  Result<StreamStatus> cancel(RequestId Request, TimePoint Now);

  /// Tells the state of a stream. Errors: ConnectFailed, UnknownStream.
  Result<StreamStatus> probe(RequestId Request) const;

  /// Gives the load as it was LoadLag ago. Errors: ConnectFailed.
  Result<EngineLoad> load(TimePoint Now) const;

  /// Carries an order out. Errors: ConnectFailed, StaleFencingNumber, Refused
  /// when there is no room for the model.
  Result<void> control(const EngineCommand &Order, TimePoint Now);

  /// Takes a stream out with its cache, so that another engine goes on with it.
  /// Errors: ConnectFailed, UnknownStream.
  Result<KvCache> exportKv(RequestId Request, TimePoint Now);

  /// Takes a cache in; a later submit() of the same request uses it.
  Result<void> importKv(const KvCache &Moved);

  EngineModelCache &cache() { return this->Cache; }

  void setLeaving(bool Value) { this->IsLeaving = Value; }

  /// Makes every step take \p Factor times as long; reports do not tell.
  void setSlowdown(double Factor) { this->Slowdown = Factor; }

  /// Ends the process: all streams are lost.
  void crash(TimePoint Now);

  /// Starts the process again with an empty cache and its first models.
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
    std::uint32_t PrefillLeft = 0;
    std::uint32_t Generated = 0;
    /// The prompt tokens that the current step computes.
    std::uint32_t PrefillInStep = 0;
    bool IsStarted = false;
  };

  /// The numbers of a load report at one time.
  struct LoadSample {
    TimePoint At;
    std::uint32_t Running = 0;
    std::uint32_t Waiting = 0;
    std::uint64_t PrefillTokens = 0;
  };

  struct Ended {
    TimePoint At;
    EngineModelEvent Last;
  };

  void startStep(TimePoint Now);
  void finishStep(TimePoint At);
  void fillBatch();
  void start(Sequence &Started);
  Duration planStep();
  void produce(Sequence &Running, TimePoint At);
  void finish(const Sequence &Done, FinishReason Reason, TimePoint At);
  void sample(TimePoint Now);
  void finishLoads(TimePoint Now);
  Usage usageOf(const Sequence &Stream) const;
  Sequence *find(RequestId Request);
  std::optional<Sequence> takeOut(RequestId Request);
  bool attach(const EngineModelRequest &Request, TimePoint Now);

  EngineModelSettings Settings;
  EngineModelCache Cache;
  std::vector<Sequence> Batch;
  std::vector<Sequence> Waiting;
  std::optional<TimePoint> StepEnd;
  std::vector<EngineModelEvent> Events;
  std::deque<LoadSample> Samples;
  std::unordered_map<RequestId, Ended> EndedStreams;
  std::unordered_map<RequestId, KvCache> Imported;
  std::vector<std::string> Models;
  std::map<std::string, TimePoint> Loading;
  EngineRole Role = EngineRole::Both;
  std::uint64_t LargestFence = 0;
  double Slowdown = 1;
  bool IsLeaving = false;
  bool IsDown = false;
};

} // namespace bergamothook

#endif

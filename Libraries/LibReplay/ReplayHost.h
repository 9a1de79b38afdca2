/// \file
/// One simulated entry host: the production decision code over fake targets.

#ifndef BERGAMOTHOOK_LIBREPLAY_REPLAYHOST_H
#define BERGAMOTHOOK_LIBREPLAY_REPLAYHOST_H

#include "LibOutcome/DrainState.h"
#include "LibOutcome/OrderDispatcher.h"
#include "LibOutcome/PoisonRegistry.h"
#include "LibOutcome/StreamTask.h"
#include "LibReplay/FakeEngine.h"
#include "LibReplay/FakeRunner.h"
#include "LibRouting/OutlierDetector.h"
#include "LibRouting/RetryBudget.h"
#include "LibStandin/MemoryLog.h"
#include "LibStream/StreamFollower.h"

#include <deque>

namespace bergamothook {

/// The state shared by all hosts of a replay.
struct ReplayPlatform {
  ReplayPlatform(Runtime Base, std::uint64_t Seed);

  Runtime Base;
  MemoryLog Log;
  Event LogChanged;
  std::deque<FakeEngine> Engines;
  std::deque<FakeRunner> Runners;
  StepHook OnStep;
  /// The last target selected for each request.
  std::map<RequestId, TargetId> LastTarget;
  /// The number of streams admitted by hosts, and of attempts at engines for
  /// them.
  std::uint32_t Streams = 0;
  std::uint32_t EngineAttempts = 0;
  /// Sends a crash report to the other hosts.
  std::function<void(HostId From, const CrashReport &)> Gossip;
};

/// Where the next append of a host fails: not at all, before or after it takes
/// effect.
enum class AppendLoss { None, BeforeEffect, AfterEffect };

/// One attempt of a caller at one host.
struct CallerAttempt {
  std::uint32_t Number = 1;
  std::size_t Request = 0;
  std::size_t Host = 0;
  /// Whether the caller closed the connection or stopped waiting.
  bool IsAbandoned = false;
  bool HasResponse = false;
  Outcome Verdict = Outcome::Unknown;
  std::error_code Reason;
  std::string Body;
  bool IsRetrySafe = true;
  Duration RetryAfter{};
  /// The number of reservations and settlements made for it.
  std::uint32_t Reserved = 0;
  std::uint32_t Settled = 0;
  Event Changed;
};

class ReplayHost {
public:
  ReplayHost(std::size_t Index, ReplayPlatform &Platform, ReplayPolicy Policy,
             std::uint64_t Seed);

  /// Handles an order or a stream in a task of this host.
  void serveOrder(OrderRequest Request, CallerAttempt &Attempt);
  void serveStream(StreamRequest Request, CallerAttempt &Attempt,
                   std::function<bool(const StreamChunk &)> Emit);

  /// Stops the host gracefully in a separate task.
  void stop();

  Incarnation Self;
  ReplayPlatform &Platform;
  ReplayPolicy Policy;
  SimulatedProcess Process;
  Runtime Tasks;
  Random Rng;
  StreamAppender Records;
  OrderDispatcher Dispatcher;
  StreamFollower Follower;
  PoisonRegistry Poison;
  DrainState Draining;
  RetryBudget Retries;
  OutlierDetector Outliers;
  AppendLoss NextAppendLoss = AppendLoss::None;
  bool HasStopped = false;
  /// The number of requests still in progress when the drain timeout expired.
  std::size_t AbortedAtStop = 0;

private:
  LogHooks logHooks();
  Result<Offset> append(const std::string &Stream, std::string Payload);
  Result<LogPage> read(const std::string &Stream, Offset From,
                       std::size_t MaxEntries, Duration Wait);
  void notifyClaimSteps(const std::string &Payload);
  OrderDispatcherHooks dispatcherHooks();
  StreamFollowerHooks followerHooks();
  StreamHooks streamHooks(CallerAttempt &Attempt,
                          std::function<bool(const StreamChunk &)> Emit);
  EngineHooks engineHooks();
  Result<TargetId> selectTarget(RequestId Request, std::size_t Count,
                                std::uint64_t First,
                                const std::vector<TargetId> &Excluded);
  Result<StreamTarget> selectEngine(const StreamRequest &Request,
                                    std::vector<TargetId> Excluded,
                                    TimePoint Now);
  void recordTargetResult(TargetId Target, std::error_code Failure,
                          TimePoint Now);
  void sendResponse(CallerAttempt &Attempt, RequestId Request);
};

/// The address that identifies target \p Number of its kind.
TargetAddress addressOf(std::uint64_t Number);

/// The identifiers of engines and runners by their index.
TargetId engineId(std::size_t Number);
TargetId runnerId(std::size_t Number);

} // namespace bergamothook

#endif

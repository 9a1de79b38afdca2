/// \file
/// One simulated entry host: the project's own decisions over fake targets.

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

/// What all hosts of a replay share.
struct ReplayPlatform {
  ReplayPlatform(Runtime Base, std::uint64_t Seed);

  Runtime Base;
  MemoryLog Log;
  Event LogChanged;
  std::deque<FakeEngine> Engines;
  std::deque<FakeRunner> Runners;
  StepHook Reach;
  /// The target that each request was sent to last.
  std::map<RequestId, TargetId> LastTarget;
  /// The number of streams admitted by hosts, and of attempts made for them at
  /// engines.
  std::uint32_t Streams = 0;
  std::uint32_t EngineAttempts = 0;
  /// Hands a crash report to the other hosts.
  std::function<void(HostId From, const CrashReport &)> Gossip;
};

/// How the next append of a host loses its answer.
enum class AppendLoss { None, BeforeEffect, AfterEffect };

/// One attempt of a caller at one host.
struct CallerAttempt {
  std::uint32_t Number = 1;
  std::size_t Request = 0;
  std::size_t Host = 0;
  /// Set when the caller closed the connection or gave up waiting.
  bool IsAbandoned = false;
  bool HasAnswer = false;
  Outcome Verdict = Outcome::Unknown;
  std::error_code Reason;
  std::string Body;
  bool IsRetrySafe = true;
  Duration RetryAfter{};
  /// The reservations and settlements made for it.
  std::uint32_t Reserved = 0;
  std::uint32_t Settled = 0;
  Event Changed;
};

class ReplayHost {
public:
  ReplayHost(std::size_t Index, ReplayPlatform &Platform, ReplayPolicy Policy,
             std::uint64_t Seed);

  /// Serves an order or a stream in a task of this host.
  void serveOrder(OrderRequest Request, CallerAttempt &Attempt);
  void serveStream(StreamRequest Request, CallerAttempt &Attempt,
                   std::function<bool(const StreamChunk &)> Emit);

  /// Stops the host gracefully, in a task of its own.
  void stop();

  Incarnation Self;
  ReplayPlatform &Platform;
  ReplayPolicy Policy;
  HostGate Gate;
  Runtime Tasks;
  Random Dice;
  StreamAppender Records;
  OrderDispatcher Desk;
  StreamFollower Reader;
  PoisonRegistry Poison;
  DrainState Draining;
  RetryBudget Retries;
  OutlierDetector Outliers;
  AppendLoss NextLoss = AppendLoss::None;
  bool HasStopped = false;
  /// The attempts cut when the bound of the stop passed.
  std::size_t CutAtStop = 0;

private:
  LogHooks logHooks();
  Result<Offset> append(const std::string &Stream, std::string Payload);
  Result<LogPage> read(const std::string &Stream, Offset From,
                       std::size_t MaxEntries, Duration Wait);
  void reachClaims(const std::string &Payload);
  OrderDispatcherHooks deskHooks();
  StreamFollowerHooks followerHooks();
  StreamHooks streamHooks(CallerAttempt &Attempt,
                          std::function<bool(const StreamChunk &)> Emit);
  EngineHooks engineHooks();
  Result<TargetId> choose(RequestId Request, std::size_t Count,
                          std::uint64_t First,
                          const std::vector<TargetId> &Excluded);
  Result<StreamTarget> chooseEngine(const StreamRequest &Request,
                                    std::vector<TargetId> Excluded,
                                    TimePoint Now);
  void report(TargetId Target, std::error_code Failure, TimePoint Now);
  void answer(CallerAttempt &Attempt, RequestId Request);
};

/// The address that names target \p Number of its kind.
TargetAddress addressOf(std::uint64_t Number);

/// The identifiers of engines and runners, by their number.
TargetId engineId(std::size_t Number);
TargetId runnerId(std::size_t Number);

} // namespace bergamothook

#endif

/// \file
/// HTTP handler for chat completions.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_CHATHANDLER_H
#define BERGAMOTHOOK_SERVICES_ROUTER_CHATHANDLER_H

#include "AdmissionController.h"
#include "BudgetManager.h"
#include "LibApi/ChatRequest.h"
#include "LibApi/ChatResponse.h"
#include "LibConfig/ConfigSnapshot.h"
#include "LibHttp/HttpReply.h"
#include "LibObserve/Metrics.h"
#include "LibOutcome/StreamTask.h"
#include "LibRouting/ExplanationRing.h"
#include "LibRouting/OutlierDetector.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/TargetChooser.h"
#include "PeerService.h"
#include "SuspectService.h"
#include "TargetMonitor.h"

#include <map>
#include <optional>

namespace bergamothook {

struct ChatHandlerSettings {
  FailureDomainId Domain;
  StreamSettings Stream;
  /// How long a request waits for tokens that are being granted to this host.
  Duration ReserveTimeout = std::chrono::seconds(2);
  std::uint32_t DefaultMaxTokens = 512;
  /// A request must start at least this long before its deadline.
  Duration FirstTokenTarget = std::chrono::milliseconds(800);
  /// Timeout of each probe for a stream of an earlier attempt.
  Duration ProbeTimeout = std::chrono::milliseconds(500);
  /// Maximum number of engines probed for a stream of an earlier attempt.
  std::size_t MaxProbes = 64;
};

/// Components used by ChatHandler. They must outlive it.
struct ChatHandlerDependencies {
  Runtime Tasks;
  EngineHooks Engines;
  Metrics &Stats;
  BudgetManager &Budgets;
  AdmissionController &Admissions;
  TargetTable &Targets;
  TargetChooser &Chooser;
  OutlierDetector &Outliers;
  RetryBudget &Retries;
  TargetMonitor &Monitor;
  ExplanationRing &Explanations;
  SuspectService &Suspects;
  PeerService &Peers;
};

/// Handles the chat completions of one host. Each request runs in one task,
/// whose steps handle() performs in sequence.
class ChatHandler {
public:
  ChatHandler(ChatHandlerSettings Settings,
              ChatHandlerDependencies Dependencies, std::uint64_t Seed);

  /// Handles one request with a fixed revision of the configuration. Blocks the
  /// calling task until the response is complete.
  void handle(const ConfigSnapshot &Config, const HttpRequest &Request,
              HttpReply Reply);

  /// \returns the number of requests in progress.
  std::size_t active() const { return this->Active; }

private:
  /// An attempt as counted by the target table.
  struct TrackedAttempt {
    std::uint32_t PrefillTokens = 0;
    bool HasFirstToken = false;
    TimePoint SentAt;
    Duration ExpectedFirstToken{};
    Duration ExpectedPrefill{};
  };

  /// The state of one request.
  struct Job {
    const EffectiveTeam *Team = nullptr;
    TeamId Account;
    ChatRequest Chat;
    WorkClass Class = WorkClass::QuickAnswer;
    StreamRequest Stream;
    ChatResponse Envelope;
    AdmittedRequest Admitted;
    ShardReservation Reservation;
    TimePoint ArrivedAt;
    /// The attempts in flight, by target.
    std::map<TargetId, TrackedAttempt> InFlight;
    Choice LastChoice;
    std::uint32_t Attempts = 0;
    std::vector<PrefixHash> Prefix;
    /// Whether the caller sent an idempotency key, so that the request may be a
    /// retry.
    bool HasIdempotencyKey = false;
    /// The engine of an earlier attempt; reset once it has been tried.
    std::optional<TargetId> PreviousTarget;
    bool HasStarted = false;
    std::string Text;
  };

  ApiResult<Job> createJob(const ConfigSnapshot &Config,
                           const HttpRequest &Request);
  ApiResult<void> applyLimits(Job &Current, TimePoint Now) const;
  RequestId requestIdFor(TeamId Team, const HttpRequest &Request);
  ApiResult<void> admit(Job &Current, const HttpReply &Reply);
  StreamHooks makeHooks(Job &Current, HttpReply &Reply);
  Result<StreamTarget> chooseTarget(Job &Current,
                                    const std::vector<TargetId> &Excluded,
                                    TimePoint Now);
  Result<void> reserve(Job &Current, TimePoint Now);
  void setSuspectHooks(Job &Current, StreamHooks &Hooks);
  void startAttempt(Job &Current, TargetId Target);
  void endAttempt(Job &Current, TargetId Target);
  void reportAttempt(TargetId Target, std::error_code Failure, TimePoint Now);
  bool emitChunk(Job &Current, HttpReply &Reply, const StreamChunk &Chunk);
  void recordFirstToken(Job &Current);
  StreamOutcome replay(Job &Current, HttpReply &Reply);
  std::optional<StreamTarget> findStreamHolder(const Job &Current);
  void sendResult(Job &Current, HttpReply &Reply,
                  const StreamOutcome &StreamResult);
  void recordStats(const Job &Current, const StreamOutcome &StreamResult);

  ChatHandlerSettings Settings;
  ChatHandlerDependencies Dependencies;
  Random Rng;
  std::size_t Active = 0;
};

} // namespace bergamothook

#endif

/// \file
/// Answers chat completions.

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
  /// How long a request waits for tokens that are on their way to this host.
  Duration ReserveTimeout = std::chrono::seconds(2);
  std::uint32_t DefaultMaxTokens = 512;
  /// How long before its deadline a request has to start.
  Duration FirstTokenTarget = std::chrono::milliseconds(800);
  /// How long one engine is asked whether it holds an earlier answer.
  Duration ProbeTimeout = std::chrono::milliseconds(500);
  /// How many engines are asked for an earlier answer.
  std::size_t MaxProbes = 64;
};

/// What the desk works with. All of it outlives the desk.
struct ChatHandlerDependencies {
  Runtime Tasks;
  EngineHooks Engines;
  Metrics &Measured;
  BudgetManager &Budgets;
  AdmissionController &Admissions;
  TargetTable &Targets;
  TargetChooser &Chooser;
  OutlierDetector &Outliers;
  RetryBudget &Retries;
  TargetMonitor &Watch;
  ExplanationRing &Explanations;
  SuspectService &Suspects;
  PeerService &Peers;
};

/// The chat completions of one host. One task a request, written straight down
/// in answer().
class ChatHandler {
public:
  ChatHandler(ChatHandlerSettings Settings, ChatHandlerDependencies Parts,
              std::uint64_t Seed);

  /// Answers one request under one revision of the configuration. Blocks the
  /// calling task until the answer has ended.
  void answer(const ConfigSnapshot &Config, const HttpRequest &Request,
              HttpReply Reply);

  /// The requests in progress.
  std::size_t active() const { return this->Active; }

private:
  /// An attempt as the table of targets counts it.
  struct CountedAttempt {
    std::uint32_t PrefillTokens = 0;
    bool HasFirstToken = false;
    TimePoint SentAt;
    Duration ExpectedFirstToken{};
    Duration ExpectedPrefill{};
  };

  /// One request on its way.
  struct Job {
    const EffectiveTeam *Team = nullptr;
    TeamId Account;
    ChatRequest Asked;
    WorkClass Class = WorkClass::QuickAnswer;
    StreamRequest Stream;
    ChatResponse Frame;
    AdmittedRequest Admitted;
    ShardReservation Held;
    TimePoint Arrived;
    /// What was counted at the table for each attempt in flight.
    std::map<TargetId, CountedAttempt> InFlight;
    Choice LastChoice;
    std::uint32_t Attempts = 0;
    std::vector<PrefixHash> Prefix;
    /// Whether the caller named the request, so that it may be a retry.
    bool IsKeyed = false;
    /// The engine that an earlier attempt runs on, until it is tried.
    std::optional<TargetId> Earlier;
    bool IsBegun = false;
    std::string Text;
  };

  ApiResult<Job> accept(const ConfigSnapshot &Config,
                        const HttpRequest &Request);
  ApiResult<void> applyLimits(Job &Asked, TimePoint Now) const;
  RequestId requestIdFor(TeamId Team, const HttpRequest &Request);
  ApiResult<void> admit(Job &Asked, const HttpReply &Reply);
  StreamHooks hooksFor(Job &Asked, HttpReply &Reply);
  Result<StreamTarget> chooseTarget(Job &Asked,
                                    const std::vector<TargetId> &Excluded,
                                    TimePoint Now);
  Result<void> reserve(Job &Asked, TimePoint Now);
  void bindSuspects(Job &Asked, StreamHooks &Hooks);
  void startAttempt(Job &Asked, TargetId Target);
  void endAttempt(Job &Asked, TargetId Target);
  void report(TargetId Target, std::error_code Failure, TimePoint Now);
  bool emit(Job &Asked, HttpReply &Reply, const StreamChunk &Piece);
  void noteFirstToken(Job &Asked);
  StreamOutcome replay(Job &Asked, HttpReply &Reply);
  std::optional<StreamTarget> findHolder(const Job &Asked);
  void finish(Job &Asked, HttpReply &Reply, const StreamOutcome &End);
  void count(const Job &Asked, const StreamOutcome &End);

  ChatHandlerSettings Settings;
  ChatHandlerDependencies Parts;
  Random Dice;
  std::size_t Active = 0;
};

} // namespace bergamothook

#endif

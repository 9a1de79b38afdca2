/// \file
/// The input of a replay: requests, injected faults and expected outcomes.

#ifndef BERGAMOTHOOK_LIBREPLAY_SCENARIO_H
#define BERGAMOTHOOK_LIBREPLAY_SCENARIO_H

#include "LibOutcome/Outcome.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamothook {

using Milliseconds = std::chrono::milliseconds;

enum class RequestKind { Order, Stream };

/// The steps of a request, in their order.
enum class Step {
  Admit,
  Reserve,
  Claim,
  Choose,
  Connect,
  Sent,
  FirstChunk,
  MidStream,
  End,
  Settle,
  Answer,
};
inline constexpr std::size_t StepCount = 11;

enum class FaultKind {
  TargetCrash,
  TargetRefusal,
  TargetSilence,
  TargetSlow,
  LateAnswer,
  RouterDeath,
  RouterPause,
  RouterStop,
  CallerHangUp,
  RetryElsewhere,
  AppendLostBefore,
  AppendLostAfter,
  LogSlow,
  LogOut,
  Partition,
};
inline constexpr std::size_t FaultKindCount = 15;

const char *nameOf(RequestKind Value);
const char *nameOf(Step Value);
const char *nameOf(FaultKind Value);
std::optional<RequestKind> requestKindOf(const std::string &Name);
std::optional<Step> stepOf(const std::string &Name);
std::optional<FaultKind> faultKindOf(const std::string &Name);
std::optional<Outcome> outcomeOf(const std::string &Name);

/// One request of one caller, with its retries.
struct ScenarioRequest {
  RequestKind Kind = RequestKind::Order;
  Milliseconds At{0};
  std::string Team = "team";
  std::string Key;
  std::string Body;
  /// The host of the first attempt; each retry uses the next host.
  std::size_t Host = 0;
  /// How long the caller waits for one attempt.
  Milliseconds Timeout{8000};
  /// The maximum number of attempts.
  std::uint32_t Attempts = 4;
  /// The length of the response of a stream.
  std::uint32_t Tokens = 40;
  bool MayRepeat = true;
  bool MayHedge = false;
  /// Whether the content crashes every engine that runs it.
  bool IsPoison = false;
  /// Whether the caller fetches a ticket first and uses it as the key.
  bool HasTicket = false;
  /// Whether the caller sends the attempt number.
  bool CountsAttempts = true;
  /// The outcomes allowed in the last response; empty if only the invariants
  /// are checked.
  std::vector<Outcome> Expected;
  /// The expected total number of runs at targets, if specified.
  std::optional<std::uint32_t> ExpectedRuns;
};

/// One fault, injected at a time or when a request reaches a step.
struct ScenarioFault {
  FaultKind Kind = FaultKind::TargetCrash;
  /// The request whose step triggers the fault; nullopt for a fault at a time.
  std::optional<std::size_t> Request;
  Step At = Step::Admit;
  Milliseconds AtTime{0};
  Milliseconds Span{3000};
  /// The index of the host or target for a fault at a time.
  std::size_t Subject = 0;
};

/// Whether hosts use the project's own code or a baseline.
enum class ReplayPolicy { Project, PlainRetry, NoRetry };

struct Scenario {
  std::string Name;
  std::uint64_t Seed = 1;
  std::size_t Hosts = 3;
  std::size_t Engines = 3;
  std::size_t Runners = 3;
  /// Whether order runners refuse a stale fencing number.
  bool ChecksFence = false;
  ReplayPolicy Policy = ReplayPolicy::Project;
  std::vector<ScenarioRequest> Requests;
  std::vector<ScenarioFault> Faults;
};

/// The result of one request.
struct RequestReport {
  /// The outcomes that the caller received, in order. Attempts without a
  /// response are omitted.
  std::vector<Outcome> Outcomes;
  std::string LastReason;
  /// How often a target ran it.
  std::uint32_t Runs = 0;
  /// How often a target was sent it.
  std::uint32_t Dispatches = 0;
  bool IsComplete = false;
  Milliseconds ElapsedTime{0};
};

struct ScenarioReport {
  std::vector<RequestReport> Requests;
  /// A description of each violated invariant.
  std::vector<std::string> Violations;
  /// A description of each difference from the expected outcomes.
  std::vector<std::string> Differences;
  std::uint32_t Crashes = 0;
  std::uint32_t DoubledOrders = 0;
  std::uint32_t FalseNotRun = 0;
  std::uint32_t TruncatedResponses = 0;
  /// The streams that hosts admitted, and the attempts made at engines.
  std::uint32_t Streams = 0;
  std::uint32_t EngineAttempts = 0;
  /// The number of faults that were injected.
  std::uint32_t FaultsInjected = 0;
};

/// Runs \p Input in virtual time with the production decision code and fake
/// targets. Deterministic for a given scenario.
ScenarioReport runScenario(const Scenario &Input);

} // namespace bergamothook

#endif

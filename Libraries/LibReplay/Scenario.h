/// \file
/// What a replay runs: requests, the faults that strike them, and what is
/// expected of each.

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
  /// The host of the first attempt; each retry goes to the next one.
  std::size_t Host = 0;
  /// How long the caller waits for one attempt.
  Milliseconds Patience{8000};
  /// How often the caller sends it.
  std::uint32_t Attempts = 4;
  /// The length of the answer of a stream.
  std::uint32_t Tokens = 40;
  bool MayRepeat = true;
  bool MayHedge = false;
  /// Set for content that crashes each engine that runs it.
  bool IsPoison = false;
  /// Set when the caller fetches a ticket first, and uses it as its key.
  bool HasTicket = false;
  /// Whether the caller tells the number of the attempt.
  bool CountsAttempts = true;
  /// What the last answer may be; empty where anything true is allowed.
  std::vector<Outcome> Expected;
  /// How often targets ran it in the end, where that is stated.
  std::optional<std::uint32_t> ExpectedRuns;
};

/// One fault. It strikes at a time, or when a request reaches a step.
struct ScenarioFault {
  FaultKind Kind = FaultKind::TargetCrash;
  /// The request whose step is waited for; none for a fault at a time.
  std::optional<std::size_t> Request;
  Step At = Step::Admit;
  Milliseconds AtTime{0};
  Milliseconds Span{3000};
  /// The host or target struck by a fault at a time.
  std::size_t Subject = 0;
};

/// How hosts treat requests: as the project does, or as a baseline.
enum class ReplayPolicy { Project, PlainRetry, NoRetry };

struct Scenario {
  std::string Name;
  std::uint64_t Seed = 1;
  std::size_t Hosts = 3;
  std::size_t Engines = 3;
  std::size_t Runners = 3;
  /// Whether order runners refuse an old fencing number.
  bool ChecksFence = false;
  ReplayPolicy Policy = ReplayPolicy::Project;
  std::vector<ScenarioRequest> Requests;
  std::vector<ScenarioFault> Faults;
};

/// What one request came to.
struct RequestReport {
  /// The answers that the caller got, in order; an attempt without an answer
  /// is left out.
  std::vector<Outcome> Outcomes;
  std::string LastReason;
  /// How often a target ran it.
  std::uint32_t Runs = 0;
  /// How often a target was asked to.
  std::uint32_t Dispatches = 0;
  bool IsWhole = false;
  Milliseconds Took{0};
};

struct ScenarioReport {
  std::vector<RequestReport> Requests;
  /// Each broken invariant, in words.
  std::vector<std::string> Violations;
  /// Each difference from what was expected, in words.
  std::vector<std::string> Differences;
  std::uint32_t Crashes = 0;
  std::uint32_t DoubledOrders = 0;
  std::uint32_t FalseNotRun = 0;
  std::uint32_t TruncatedResponses = 0;
  /// The streams that hosts admitted, and the attempts made at engines.
  std::uint32_t Streams = 0;
  std::uint32_t EngineAttempts = 0;
  /// The number of faults whose step was reached.
  std::uint32_t FaultsStruck = 0;
};

/// Runs \p Played in virtual time over the real decisions and fake targets. The
/// same scenario gives the same report.
ScenarioReport runScenario(const Scenario &Played);

} // namespace bergamothook

#endif

/// \file
/// A relay in virtual time, with scripted targets and one caller.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAY_RELAYFIXTURE_H
#define BERGAMOTHOOK_TESTS_LIBRELAY_RELAYFIXTURE_H

#include "LibNet/NetError.h"
#include "LibRelay/RelayDispatcher.h"
#include "LibTask/VirtualRuntime.h"

#include <deque>
#include <map>

namespace bergamothook {

/// The scripted behaviour of one target for one call.
struct ScriptedResponse {
  /// The connection fails.
  bool IsUnreachable = false;
  /// What the target says of its run if it is asked.
  RunAnswer Run = RunAnswer::Listed;
  /// The age of the connection.
  Duration ConnectedFor{};
  ResponseVerdict Verdict = ResponseVerdict::Ran;
  unsigned Status = 200;
  /// Pieces of the body, each with the delay before it.
  std::vector<std::pair<Duration, std::string>> Pieces{};
  /// The body of the next response on the same connection.
  std::vector<std::pair<Duration, std::string>> NextPieces{};
  bool IsEventStream = true;
  /// Memory runs out as the head is read.
  bool ThrowsBadAlloc = false;
  /// How the connection ends after the pieces; unset for a complete response.
  std::error_code ConnectionError{};
  /// The response has neither a length nor chunks.
  bool EndsWithConnection = false;
  /// The response stalls after the pieces.
  bool Stalls = false;
  /// The rate limit that the target states.
  std::optional<double> RateLimit{};
  Duration HeadAfter = std::chrono::milliseconds(5);
};

/// A call that was sent to a target.
struct SentCall {
  std::string Target;
  std::optional<std::uint64_t> ResumeAfter;
  Duration TimeLeft{};
  RunCheck Check = RunCheck::None;
  /// The relay closed the connection.
  bool WasAborted = false;
};

class RelayFixture {
public:
  /// \p Adjust changes the hooks of the relay.
  explicit RelayFixture(const std::function<void(RelayHooks &)> &Adjust =
                            [](RelayHooks &) {});

  /// Adds a target of the service "engines", or lists it again.
  void addTarget(const std::string &Id, const std::string &Version = "v1");
  /// The target is in the list, but its version is not on record yet.
  void listTarget(const std::string &Id, const std::string &Version);
  void removeTarget(const std::string &Id);
  /// Applies a record on the evacuation of a failure domain.
  void evacuate(const std::string &FailureDomain, bool IsEvacuated = true);

  /// Reports that a target is cold for a time from now on, or warm.
  void reportCold(const std::string &Id, Duration Left);

  /// Activates the configuration that the fields below describe.
  void configure();

  /// Starts the token budgets, and stops them; both wait until that is done.
  void beginTokens();
  void endTokens();

  /// Serves one call until it ends. \returns the outcome.
  RelayOutcome serve(RelayCall Call);
  RelayCall makeCall();
  CallerHooks makeCaller();
  /// Responses of a target: a stream of one event, and a failed connection.
  static ScriptedResponse makeOneEvent();
  static ScriptedResponse makeUnreachable();

  /// Where targets are that are listed from now on.
  std::string TargetDomain;
  /// Requests per second that a cold target accepts; 0 without cold targets.
  double ColdPerSecond = 0;
  /// For how long targets stay cold by their health responses; unset if they
  /// do not respond.
  std::optional<Duration> HealthResponse;
  int HealthRequests = 0;
  RelayRoute Route;
  RelayTeam Team;
  std::uint64_t Version = 1;

  /// The responses in the order of the sends, whatever the target.
  std::deque<ScriptedResponse> Responses;
  std::vector<SentCall> SentCalls;
  /// Called before each send, with the number of sends so far.
  std::function<void(std::size_t)> BeforeSend = [](std::size_t) {};
  /// Called while the connection for the newest call is being set up.
  std::function<void()> WhileConnecting = [] {};

  // What the caller received.
  unsigned Status = 0;
  std::string Body;
  bool IsEnded = false;
  bool IsBroken = false;
  std::optional<Duration> RetryAfter;
  /// Writes to the caller fail.
  bool FailsWrites = false;
  /// When the host answers all calls since it stops, and until when calls that
  /// may not be repeated must end.
  TimePoint AnswersAt = TimePoint::max();
  TimePoint LastEnd = TimePoint::max();
  /// When the caller disconnects.
  TimePoint LeavesAt = TimePoint::max();

  /// The versions on the log.
  std::map<std::string, VersionSet> InUse;

  VirtualRuntime Simulated;
  MemoryBudgetHandle Memory =
      std::make_shared<MemoryBudget>(MemoryPolicy{16 * 1024 * 1024, 8 * 1024});
  Metrics Stats;
  TokenBroker Wallets;
  RelayDispatcher Dispatcher;

private:
  RelayHooks makeHooks(const std::function<void(RelayHooks &)> &Adjust);
  TokenHooks tokenHooks();
  TargetExchange makeExchange(const ScriptedResponse &Response,
                              std::size_t Index);

  Event Changed;
};

} // namespace bergamothook

#endif

/// \file
/// A relay in virtual time, with scripted targets and one caller.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAY_RELAYFIXTURE_H
#define BERGAMOTHOOK_TESTS_LIBRELAY_RELAYFIXTURE_H

#include "LibNet/NetError.h"
#include "LibRelay/RelayDesk.h"
#include "LibTask/VirtualRuntime.h"

#include <deque>
#include <map>

namespace bergamothook {

/// What one target does with one call.
struct FakeAnswer {
  /// No connection comes about.
  bool IsUnreachable = false;
  AnswerVerdict Verdict = AnswerVerdict::Ran;
  unsigned Status = 200;
  /// Pieces of the body, each with the time that passes before it.
  std::vector<std::pair<Duration, std::string>> Pieces;
  /// The body of the next response on the same connection.
  std::vector<std::pair<Duration, std::string>> NextPieces;
  /// How the connection ends after the pieces; nothing for a whole answer.
  std::error_code EndsWith;
  /// The answer never goes on after the pieces.
  bool IsSilent = false;
  Duration HeadAfter = std::chrono::milliseconds(5);
};

/// A call that reached a target.
struct SeenCall {
  std::string Target;
  std::optional<std::uint64_t> ResumeAfter;
  Duration TimeLeft{};
  /// The relay closed the connection.
  bool WasAborted = false;
};

class RelayFixture {
public:
  RelayFixture();

  /// Adds a target of the service "engines".
  void addTarget(const std::string &Id);

  /// Puts the configuration that the fields below describe in force.
  void configure();

  /// Serves one call to its end. \returns the outcome.
  RelayOutcome serve(RelayCall Call);
  RelayCall makeCall();

  RelayRoute Route;
  RelayTeam Team;
  std::uint64_t Version = 1;

  /// The answers in the order of the sends, whatever the target.
  std::deque<FakeAnswer> Answers;
  std::vector<SeenCall> Seen;

  // What the caller got.
  unsigned Status = 0;
  std::string Body;
  bool IsEnded = false;
  bool IsBroken = false;
  std::optional<Duration> RetryAfter;
  /// The caller takes no bytes.
  bool IsDeaf = false;
  /// When the caller leaves.
  TimePoint LeavesAt = TimePoint::max();

  VirtualRuntime Simulated;
  Metrics Measured;
  TokenBroker Wallets;
  RelayDesk Desk;

private:
  RelayHooks makeHooks();
  TokenHooks tokenHooks();
  CallerSide makeCaller();
  TargetExchange makeExchange(const FakeAnswer &Answer, std::size_t Index);

  Event Changed;
};

} // namespace bergamothook

#endif

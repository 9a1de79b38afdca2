/// \file
/// One call on its way through its attempts. Lives on the stack of its task.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYRUN_H
#define BERGAMOTHOOK_LIBRELAY_RELAYRUN_H

#include "LibRelay/EventSplitter.h"
#include "LibRelay/RelayDesk.h"

namespace bergamothook::detail {

/// How one attempt at one target ended.
enum class AttemptEnd {
  /// The caller has the whole answer.
  Done,
  /// No byte was sent.
  NotSent,
  /// The target did not run the call.
  NotRun,
  /// The target ran the call and reports a failure of its own.
  Failed,
  /// The call may have run; nothing of an answer is of use.
  Lost,
  /// The answer is damaged.
  Garbled,
  /// The deadline passed.
  OutOfTime,
  /// The request crashed targets before, so it is sent to none.
  Quarantined,
  CallerLeft,
};

class RelayRun {
public:
  RelayRun(RelayDesk &Desk, const RelayCall &Call, const CallerSide &Caller);

  RelayOutcome run();

private:
  bool setTokensAside();
  void runAttempts();
  void chooseService();
  TargetState *chooseTarget();
  AttemptEnd attempt(const ListedTarget &Target);
  /// Reads the answer to another call. \returns why the connection is of no
  /// more use.
  std::optional<AttemptEnd> passOver(TargetExchange &Exchange,
                                     std::size_t &Passed) const;
  AttemptEnd readAnswer(TargetExchange &Exchange);
  AttemptEnd relayWhole(TargetExchange &Exchange, HttpResponseHead Head);
  AttemptEnd relayStream(TargetExchange &Exchange, HttpResponseHead Head);
  AttemptEnd endOf(std::error_code Failure) const;
  bool forward(const EventRun &Run);
  bool mayGoOn(AttemptEnd End);
  bool mayRunAgain() const;
  void giveUp(AttemptEnd End);
  void noteTarget(const std::string &Id, AttemptEnd End);
  void finish(RelayEnd End, RelayReason Reason);
  void refuse(unsigned Status, RelayEnd End, RelayReason Reason,
              std::optional<Duration> RetryAfter = std::nullopt);
  void settle();
  TimePoint now() const { return this->Hooks.Tasks.Now(); }

  RelayDesk &Desk;
  const RelayHooks &Hooks;
  const RelayCall &Call;
  const CallerSide &Caller;
  /// What tells the request from others, whichever attempt it is.
  Hash128 Content;
  TimePoint Deadline;
  RelayOutcome Result;
  std::string Service;
  std::uint32_t TokensPerEvent = 1;
  /// Targets that are not to be tried again.
  std::set<std::string> Excluded;
  unsigned TargetsThatMayHaveRun = 0;
  bool IsPromptBeingRead = false;
  /// The present target gave an event, so the request did not crash it.
  bool HasEventOfTarget = false;
  EventSplitter Events;
  bool HasBegun = false;
  /// The tokens set aside for the call.
  std::optional<TokenReservation> Hold;
  /// The failure that a target reported, to be handed on if nothing better
  /// comes.
  std::optional<std::pair<HttpResponseHead, std::string>> Reported;
};

} // namespace bergamothook::detail

#endif

/// \file
/// Handles one call through all its attempts. Lives on the stack of its task.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYCALLHANDLER_H
#define BERGAMOTHOOK_LIBRELAY_RELAYCALLHANDLER_H

#include "LibRelay/AttemptEnd.h"
#include "LibRelay/EventSplitter.h"
#include "LibRelay/RelayDispatcher.h"
#include "LibRelay/StreamVersionRule.h"

namespace bergamothook::detail {

class RelayCallHandler {
public:
  RelayCallHandler(RelayDispatcher &Dispatcher, const RelayCall &Call,
                   const CallerHooks &Caller);

  RelayOutcome run();

private:
  void runCall();
  bool reserveTokens();
  void runAttempts();
  void tryTargets();
  /// Waits in the queue of the service. \returns whether the call may start;
  /// otherwise it has been answered.
  bool awaitStart();
  /// Reports the first event of an answer, for the limit of the service.
  void recordFirstEvent();
  /// Refuses a call because recent ones failed for the same reason.
  void refuseAtGate(RelayReason Reason, Duration RetryAfter);
  void chooseService();
  /// \returns whether the call may resume the stream that it names, if any.
  bool mayResume();
  /// \returns whether another host may serve the call.
  bool mayForward() const;
  /// \returns whether another host is to serve it, since this one reaches no
  /// target or has only begun to again.
  bool mustForward() const;
  /// Has another host serve the call, and answers it.
  void forward();
  /// \returns whether there is no use in waiting for an answer of \p Target: it
  /// is silent, as this host reaches no target, and the call may be repeated.
  bool isAbandoned(const ListedTarget &Target) const;
  TargetState *chooseTarget();
  /// Chooses among targets that match, and waits for those that don't yet.
  TargetState *awaitTarget();
  /// Requests a permit to send the call to \p Target if that one states a rate
  /// limit.
  bool acquirePermit(const ListedTarget &Target);
  /// Requests the health of \p Target if it may be cold without an entry that
  /// tells. \returns whether the call may be sent as far as this decides.
  bool checkHealth(const ListedTarget &Target);
  /// Requests a permit to send the call to \p Target if that one is cold.
  bool acquireColdPermit(const ListedTarget &Target);
  /// \returns whether \p Target is warm, or this call has a permit that is new
  /// enough to be used.
  bool maySendCold(const ListedTarget &Target) const;
  bool isCold(const ListedTarget &Target) const;
  std::string coldKeyOf(const ListedTarget &Target) const;
  /// Excludes a target that refused this call a permit, for a time.
  void recordRefusedPermit(const ListedTarget &Target, const std::string &Key,
                           const PermitDecision &Permit);
  /// \returns the cold targets that this call was not sent to.
  std::vector<const TargetState *> refusingColdTargets();
  /// \returns when a caller may return that was refused because the targets
  /// are cold.
  Duration coldRetryAfter();
  /// \returns the keys of the targets that are at their rate limits, or were
  /// when this call was to be sent to them.
  std::vector<std::string> rateLimitedTargets();
  /// \returns why there is no target left to send the call to.
  AttemptEnd endWithoutTarget();
  AttemptEnd attempt(const ListedTarget &Target);
  /// Sends the call and reads the answer.
  AttemptEnd exchange(const ListedTarget &Target, const HttpRequestHead &Head);
  /// \returns how an attempt ended that sent no byte: the target could not be
  /// reached, or may no longer receive the call.
  AttemptEnd endOfUnsent(const ListedTarget &Target);
  /// Reads and discards the body of a stale response. \returns why the
  /// connection can no longer be used, if it cannot.
  std::optional<AttemptEnd> discardStaleBody(TargetExchange &Exchange,
                                             std::size_t &DiscardedBytes) const;
  SendKind sendKind() const;
  void logResumption(const ListedTarget &Target) const;
  void recordRateLimit(const HttpResponseHead &Head,
                       const ListedTarget &Target);
  AttemptEnd readResponse(TargetExchange &Exchange, const ListedTarget &Target);
  AttemptEnd relayBuffered(TargetExchange &Exchange, HttpResponseHead Head);
  AttemptEnd relayStream(TargetExchange &Exchange, HttpResponseHead Head,
                         const ListedTarget &Target);
  /// Counts \p Bytes of answers that are held for the caller. \returns false if
  /// there is no memory for them.
  bool hold(std::size_t Bytes);
  bool sendResponse(const HttpResponseHead &Head, std::string_view Body);
  AttemptEnd attemptEndOf(std::error_code Failure) const;
  bool forwardEvents(const EventBatch &Batch);
  bool shouldRetry(AttemptEnd End);
  /// \returns whether the call may be sent again after \p MayHaveRun targets
  /// may have executed it.
  bool isRepeatAllowed(unsigned MayHaveRun) const;
  void finishFailed(AttemptEnd End);
  void recordAttempt(const ListedTarget &Target, AttemptEnd End);
  void recordLoss(const ListedTarget &Target);
  void recordAnswer();
  bool isQuarantined();
  /// \returns whether the call may be passed on: the host may stop too soon.
  bool maySend() const;
  /// \returns whether the service has only evacuated targets.
  bool isEvacuated() const;
  /// \returns whether there is no use in waiting to pass the call on.
  bool isGivenUp() const;
  void finish(RelayEnd End, RelayReason Reason);
  void refuse(unsigned Status, RelayEnd End, RelayReason Reason,
              std::optional<Duration> RetryAfter = std::nullopt);
  void settle();
  TimePoint now() const { return this->Hooks.Tasks.Now(); }

  RelayDispatcher &Dispatcher;
  const RelayHooks &Hooks;
  const RelayCall &Call;
  const CallerHooks &Caller;
  RequestTraits Traits;
  /// What the quarantine last decided about this call.
  SendAdmission Admission = SendAdmission::Allowed;
  TimePoint Deadline;
  RelayOutcome Outcome;
  std::string Service;
  std::uint32_t TokensPerEvent = 1;
  /// Targets that are not tried again.
  std::set<std::string> Excluded;
  /// Keys of the targets for which this call got no permit.
  std::set<std::string> RefusedPermits;
  /// The permit for the cold target that the call is sent to next.
  std::optional<PermitDecision> ColdPermit;
  /// Targets to which the call was sent, or that could not be reached.
  unsigned Attempts = 0;
  /// Attempts whose target could not be connected to.
  unsigned AttemptsNotSent = 0;
  /// Set while a call that may be refused for unreachable targets tries them.
  std::optional<FailureGate::Pass> TargetPass;
  unsigned TargetsThatMayHaveRun = 0;
  bool IsPrefillPending = false;
  /// The call was sent to the current target, whose answer is being read.
  bool IsAwaitingTarget = false;
  /// Events that the current target has sent.
  std::uint32_t EventsFromTarget = 0;
  /// When the call was sent to the current target.
  TimePoint SentAt{};
  EventSplitter Events;
  /// The id of the last event that was sent to the caller. Events that were
  /// read after it are read again from the next target.
  std::optional<std::uint64_t> LastSentId;
  /// The last event that was sent has none, so that no other target can go on.
  bool EndsWithoutId = false;
  /// A response other than a stream was written.
  bool IsAnswered = false;
  bool HasStreamStarted = false;
  /// A write of the stream has begun, and may have failed in the middle.
  bool IsWriting = false;
  /// A target was left out since it may be another run than the listed one.
  bool IsRunUnknown = false;
  /// The target that sent the first event.
  ListedTarget FirstTarget;
  StreamVersionRule Versions;
  MemoryHold Memory;
  /// Held until the call no longer needs a target.
  std::optional<CallPlace> Place;
  /// The tokens reserved for the call.
  std::optional<TokenReservation> Hold;
  /// The failure that a target reported; passed on to the caller if no other
  /// attempt succeeds.
  std::optional<std::pair<HttpResponseHead, std::string>> TargetFailure;
};

} // namespace bergamothook::detail

#endif

/// \file
/// Runs orders at most once across the fleet. Each host has one dispatcher,
/// which claims orders on the log, dispatches those whose claim won, and
/// answers retries from the state of the log.

#ifndef BERGAMOTHOOK_LIBOUTCOME_ORDERDISPATCHER_H
#define BERGAMOTHOOK_LIBOUTCOME_ORDERDISPATCHER_H

#include "LibBase/Random.h"
#include "LibOutcome/OrderFold.h"
#include "LibOutcome/OrderKey.h"
#include "LibOutcome/Outcome.h"
#include "LibStream/StreamAppender.h"
#include "LibTarget/ServiceHooks.h"
#include "LibTask/Runtime.h"

#include <deque>

namespace bergamothook {

/// A target that can run an order.
struct OrderTarget {
  TargetId Id;
  TargetAddress Address;
};

/// An order as sent by its caller.
struct OrderRequest {
  TeamId Team;
  std::string Key;
  /// The name of the service or order runner.
  std::string Service;
  std::string Method = "POST";
  std::string Path;
  std::string Body;
  std::string ContentType;
  /// The time until which the caller waits.
  TimePoint Deadline;
  /// The number of the caller's attempt with this key, as stated by the caller;
  /// 0 if not stated. Only for attempt 1 may a host that cannot read the log
  /// answer NotRun, since an earlier attempt may be running elsewhere.
  std::uint32_t CallerAttempt = 0;
};

/// The answer to the caller of an order.
struct OrderAnswer {
  Outcome Verdict = Outcome::Unknown;
  /// Why the verdict is not an unqualified Done; empty otherwise.
  std::error_code Reason;
  /// The response of the target, if the verdict is Done.
  ServiceAnswer Answer;
  /// Set if the answer was recorded for an earlier attempt.
  bool IsRecorded = false;
  /// Whether the caller may retry with the same key. Retries never run an order
  /// twice in this system; false means that a retry can never succeed.
  bool IsRetrySafe = true;
  /// How long the caller should wait before a retry; zero if a retry is
  /// pointless.
  Duration RetryAfter = Duration::zero();
  /// The process that claimed the order, if known.
  Incarnation Claimant;
};

struct OrderDispatcherHooks {
  Runtime Tasks;
  ServiceHooks Service;
  /// Chooses a target of the request's service that is not excluded.
  std::function<Result<OrderTarget>(const OrderRequest &,
                                    const std::vector<TargetId> &Excluded,
                                    TimePoint Now)>
      ChooseTarget;
  /// Reports the result of each call to the circuit breakers and the load
  /// tracking.
  std::function<void(TargetId, std::error_code, TimePoint Now)> Report;
  /// Reads the wall clock, which is used only to date keys and records.
  std::function<WallTime()> WallNow;
};

struct OrderDispatcherSettings {
  /// How long to wait until a claim is read back from the log before the order
  /// is rejected.
  Duration ClaimTimeout = std::chrono::seconds(3);
  /// How long to wait for the response to a dispatched order. The wait
  /// continues after the caller has disconnected, so that a late response is
  /// still recorded.
  Duration ResultTimeout = std::chrono::seconds(60);
  Duration RetryAfterRunning = std::chrono::seconds(1);
  Duration RetryAfterOutage = std::chrono::seconds(5);
  /// How far in the future of this host's clock a key may be dated.
  std::chrono::milliseconds MaxKeyAhead = std::chrono::hours(24);
  /// The size limit of response bodies that are stored for retries.
  std::size_t MaxStoredBodyBytes = 16 * 1024;
  /// The maximum number of targets that one claim tries, while each failure
  /// proves that the order did not run.
  std::size_t MaxTargets = 3;
  /// How long an issued ticket can be used.
  Duration TicketLifetime = std::chrono::hours(24);
  std::size_t MaxTickets = 100'000;
};

/// The state of a ticket issued by this host.
struct OrderTicketState {
  TeamId Team;
  TimePoint IssuedAt;
  bool IsUsed = false;
};

/// Runs the orders of one host. All calls come from tasks of one runtime, which
/// the dispatcher must outlive.
class OrderDispatcher {
public:
  OrderDispatcher(Incarnation Self, StreamAppender &Records,
                  OrderFoldLimits StateLimits, OrderDispatcherSettings Settings,
                  OrderDispatcherHooks Hooks, std::uint64_t Seed);

  /// Applies the next record of the stream, and confirms to the appender that
  /// it was read back. The follower of the stream calls it for each record.
  void apply(const StreamRecord &Record, RecordPosition Position);

  /// Runs \p Request, or answers it from the log. Blocks the calling task until
  /// there is an answer, at most until the request's deadline.
  OrderAnswer run(const OrderRequest &Request);

  /// Issues a ticket, which lets this host dispatch one order of \p Team while
  /// the log is unavailable. Fails with OutcomeError::Draining if the host is
  /// stopping or has too many outstanding tickets.
  Result<std::string> issueTicket(TeamId Team);

  /// Rejects new orders from now on, and waits until those in progress have
  /// ended or \p Deadline passes. \returns whether none is left.
  bool drain(TimePoint Deadline);

  /// Records on the log that \p Process has ended.
  Result<void> declareEnded(Incarnation Process);

  /// Records an operator's settlement of an order whose outcome is unknown, and
  /// waits until it is on the log.
  Result<void> settle(const OrderSettled &Settlement, TimePoint Deadline);

  const OrderFold &state() const { return this->State; }
  OrderFold &state() { return this->State; }

  /// \returns the number of orders dispatched by this host that have not ended.
  std::size_t running() const { return this->Running.size(); }

private:
  /// An order dispatched by this host.
  struct Dispatch {
    OrderRequest Request;
    RequestId Id;
    RecordId Claim;
    OrderTarget Target;
    std::uint64_t FencingNumber = 0;
  };

  /// The result of a local dispatch, kept until it is read back from the log.
  struct LocalResult {
    Outcome Verdict = Outcome::Unknown;
    std::error_code Reason;
    ServiceAnswer Answer;
    Hash128 BodyHash;
  };

  std::optional<OrderAnswer> rejectKey(const OrderRequest &Request,
                                       RequestId Id) const;
  std::optional<OrderAnswer> runOnce(const OrderRequest &Request);
  std::optional<OrderAnswer> runClaimed(const OrderRequest &Request,
                                        RequestId Id);
  std::optional<OrderAnswer> runTicketed(const OrderRequest &Request,
                                         RequestId Id,
                                         const OrderTicket &Ticket);
  OrderAnswer rejectUnavailable(const OrderRequest &Request) const;
  OrderAnswer abandonClaim(RequestId Id, RecordId Claim, OutcomeError Reason);
  std::optional<OrderAnswer> currentAnswer(RequestId Id,
                                           Hash128 BodyHash) const;
  std::optional<OrderAnswer> answerFromState(RequestId Id,
                                             Hash128 BodyHash) const;
  std::optional<OrderAnswer> answerFromLocalResult(RequestId Id,
                                                   Hash128 BodyHash) const;
  std::optional<OrderAnswer> waitForResult(RequestId Id, Hash128 BodyHash,
                                           TimePoint Deadline);
  OrderAnswer notRun(std::error_code Reason, Duration RetryAfter) const;

  void dispatch(Dispatch Order);
  LocalResult callTargets(Dispatch &Order);
  Result<ServiceAnswer> callOnce(const Dispatch &Order, AttemptNumber Attempt);
  void recordResult(const Dispatch &Order, const LocalResult &Local);
  void release(RequestId Id, RecordId Claim);
  StreamRecord makeClaim(const OrderRequest &Request, RequestId Id,
                         TargetId Target, bool IsTicketed);
  std::int64_t wallMilliseconds() const;
  void expireTickets(TimePoint Now);
  void markTicketUnused(const std::string &Key);

  template <typename Body>
  void record(OrderRecordKind Kind, const Body &Content);

  Incarnation Self;
  StreamAppender &Records;
  OrderDispatcherSettings Settings;
  OrderDispatcherHooks Hooks;
  OrderFold State;
  Random Rng;
  /// The orders that this host is dispatching, with their claims.
  std::map<RequestId, RecordId> Running;
  /// Results of orders that ended on this host and are not on the log yet.
  std::map<RequestId, LocalResult> LocalResults;
  std::map<OrderTicket, OrderTicketState> Tickets;
  Event Changed;
  /// The number of run() calls in progress.
  std::size_t CallsInProgress = 0;
  bool IsDraining = false;
};

} // namespace bergamothook

#endif

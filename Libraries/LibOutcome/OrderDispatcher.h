/// \file
/// Runs orders at most once over the whole fleet. Each host has one desk, which
/// claims orders on the log, dispatches what it won, and answers retries from
/// what the log tells.

#ifndef BERGAMOTHOOK_LIBOUTCOME_ORDERDISPATCHER_H
#define BERGAMOTHOOK_LIBOUTCOME_ORDERDISPATCHER_H

#include "LibBase/Random.h"
#include "LibOutcome/OrderKey.h"
#include "LibOutcome/OrderStateMachine.h"
#include "LibOutcome/Outcome.h"
#include "LibStream/StreamAppender.h"
#include "LibTarget/ServiceHooks.h"
#include "LibTask/Runtime.h"

#include <deque>

namespace bergamothook {

/// A target that an order can be sent to.
struct OrderTarget {
  TargetId Id;
  TargetAddress Address;
};

/// An order as its caller sent it.
struct OrderRequest {
  TeamId Team;
  std::string Key;
  /// The name of the service or order runner.
  std::string Service;
  std::string Method = "POST";
  std::string Path;
  std::string Body;
  std::string ContentType;
  /// How long the caller waits.
  TimePoint Deadline;
  /// Which attempt of the same key this is, as the caller says; 0 if it does
  /// not say. Only 1 lets a host that can't read the log answer NotRun, since
  /// an earlier attempt may be running elsewhere.
  std::uint32_t CallerAttempt = 0;
};

/// The answer to the caller of an order.
struct OrderAnswer {
  Outcome Verdict = Outcome::Unknown;
  /// Why the verdict is not plainly Done; empty otherwise.
  std::error_code Reason;
  /// What the target answered, where the verdict is Done.
  ServiceAnswer Answer;
  /// Set when the answer was recorded for an earlier attempt.
  bool IsRecorded = false;
  /// Whether sending the same key again can't run the order twice. It can't
  /// through this system; false only where it would never help.
  bool IsRetrySafe = true;
  /// When a retry is worth its while; zero where it is not.
  Duration RetryAfter = Duration::zero();
  /// The process that claimed the order, where one is known.
  Incarnation Claimant;
};

struct OrderDispatcherHooks {
  Runtime Tasks;
  ServiceHooks Service;
  /// Gives a target of \p Service that is not among those excluded.
  std::function<Result<OrderTarget>(const OrderRequest &,
                                    const std::vector<TargetId> &Excluded,
                                    TimePoint Now)>
      ChooseTarget;
  /// Takes the result of each call, for circuit breakers and load.
  std::function<void(TargetId, std::error_code, TimePoint Now)> Report;
  /// Gives the wall clock, which only dates keys and records.
  std::function<WallTime()> WallNow;
};

struct OrderDispatcherSettings {
  /// How long a claim may wait to be read back before the order is refused.
  Duration ClaimTimeout = std::chrono::seconds(3);
  /// How long a dispatched order is waited for, also after its caller left, so
  /// that a late answer is still recorded.
  Duration ResultTimeout = std::chrono::seconds(60);
  Duration RetryAfterRunning = std::chrono::seconds(1);
  Duration RetryAfterOutage = std::chrono::seconds(5);
  /// How far a key may be dated ahead of this host's clock.
  std::chrono::milliseconds MaxKeyAhead = std::chrono::hours(24);
  /// The longest answer that is kept for retries.
  std::size_t MaxKeptBodyBytes = 16 * 1024;
  /// The most targets that one claim tries while each proves not to have run.
  std::size_t MaxTargets = 3;
  /// How long an unused ticket can be used.
  Duration TicketLifetime = std::chrono::hours(24);
  std::size_t MaxTickets = 100'000;
};

/// What a host knows of its own tickets.
struct OrderTicketState {
  TeamId Team;
  TimePoint IssuedAt;
  bool IsUsed = false;
};

/// The orders of one host. All calls come from tasks of one runtime, and the
/// desk outlives them.
class OrderDispatcher {
public:
  OrderDispatcher(Incarnation Self, StreamAppender &Records,
                  OrderStateMachineLimits Memory,
                  OrderDispatcherSettings Settings, OrderDispatcherHooks Hooks,
                  std::uint64_t Seed);

  /// Takes the next record of the stream, and tells the appender that it was
  /// read back. The follower of the stream calls it for each record.
  void apply(const StreamRecord &Record, RecordPosition Position);

  /// Carries out \p Request, or answers it from the log. Blocks the calling
  /// task until there is an answer, at most until the request's deadline.
  OrderAnswer run(const OrderRequest &Request);

  /// Issues a ticket, which lets this host dispatch one order of \p Team
  /// while the log is out. OutcomeError::Draining when the host is stopping or
  /// has too many tickets out.
  Result<std::string> issueTicket(TeamId Team);

  /// Takes no new orders from now on, and waits until those dispatched have
  /// ended, at most until \p Deadline. \returns whether none is left.
  bool drain(TimePoint Deadline);

  /// Declares that the process \p Gone has ended.
  Result<void> declareEnded(Incarnation Gone);

  /// Settles an order of unknown outcome on an operator's word, and waits
  /// until that is on the record.
  Result<void> settle(const OrderSettled &Word, TimePoint Deadline);

  const OrderStateMachine &state() const { return this->Fold; }
  OrderStateMachine &state() { return this->Fold; }

  /// The number of orders that this host has dispatched and not ended.
  std::size_t running() const { return this->Running.size(); }

private:
  /// An order in the hands of this host.
  struct Dispatch {
    OrderRequest Request;
    RequestId Id;
    RecordId Claim;
    OrderTarget Target;
    std::uint64_t FencingNumber = 0;
  };

  /// What a local dispatch came to, kept until the log tells the same.
  struct LocalEnd {
    Outcome Verdict = Outcome::Unknown;
    std::error_code Reason;
    ServiceAnswer Answer;
    Hash128 BodyHash;
  };

  std::optional<OrderAnswer> refuseKey(const OrderRequest &Request,
                                       RequestId Id) const;
  std::optional<OrderAnswer> runOnce(const OrderRequest &Request);
  std::optional<OrderAnswer> runClaimed(const OrderRequest &Request,
                                        RequestId Id);
  std::optional<OrderAnswer> runTicketed(const OrderRequest &Request,
                                         RequestId Id,
                                         const OrderTicket &Ticket);
  OrderAnswer refuseUnread(const OrderRequest &Request) const;
  OrderAnswer giveUp(RequestId Id, RecordId Claim, OutcomeError Reason);
  std::optional<OrderAnswer> present(RequestId Id, Hash128 BodyHash) const;
  std::optional<OrderAnswer> answerFromFold(RequestId Id,
                                            Hash128 BodyHash) const;
  std::optional<OrderAnswer> answerFromLocal(RequestId Id,
                                             Hash128 BodyHash) const;
  std::optional<OrderAnswer> waitForEnd(RequestId Id, Hash128 BodyHash,
                                        TimePoint Deadline);
  OrderAnswer notRun(std::error_code Reason, Duration RetryAfter) const;

  void dispatch(Dispatch Order);
  LocalEnd callTargets(Dispatch &Order);
  Result<ServiceAnswer> callOnce(const Dispatch &Order, AttemptNumber Attempt);
  void recordEnd(const Dispatch &Order, const LocalEnd &End);
  void release(RequestId Id, RecordId Claim);
  StreamRecord makeClaim(const OrderRequest &Request, RequestId Id,
                         TargetId Target, bool IsTicketed);
  std::int64_t wallMilliseconds() const;
  void expireTickets(TimePoint Now);
  void reopenTicket(const std::string &Key);

  template <typename Body>
  void record(OrderRecordKind Kind, const Body &Content);

  Incarnation Self;
  StreamAppender &Records;
  OrderDispatcherSettings Settings;
  OrderDispatcherHooks Hooks;
  OrderStateMachine Fold;
  Random Dice;
  /// The orders that this host is dispatching, by their claim.
  std::map<RequestId, RecordId> Running;
  /// What ended here and is not on the log yet.
  std::map<RequestId, LocalEnd> Ended;
  std::map<OrderTicket, OrderTicketState> Tickets;
  Event Changed;
  /// The number of orders in the hands of run().
  std::size_t Accepted = 0;
  bool IsDraining = false;
};

} // namespace bergamothook

#endif

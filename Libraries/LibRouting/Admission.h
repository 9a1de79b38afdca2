/// \file
/// The bounded queue before one pool of equal targets (for example those of one
/// model), and the decision which request starts next, waits or is refused.
///
/// Higher priorities go first, and within one priority quick answers and orders
/// go before long drafts; what is passed over earns a share of the work, so
/// that nothing waits for ever. Teams of one priority and class share by
/// weight. A request that cannot start before its deadline is refused when it
/// arrives; one that has to leave the queue is answered at once.

#ifndef BERGAMOTHOOK_LIBROUTING_ADMISSION_H
#define BERGAMOTHOOK_LIBROUTING_ADMISSION_H

#include "LibBase/Ids.h"
#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibBase/WorkClass.h"
#include "LibRouting/ConcurrencyLimit.h"
#include "LibRouting/DrainRate.h"
#include "LibRouting/FairQueue.h"
#include "LibRouting/RoutingError.h"
#include "LibRouting/Ticket.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bergamothook {

struct AdmissionSettings {
  /// The most requests that wait.
  std::size_t MaxQueued = 1000;
  /// The share of the work that goes to requests passed over by others of
  /// higher priority or of a quicker class.
  double LowerLaneShare = 0.1;
  /// The work per second assumed before any was measured, in tokens.
  double AssumedCostPerSecond = 20000;
  ConcurrencyLimitSettings Concurrency;
  /// The bounds of the time after which a refused caller is told to come back.
  Duration MinRetryAfter = std::chrono::seconds(1);
  Duration MaxRetryAfter = std::chrono::seconds(120);
};

/// One request that asks for a place.
struct AdmissionRequest {
  RequestId Request;
  TeamId Team;
  /// The team's weight among teams of its priority, above 0.
  double Weight = 1;
  /// Larger numbers go first.
  std::int32_t Priority = 0;
  WorkClass Class = WorkClass::QuickAnswer;
  /// The work in tokens: those to be computed of the prompt, and a multiple of
  /// those to be generated.
  double Cost = 0;
  /// The latest time at which starting still is of use.
  TimePoint Deadline;
};

/// A request that may be sent now.
struct StartedRequest {
  TicketId Ticket;
  AdmissionRequest Request;
  Duration Waited{};
};

/// A request that left the queue without having been started. It has not run.
struct RefusedRequest {
  TicketId Ticket;
  RequestId Request;
  RoutingError Reason = RoutingError::DeadlinePassed;
  Duration RetryAfter{};
};

/// What the metrics show.
struct AdmissionCounts {
  std::uint64_t Admitted = 0;
  std::uint64_t Started = 0;
  std::uint64_t Finished = 0;
  std::uint64_t RefusedFull = 0;
  std::uint64_t RefusedLate = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Displaced = 0;
  std::uint64_t Abandoned = 0;
};

/// The admission queue of one pool on one host. Not thread-safe.
class Admission {
public:
  /// Tells whether a request can be sent now.
  using StartPredicate = std::function<bool(const AdmissionRequest &)>;

  explicit Admission(AdmissionSettings Settings);

  /// Gives the request a place in the queue. Errors: QueueFull and
  /// DeadlineUnreachable; retryAfter() then tells when to come back.
  Result<TicketId> admit(const AdmissionRequest &Request, TimePoint Now);

  /// Takes the request that goes next out of the queue, if the concurrency
  /// limit permits it and \p MayStart is empty or accepts it. Requests past
  /// their deadline are passed over and given out by takeRefused().
  std::optional<StartedRequest> next(TimePoint Now,
                                     const StartPredicate &MayStart = {});

  /// Counts the first token of a started request. \p Waited is the time since
  /// it was sent, less the computation of its own prompt. Drafts, which may
  /// wait at their target, are not judged by it.
  void firstToken(TicketId Ticket, Duration Waited, TimePoint Now);

  /// Ends a started request. Errors: UnknownTicket.
  Result<void> finish(TicketId Ticket, TimePoint Now);

  /// Takes out a waiting request whose caller gave up. Errors: UnknownTicket,
  /// also for a request that has started.
  Result<void> abandon(TicketId Ticket, TimePoint Now);

  /// Gives, once, the requests that were displaced or whose deadline passed.
  /// Call it after admit() and next(), and at nextDeadline().
  std::vector<RefusedRequest> takeRefused(TimePoint Now);

  /// Gives the first deadline of the waiting requests.
  std::optional<TimePoint> nextDeadline() const;

  /// Estimates how long a new request would wait for its start.
  Duration expectedWait(const AdmissionRequest &Request) const;

  /// Estimates after which time \p Request would be taken.
  Duration retryAfter(const AdmissionRequest &Request, TimePoint Now) const;

  std::size_t queued() const { return this->Waiting.size(); }
  std::size_t running() const { return this->Running.size(); }
  const AdmissionCounts &counts() const { return this->Counts; }
  double concurrencyLimit() const { return this->Limit.limit(); }
  double costPerSecond() const { return this->Drain.perSecond(); }

private:
  /// The order of the queues: the smallest goes first.
  struct LaneKey {
    std::int32_t Priority = 0;
    WorkClass Class = WorkClass::QuickAnswer;

    bool operator<(const LaneKey &Other) const;
  };

  struct Lane {
    FairQueue Queue;
    /// The work that this lane may start ahead of the ones before it.
    double Credit = 0;
  };

  struct QueuedRequest {
    AdmissionRequest Request;
    TimePoint ArrivedAt;
  };

  static LaneKey laneOf(const AdmissionRequest &Request);
  static QueuedWork workOf(TicketId Ticket, const AdmissionRequest &Request);
  void expire(TimePoint Now);
  bool displaceFor(const AdmissionRequest &Request);
  void refuse(TicketId Ticket, RoutingError Reason);
  void removeWaiting(TicketId Ticket);
  std::map<LaneKey, Lane>::iterator selectLane();
  void creditLowerLanes(const LaneKey &Served, double Cost);
  double costOfHigherLanes(const LaneKey &Key) const;

  AdmissionSettings Settings;
  std::map<LaneKey, Lane> Lanes;
  std::unordered_map<TicketId, QueuedRequest> Waiting;
  std::unordered_map<TicketId, WorkClass> Running;
  std::set<std::pair<TimePoint, TicketId>> Deadlines;
  std::vector<RefusedRequest> Refused;
  DrainRate Drain;
  ConcurrencyLimit Limit;
  AdmissionCounts Counts;
  std::uint64_t LastTicket = 0;
};

} // namespace bergamothook

#endif

/// \file
/// A bounded admission queue in front of a pool of interchangeable targets (for
/// example those of one model). It decides which request starts next, which
/// ones wait and which are refused.
///
/// Higher priorities go first; within a priority, quick answers and orders go
/// before long drafts. Lower lanes are guaranteed a share of the work, so no
/// request starves. Teams of the same priority and class share by weight. A
/// request that cannot start before its deadline is refused on arrival; a
/// request that has to leave the queue is answered immediately.

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
  /// The maximum number of waiting requests.
  std::size_t MaxQueued = 1000;
  /// The share of the work reserved for lower lanes: requests of a lower
  /// priority or a slower class that wait while others start.
  double LowerLaneShare = 0.1;
  /// The service rate assumed until one is measured, in tokens per second. If
  /// unset, no wait is expected until one is measured.
  std::optional<double> AssumedCostPerSecond = 20000;
  ConcurrencyLimitSettings Concurrency;
  /// The bounds of the retry delay reported with a refusal.
  Duration MinRetryAfter = std::chrono::seconds(1);
  Duration MaxRetryAfter = std::chrono::seconds(120);
};

/// A request to be admitted.
struct AdmissionRequest {
  RequestId Request;
  TeamId Team;
  /// The team's weight among teams of the same priority, above 0.
  double Weight = 1;
  /// Larger numbers go first.
  std::int32_t Priority = 0;
  WorkClass Class = WorkClass::QuickAnswer;
  /// The cost in tokens: the prompt tokens that have to be computed, plus a
  /// multiple of the tokens to be generated.
  double Cost = 0;
  /// The latest useful start time.
  TimePoint Deadline;
  /// The target latency of the first token, if it differs from that of the
  /// concurrency limit.
  std::optional<Duration> FirstTokenTarget = std::nullopt;
};

/// A request that may be sent now.
struct StartedRequest {
  TicketId Ticket;
  AdmissionRequest Request;
  Duration Waited{};
};

/// A request that left the queue without being started. It has not run.
struct RefusedRequest {
  TicketId Ticket;
  RequestId Request;
  RoutingError Reason = RoutingError::DeadlinePassed;
  Duration RetryAfter{};
};

/// Counters for the metrics.
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
  /// Returns whether a request can be sent now.
  using StartPredicate = std::function<bool(const AdmissionRequest &)>;

  explicit Admission(AdmissionSettings Settings);

  /// Adds the request to the queue. Errors: QueueFull and DeadlineUnreachable;
  /// in both cases retryAfter() estimates when to retry.
  Result<TicketId> admit(const AdmissionRequest &Request, TimePoint Now);

  /// Dequeues the next request if the concurrency limit permits it and
  /// \p MayStart is empty or accepts it. Requests past their deadline are
  /// skipped and returned by takeRefused().
  std::optional<StartedRequest> next(TimePoint Now,
                                     const StartPredicate &MayStart = {});

  /// Records the first token of a started request. \p Waited is the time since
  /// it was sent, less the computation of its own prompt. Drafts are ignored,
  /// since they may wait at their target.
  void firstToken(TicketId Ticket, Duration Waited, TimePoint Now);

  /// Records that a target refused a started request since it was full. The
  /// request remains started.
  void targetFull(TicketId Ticket, TimePoint Now);

  /// Records that a target runs a started request whose time to a first token
  /// says nothing. It counts against the requests that found their target full.
  void answered(TicketId Ticket, TimePoint Now);

  /// Records the end of a started request. Errors: UnknownTicket.
  Result<void> finish(TicketId Ticket, TimePoint Now);

  /// Removes a waiting request whose caller gave up. Errors: UnknownTicket,
  /// also for a request that has started.
  Result<void> abandon(TicketId Ticket, TimePoint Now);

  /// Returns the requests that were displaced or whose deadline passed, each
  /// one once. Call it after admit() and next(), and at nextDeadline().
  std::vector<RefusedRequest> takeRefused(TimePoint Now);

  /// Returns the earliest deadline of the waiting requests.
  std::optional<TimePoint> nextDeadline() const;

  /// Estimates how long a new request would wait before it starts.
  Duration expectedWait(const AdmissionRequest &Request) const;

  /// Estimates the delay after which \p Request would be admitted.
  Duration retryAfter(const AdmissionRequest &Request, TimePoint Now) const;

  std::size_t queued() const { return this->Waiting.size(); }
  std::size_t running() const { return this->Running.size(); }
  const AdmissionCounts &counts() const { return this->Counts; }
  double concurrencyLimit() const { return this->Limit.limit(); }
  /// Returns whether there is a concurrency limit at \p Now.
  bool hasLimit(TimePoint Now);
  double costPerSecond() const { return this->Drain.perSecond(); }

private:
  /// Sort key of the lanes, one per priority and class: the smallest key is
  /// served first.
  struct LaneKey {
    std::int32_t Priority = 0;
    WorkClass Class = WorkClass::QuickAnswer;

    bool operator<(const LaneKey &Other) const;
  };

  struct Lane {
    FairQueue Queue;
    /// The cost that this lane may start ahead of higher lanes.
    double Credit = 0;
  };

  struct QueuedRequest {
    AdmissionRequest Request;
    TimePoint ArrivedAt;
  };

  struct StartedState {
    WorkClass Class = WorkClass::QuickAnswer;
    Duration FirstTokenTarget{};
    TimePoint StartedAt{};
    double Cost = 0;
    /// A target was full, and no other one has answered since.
    bool IsPutBack = false;
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
  std::unordered_map<TicketId, StartedState> Running;
  std::set<std::pair<TimePoint, TicketId>> Deadlines;
  std::vector<RefusedRequest> Refused;
  DrainRate Drain;
  ConcurrencyLimit Limit;
  AdmissionCounts Counts;
  std::uint64_t LastTicket = 0;
};

} // namespace bergamothook

#endif

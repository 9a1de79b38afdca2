/// \file
/// The admission queue of each service on this host: decides which call starts,
/// which one waits, and which one is refused since it can't start in time.
///
/// A call passes it after its tokens are reserved and before its target is
/// chosen. As long as this host sees no sign of overload of a service, its
/// calls start at once. See docs/design/admission.md.

#ifndef BERGAMOTHOOK_LIBRELAY_CALLADMISSION_H
#define BERGAMOTHOOK_LIBRELAY_CALLADMISSION_H

#include "LibObserve/Metrics.h"
#include "LibRelay/RelayCall.h"
#include "LibRouting/Admission.h"
#include "LibTask/Runtime.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace bergamothook {

/// The time of an engine that one token of a prompt takes: 119 ms for 12,000
/// tokens were measured.
constexpr Duration PromptTokenTime = std::chrono::microseconds(10);

struct CallAdmissionPolicy {
  /// The maximum number of calls that wait for one service. Each holds its
  /// task, connection and body.
  std::size_t MaxWaiting = 256;
  /// The part of the work reserved for calls of lower priority and calls with
  /// long prompts while others keep the service busy.
  double LowerLaneShare = 0.2;
  /// Overload is assumed if in one period at least this many calls, and more
  /// than this share of them, met a full target or got their first event too
  /// late. Under an ordinary load single targets are full at times.
  std::uint32_t SignsOfOverload = 8;
  double MaxShareOfSigns = 0.2;
  Duration Period = std::chrono::seconds(1);
  /// The factor by which the limit shrinks, and the part by which it grows
  /// after the first period without overload; it grows faster later.
  double Backoff = 0.9;
  double Growth = 0.05;
  /// Below this many calls in progress a host is not limited: its part of the
  /// load is too small to matter.
  double MinLimit = 4;
  /// The bounds of the time after which refused callers may retry.
  Duration MinRetryAfter = std::chrono::milliseconds(200);
  Duration MaxRetryAfter = std::chrono::seconds(5);
  /// How often calls that wait look for a stop, an evacuation and a caller that
  /// left, and for a limit that has grown.
  Duration CheckInterval = std::chrono::milliseconds(100);
};

/// Describes \p Call, which asks to start at \p Now and must be answered by
/// \p Deadline, for the queue of its service.
AdmissionRequest admissionRequestOf(const RelayCall &Call, TimePoint Now,
                                    TimePoint Deadline);

/// Why a call does not start. It has not run.
struct CallRefusal {
  RoutingError Reason = RoutingError::DeadlineUnreachable;
  Duration RetryAfter{};
};

class CallPlace;

/// The queues of one host. Not thread-safe: all calls come from tasks of one
/// runtime. It must outlive the places.
class CallAdmission {
public:
  CallAdmission(CallAdmissionPolicy Policy, Runtime Tasks, Metrics &Stats);

  std::size_t waiting(const std::string &Service) const;
  std::size_t inProgress(const std::string &Service) const;
  /// \returns the limit of the calls in progress, if there is one.
  std::optional<double> limit(const std::string &Service) const;
  /// \returns the number of services that have a state.
  std::size_t services() const { return this->Queues.size(); }

  /// Also forgets services that have neither calls nor a limit.
  void exportMetrics(TimePoint Now);

private:
  friend class CallPlace;

  struct ServiceQueue {
    ServiceQueue(std::string Service, const AdmissionSettings &Settings)
        : Service(std::move(Service)), Calls(Settings) {}

    std::string Service;
    Admission Calls;
    /// The calls that have a place here, waiting or not.
    std::size_t Places = 0;
    /// Calls that are not decided yet.
    std::unordered_map<TicketId, CallPlace *> Undecided;
    /// When the present limit began, if there is one.
    std::optional<TimePoint> LimitedSince;
  };

  ServiceQueue &queueOf(const std::string &Service);
  /// Decides on waiting calls.
  void process(ServiceQueue &Queue, TimePoint Now);
  /// Logs the begin and the end of a limit. Both take at least
  /// CalmPeriodsToEnd periods, which bounds the rate of the lines.
  void trackLimit(ServiceQueue &Queue, TimePoint Now);
  void countRefused(RoutingError Reason);

  CallAdmissionPolicy Policy;
  Runtime Tasks;
  Metrics &Stats;
  AdmissionSettings Settings;
  std::map<std::string, ServiceQueue> Queues;
  /// Started calls that are not exported yet.
  std::uint64_t StartedAtOnce = 0;
  std::uint64_t StartedAfterWait = 0;
};

/// The place of one call: first in the queue of its service, then among the
/// calls in progress. Its destructor frees it, whatever ended the call.
class CallPlace {
public:
  CallPlace(CallAdmission &Owner, const std::string &Service);
  ~CallPlace();
  CallPlace(const CallPlace &) = delete;
  CallPlace &operator=(const CallPlace &) = delete;

  /// Blocks the calling task until the call may start. \p Changed may be null;
  /// its notifications make the call look at \p IsGivenUp at once. \returns why
  /// the call does not start, if so; a call that was given up has no reason
  /// of its own. Called once.
  std::optional<CallRefusal> await(const AdmissionRequest &Request,
                                   Event *Changed,
                                   const std::function<bool()> &IsGivenUp);

  /// Records the first event of the answer, \p Waited after the call was sent,
  /// without the time for its own prompt.
  void onFirstEvent(Duration Waited);

  /// Records that a target runs the call, if there is no first event to wait
  /// for or its time says nothing.
  void onAnswered();

  /// Records that a target did not run the call since it was full.
  void onTargetFull();

private:
  friend class CallAdmission;

  enum class State { Outside, Waiting, Started, Refused };

  void start();
  void refuse(const CallRefusal &Why);

  CallAdmission &Owner;
  CallAdmission::ServiceQueue &Queue;
  TicketId Ticket;
  State Current = State::Outside;
  CallRefusal Refusal;
  /// Set while the task waits.
  Event *Decided = nullptr;
};

} // namespace bergamothook

#endif

/// \file
/// Admission control: queues requests per model until a target has capacity.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_ADMISSIONCONTROLLER_H
#define BERGAMOTHOOK_SERVICES_ROUTER_ADMISSIONCONTROLLER_H

#include "LibRouting/Admission.h"
#include "LibRouting/TargetTable.h"
#include "LibTask/Runtime.h"

#include <set>
#include <unordered_map>

namespace bergamothook {

/// An admitted request. The owner must pass it to finish() when it ends.
struct AdmittedRequest {
  ModelId Model;
  TicketId Ticket;
};

/// Why a request was not admitted. It has not run.
struct AdmissionRefusal {
  std::error_code Reason;
  Duration RetryAfter{};
};

/// The admission queues of one host. Not thread-safe: all calls must come from
/// tasks of one runtime.
class AdmissionController {
public:
  AdmissionController(const TargetTable &Table, Runtime Tasks,
                      AdmissionSettings Settings);

  /// Blocks the calling task until the request is admitted or refused.
  /// \p IsCallerGone is polled during the wait; a request still queued when it
  /// returns true is removed and refused.
  boost::outcome_v2::basic_result<AdmittedRequest, AdmissionRefusal,
                                  boost::outcome_v2::policy::all_narrow>
  waitForAdmission(ModelId Model, const AdmissionRequest &Request,
                   const std::function<bool()> &IsCallerGone);

  /// Reports that the request was dispatched, so that it is counted at its
  /// target from now on.
  void markSent(const AdmittedRequest &Admitted);

  /// Reports the queueing time of the request at its target before prefill. The
  /// concurrency limit is derived from it.
  void recordFirstToken(const AdmittedRequest &Admitted, Duration Waited);

  /// Ends an admitted request and admits the next one.
  void finish(const AdmittedRequest &Admitted);

  /// Periodically admits requests whose targets have capacity again and refuses
  /// those past their deadline, until stop(). Runs as its own task.
  void run();
  void stop() { this->IsStopping = true; }

  std::size_t queued() const;
  std::size_t running() const;

private:
  struct Decision {
    bool IsAdmitted = false;
    std::error_code Reason;
    Duration RetryAfter{};
  };
  struct Queue {
    explicit Queue(const AdmissionSettings &Settings) : Admissions(Settings) {}

    Admission Admissions;
    std::unordered_map<TicketId, Decision> Decisions;
    /// Admitted requests that are not counted at any target yet.
    std::set<TicketId> Unsent;
  };

  Queue &queueOf(ModelId Model);
  /// \returns the number of further requests that the targets of \p Model can
  /// accept.
  double availableCapacity(ModelId Model, TimePoint Now) const;
  void processQueue(ModelId Model, TimePoint Now);

  const TargetTable &Table;
  Runtime Tasks;
  AdmissionSettings Settings;
  std::unordered_map<ModelId, Queue> Queues;
  Event DecisionMade;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif

/// \file
/// Lets requests wait for a place, one queue for each model.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_ADMISSIONCONTROLLER_H
#define BERGAMOTHOOK_SERVICES_ROUTER_ADMISSIONCONTROLLER_H

#include "LibRouting/Admission.h"
#include "LibRouting/TargetTable.h"
#include "LibTask/Runtime.h"

#include <set>
#include <unordered_map>

namespace bergamothook {

/// A request that was let in. It is handed back with finish().
struct AdmittedRequest {
  ModelId Model;
  TicketId Ticket;
};

/// Why a request was not let in. It has not run.
struct AdmissionRefusal {
  std::error_code Reason;
  Duration RetryAfter{};
};

/// The queues of one host. All calls come from tasks of one runtime.
class AdmissionController {
public:
  AdmissionController(const TargetTable &Table, Runtime Tasks,
                      AdmissionSettings Settings);

  /// Blocks the calling task until the request may be sent, or is refused.
  /// \p IsCallerGone ends the wait of a request that nobody waits for.
  boost::outcome_v2::basic_result<AdmittedRequest, AdmissionRefusal,
                                  boost::outcome_v2::policy::all_narrow>
  waitForPlace(ModelId Model, const AdmissionRequest &Request,
               const std::function<bool()> &IsCallerGone);

  /// Tells that the request is counted at its target from now on.
  void sent(const AdmittedRequest &Admitted);

  /// Tells how long the request waited at its target before its prompt was
  /// computed, which bounds how many are let in at a time.
  void firstToken(const AdmittedRequest &Admitted, Duration Waited);

  /// Ends a request that was let in, and lets the next one in.
  void finish(const AdmittedRequest &Admitted);

  /// Lets requests in whose targets got room meanwhile, and refuses those
  /// whose deadline passed, until stop(). Runs as a task of its own.
  void run();
  void stop() { this->IsStopping = true; }

  std::size_t queued() const;
  std::size_t running() const;

private:
  struct Verdict {
    bool IsStarted = false;
    std::error_code Reason;
    Duration RetryAfter{};
  };
  struct Queue {
    explicit Queue(const AdmissionSettings &Settings) : Waiting(Settings) {}

    Admission Waiting;
    std::unordered_map<TicketId, Verdict> Verdicts;
    /// Requests that were let in and are not counted at any target yet.
    std::set<TicketId> Unsent;
  };

  Queue &queueOf(ModelId Model);
  /// How many requests the targets of \p Model can take at once.
  double freePlaces(ModelId Model, TimePoint Now) const;
  void pump(ModelId Model, TimePoint Now);

  const TargetTable &Table;
  Runtime Tasks;
  AdmissionSettings Settings;
  std::unordered_map<ModelId, Queue> Queues;
  Event Decided;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif

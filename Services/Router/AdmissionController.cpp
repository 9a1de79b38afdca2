#include "AdmissionController.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration QueueCheckInterval = std::chrono::milliseconds(10);
constexpr Duration CallerCheckInterval = std::chrono::milliseconds(200);
/// Targets are filled beyond their batch limit, so that they do not run idle
/// between two load reports.
constexpr double BatchOverfillFactor = 1.25;

} // namespace

AdmissionController::AdmissionController(const TargetTable &Table,
                                         Runtime Tasks,
                                         AdmissionSettings Settings)
    : Table(Table), Tasks(std::move(Tasks)), Settings(Settings) {}

AdmissionController::Queue &AdmissionController::queueOf(ModelId Model) {
  return this->Queues.try_emplace(Model, this->Settings).first->second;
}

double AdmissionController::availableCapacity(ModelId Model,
                                              TimePoint Now) const {
  double Capacity = 0;
  for (TargetTable::Slot SlotIndex : this->Table.serving(Model)) {
    if (this->Table.at(SlotIndex).State == TargetState::Leaving)
      continue;
    LoadEstimate Load = this->Table.estimate(SlotIndex, Now);
    double Limit = this->Table.batchLimit(SlotIndex) * BatchOverfillFactor;
    Capacity += std::max(0.0, Limit - Load.Running - Load.Waiting);
  }
  return Capacity;
}

void AdmissionController::processQueue(ModelId Model, TimePoint Now) {
  Queue &ModelQueue = this->queueOf(Model);
  double Capacity = this->availableCapacity(Model, Now);
  bool HasDecisions = false;
  while (static_cast<double>(ModelQueue.Unsent.size()) + 1 <= Capacity) {
    auto Admitted = ModelQueue.Admissions.next(Now);
    if (!Admitted)
      break;
    ModelQueue.Decisions[Admitted->Ticket].IsAdmitted = true;
    ModelQueue.Unsent.insert(Admitted->Ticket);
    HasDecisions = true;
  }
  for (const RefusedRequest &Refused : ModelQueue.Admissions.takeRefused(Now)) {
    ModelQueue.Decisions[Refused.Ticket] = {
        false, make_error_code(Refused.Reason), Refused.RetryAfter};
    HasDecisions = true;
  }
  if (HasDecisions)
    this->DecisionMade.notify();
}

boost::outcome_v2::basic_result<AdmittedRequest, AdmissionRefusal,
                                boost::outcome_v2::policy::all_narrow>
AdmissionController::waitForAdmission(
    ModelId Model, const AdmissionRequest &Request,
    const std::function<bool()> &IsCallerGone) {
  TimePoint Now = this->Tasks.Now();
  Queue &ModelQueue = this->queueOf(Model);
  auto Ticket = ModelQueue.Admissions.admit(Request, Now);
  if (!Ticket)
    return AdmissionRefusal{Ticket.error(),
                            ModelQueue.Admissions.retryAfter(Request, Now)};
  TicketId Id = Ticket.value();
  this->processQueue(Model, Now);
  while (!ModelQueue.Decisions.contains(Id)) {
    TimePoint Check = this->Tasks.Now() + CallerCheckInterval;
    this->Tasks.waitUntil(this->DecisionMade, Check,
                          [&] { return ModelQueue.Decisions.contains(Id); });
    if (ModelQueue.Decisions.contains(Id) || !IsCallerGone())
      continue;
    // The caller has disconnected: free its queue position for another request.
    if (ModelQueue.Admissions.abandon(Id, this->Tasks.Now()))
      return AdmissionRefusal{RoutingError::DeadlinePassed, {}};
  }
  Decision Final = ModelQueue.Decisions[Id];
  ModelQueue.Decisions.erase(Id);
  if (!Final.IsAdmitted)
    return AdmissionRefusal{Final.Reason, Final.RetryAfter};
  return AdmittedRequest{Model, Id};
}

void AdmissionController::markSent(const AdmittedRequest &Admitted) {
  this->queueOf(Admitted.Model).Unsent.erase(Admitted.Ticket);
}

void AdmissionController::recordFirstToken(const AdmittedRequest &Admitted,
                                           Duration Waited) {
  this->queueOf(Admitted.Model)
      .Admissions.firstToken(Admitted.Ticket, Waited, this->Tasks.Now());
}

void AdmissionController::finish(const AdmittedRequest &Admitted) {
  TimePoint Now = this->Tasks.Now();
  this->markSent(Admitted);
  (void)this->queueOf(Admitted.Model).Admissions.finish(Admitted.Ticket, Now);
  this->processQueue(Admitted.Model, Now);
}

void AdmissionController::run() {
  while (!this->IsStopping) {
    TimePoint Now = this->Tasks.Now();
    for (auto &[Model, ModelQueue] : this->Queues)
      if (ModelQueue.Admissions.queued() > 0)
        this->processQueue(Model, Now);
    this->Tasks.sleepUntil(Now + QueueCheckInterval);
  }
}

std::size_t AdmissionController::queued() const {
  std::size_t Sum = 0;
  for (const auto &[Model, ModelQueue] : this->Queues)
    Sum += ModelQueue.Admissions.queued();
  return Sum;
}

std::size_t AdmissionController::running() const {
  std::size_t Sum = 0;
  for (const auto &[Model, ModelQueue] : this->Queues)
    Sum += ModelQueue.Admissions.running();
  return Sum;
}

} // namespace bergamothook

#include "AdmissionController.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration PumpInterval = std::chrono::milliseconds(10);
constexpr Duration CallerCheckInterval = std::chrono::milliseconds(200);
/// How far beyond its batch a target is filled, so that it never runs dry
/// between two load reports.
constexpr double BatchOverfill = 1.25;

} // namespace

AdmissionController::AdmissionController(const TargetTable &Table,
                                         Runtime Tasks,
                                         AdmissionSettings Settings)
    : Table(Table), Tasks(std::move(Tasks)), Settings(Settings) {}

AdmissionController::Queue &AdmissionController::queueOf(ModelId Model) {
  return this->Queues.try_emplace(Model, this->Settings).first->second;
}

double AdmissionController::freePlaces(ModelId Model, TimePoint Now) const {
  double Places = 0;
  for (TargetTable::Slot Place : this->Table.serving(Model)) {
    if (this->Table.at(Place).State == TargetState::Leaving)
      continue;
    LoadEstimate Load = this->Table.estimate(Place, Now);
    double Limit = this->Table.batchLimit(Place) * BatchOverfill;
    Places += std::max(0.0, Limit - Load.Running - Load.Waiting);
  }
  return Places;
}

void AdmissionController::pump(ModelId Model, TimePoint Now) {
  Queue &Of = this->queueOf(Model);
  double Places = this->freePlaces(Model, Now);
  bool HasNews = false;
  while (static_cast<double>(Of.Unsent.size()) + 1 <= Places) {
    auto Started = Of.Waiting.next(Now);
    if (!Started)
      break;
    Of.Verdicts[Started->Ticket].IsStarted = true;
    Of.Unsent.insert(Started->Ticket);
    HasNews = true;
  }
  for (const RefusedRequest &Refused : Of.Waiting.takeRefused(Now)) {
    Of.Verdicts[Refused.Ticket] = {false, make_error_code(Refused.Reason),
                                   Refused.RetryAfter};
    HasNews = true;
  }
  if (HasNews)
    this->Decided.notify();
}

boost::outcome_v2::basic_result<AdmittedRequest, AdmissionRefusal,
                                boost::outcome_v2::policy::all_narrow>
AdmissionController::waitForPlace(ModelId Model,
                                  const AdmissionRequest &Request,
                                  const std::function<bool()> &IsCallerGone) {
  TimePoint Now = this->Tasks.Now();
  Queue &Of = this->queueOf(Model);
  auto Ticket = Of.Waiting.admit(Request, Now);
  if (!Ticket)
    return AdmissionRefusal{Ticket.error(),
                            Of.Waiting.retryAfter(Request, Now)};
  TicketId Id = Ticket.value();
  this->pump(Model, Now);
  while (!Of.Verdicts.contains(Id)) {
    TimePoint Check = this->Tasks.Now() + CallerCheckInterval;
    this->Tasks.waitUntil(this->Decided, Check,
                          [&] { return Of.Verdicts.contains(Id); });
    if (Of.Verdicts.contains(Id) || !IsCallerGone())
      continue;
    // A caller that left needs no answer, and its place goes to another.
    if (Of.Waiting.abandon(Id, this->Tasks.Now()))
      return AdmissionRefusal{RoutingError::DeadlinePassed, {}};
  }
  Verdict Known = Of.Verdicts[Id];
  Of.Verdicts.erase(Id);
  if (!Known.IsStarted)
    return AdmissionRefusal{Known.Reason, Known.RetryAfter};
  return AdmittedRequest{Model, Id};
}

void AdmissionController::sent(const AdmittedRequest &Admitted) {
  this->queueOf(Admitted.Model).Unsent.erase(Admitted.Ticket);
}

void AdmissionController::firstToken(const AdmittedRequest &Admitted,
                                     Duration Waited) {
  this->queueOf(Admitted.Model)
      .Waiting.firstToken(Admitted.Ticket, Waited, this->Tasks.Now());
}

void AdmissionController::finish(const AdmittedRequest &Admitted) {
  TimePoint Now = this->Tasks.Now();
  this->sent(Admitted);
  (void)this->queueOf(Admitted.Model).Waiting.finish(Admitted.Ticket, Now);
  this->pump(Admitted.Model, Now);
}

void AdmissionController::run() {
  while (!this->IsStopping) {
    TimePoint Now = this->Tasks.Now();
    for (auto &[Model, Of] : this->Queues)
      if (Of.Waiting.queued() > 0)
        this->pump(Model, Now);
    this->Tasks.sleepUntil(Now + PumpInterval);
  }
}

std::size_t AdmissionController::queued() const {
  std::size_t Sum = 0;
  for (const auto &[Model, Of] : this->Queues)
    Sum += Of.Waiting.queued();
  return Sum;
}

std::size_t AdmissionController::running() const {
  std::size_t Sum = 0;
  for (const auto &[Model, Of] : this->Queues)
    Sum += Of.Waiting.running();
  return Sum;
}

} // namespace bergamothook

#include "LibRelay/CallAdmission.h"

#include "LibObserve/StructuredLog.h"

#include <algorithm>
#include <new>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// How many tokens of a prompt cost as much as one token of the answer. A
/// prompt token takes 10 us of the engine, in which its 16 to 48 streams wait;
/// a token of an answer occupies one of them for about 10 ms.
constexpr double AnswerTokenCost = 32;
/// The cost of a call that states no tokens.
constexpr double BaseCost = 100;
/// How long calls wait at most if their route has no objective, and the bounds
/// if it has one: a call that has waited for its objective has missed it, and
/// its caller had better try another host. "The deadline passed" came after
/// 0.9 s, too late for that.
constexpr Duration MaxWait = std::chrono::milliseconds(1000);
constexpr Duration MinObjectiveWait = std::chrono::milliseconds(300);
constexpr Duration MaxObjectiveWait = std::chrono::milliseconds(3000);
/// The part of the time to its deadline that a call may wait; the rest is left
/// for its answer.
constexpr int MaxWaitPart = 2;

/// How long after its latest start a call that waits is decided.
constexpr Duration MaxLateDecision = std::chrono::milliseconds(1);

void applyPolicy(const CallAdmissionPolicy &Policy,
                 AdmissionSettings &Settings) {
  Settings.MaxQueued = Policy.MaxWaiting;
  Settings.LowerLaneShare = Policy.LowerLaneShare;
  Settings.AssumedCostPerSecond.reset();
  Settings.MinRetryAfter = Policy.MinRetryAfter;
  Settings.MaxRetryAfter = Policy.MaxRetryAfter;
  Settings.Concurrency.Min = Policy.MinLimit;
  Settings.Concurrency.MaxLateShare = Policy.MaxShareOfSigns;
  Settings.Concurrency.Backoff = Policy.Backoff;
  Settings.Concurrency.Growth = Policy.Growth;
  Settings.Concurrency.Period = Policy.Period;
  Settings.Concurrency.SignsToBegin = Policy.SignsOfOverload;
}

const char *nameOf(RoutingError Reason) {
  switch (Reason) {
  case RoutingError::QueueFull:
    return "queue_full";
  case RoutingError::DeadlineUnreachable:
    return "wait_too_long";
  case RoutingError::DeadlinePassed:
    return "wait_expired";
  case RoutingError::Displaced:
    return "displaced";
  case RoutingError::Abandoned:
    return "given_up";
  default:
    return "other";
  }
}

} // namespace

AdmissionRequest admissionRequestOf(const RelayCall &Call, TimePoint Now,
                                    TimePoint Deadline) {
  AdmissionRequest Request;
  Request.Team = idOfName<TeamId>(Call.Team ? Call.Team->Name : "");
  Request.Priority = -Call.priority();
  Request.Class =
      Call.hasLongPrompt() ? WorkClass::LongDraft : WorkClass::QuickAnswer;
  Request.Cost = BaseCost + static_cast<double>(Call.PromptTokens) +
                 AnswerTokenCost * static_cast<double>(Call.MaxOutputTokens);
  Duration Objective = Call.Route->Objective;
  Duration Wait = MaxWait;
  if (Objective > Duration::zero())
    Wait = std::clamp(Objective, MinObjectiveWait, MaxObjectiveWait);
  if (Deadline != TimePoint::max())
    Wait = std::min(Wait, (Deadline - Now) / MaxWaitPart);
  Request.Deadline = Now + std::max(Wait, Duration::zero());
  // Without an objective, no first event is late.
  Request.FirstTokenTarget =
      Objective > Duration::zero() ? Objective : Duration::max();
  return Request;
}

CallAdmission::CallAdmission(CallAdmissionPolicy Policy, Runtime Tasks,
                             Metrics &Stats)
    : Policy(Policy), Tasks(std::move(Tasks)), Stats(Stats) {
  // GCC 12 fails with an internal error if a function returns the settings.
  applyPolicy(Policy, this->Settings);
}

CallAdmission::ServiceQueue &
CallAdmission::queueOf(const std::string &Service) {
  return this->Queues.try_emplace(Service, Service, this->Settings)
      .first->second;
}

std::size_t CallAdmission::waiting(const std::string &Service) const {
  auto Found = this->Queues.find(Service);
  return Found == this->Queues.end() ? 0 : Found->second.Calls.queued();
}

std::size_t CallAdmission::inProgress(const std::string &Service) const {
  auto Found = this->Queues.find(Service);
  return Found == this->Queues.end() ? 0 : Found->second.Calls.running();
}

std::optional<double> CallAdmission::limit(const std::string &Service) const {
  auto Found = this->Queues.find(Service);
  if (Found == this->Queues.end() || !Found->second.LimitedSince)
    return std::nullopt;
  return Found->second.Calls.concurrencyLimit();
}

void CallAdmission::process(ServiceQueue &Queue, TimePoint Now) {
  while (auto Started = Queue.Calls.next(Now)) {
    auto Found = Queue.Undecided.find(Started->Ticket);
    Found->second->start();
    Queue.Undecided.erase(Found);
    ++(Started->Waited > Duration::zero() ? this->StartedAfterWait
                                          : this->StartedAtOnce);
    if (Started->Waited > Duration::zero())
      this->Stats.observe("relay_admission_wait_seconds", Started->Waited);
  }
  for (const RefusedRequest &Refused : Queue.Calls.takeRefused(Now)) {
    auto Found = Queue.Undecided.find(Refused.Ticket);
    if (Found == Queue.Undecided.end())
      continue;
    Found->second->refuse({Refused.Reason, Refused.RetryAfter});
    Queue.Undecided.erase(Found);
  }
  this->trackLimit(Queue, Now);
}

void CallAdmission::trackLimit(ServiceQueue &Queue, TimePoint Now) {
  bool IsLimited = Queue.Calls.hasLimit(Now);
  if (IsLimited == Queue.LimitedSince.has_value())
    return;
  if (IsLimited) {
    Queue.LimitedSince = Now;
    logEvent(LogLevel::Warning, "admission_limit_begun",
             {{"service", Queue.Service},
              {"limit", Queue.Calls.concurrencyLimit()},
              {"in_progress", Queue.Calls.running()}});
    return;
  }
  Duration Lasted = Now - *Queue.LimitedSince;
  Queue.LimitedSince.reset();
  logEvent(LogLevel::Info, "admission_limit_ended",
           {{"service", Queue.Service},
            {"in_progress", Queue.Calls.running()},
            {"after_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(Lasted)
                 .count()}});
}

void CallAdmission::countRefused(RoutingError Reason) {
  this->Stats.count("relay_refusals_admission_total{reason=\"" +
                    std::string(nameOf(Reason)) + "\"}");
}

void CallAdmission::exportMetrics(TimePoint Now) {
  this->Stats.count("relay_admission_started_total{waited=\"false\"}",
                    static_cast<double>(this->StartedAtOnce));
  this->Stats.count("relay_admission_started_total{waited=\"true\"}",
                    static_cast<double>(this->StartedAfterWait));
  this->StartedAtOnce = 0;
  this->StartedAfterWait = 0;
  for (auto At = this->Queues.begin(); At != this->Queues.end();) {
    ServiceQueue &Queue = At->second;
    this->process(Queue, Now);
    const std::string Label = "{service=\"" + Queue.Service + "\"}";
    this->Stats.set("relay_admission_waiting" + Label,
                    static_cast<double>(Queue.Calls.queued()));
    this->Stats.set("relay_admission_in_progress" + Label,
                    static_cast<double>(Queue.Calls.running()));
    this->Stats.set("relay_admission_limit" + Label,
                    Queue.LimitedSince ? Queue.Calls.concurrencyLimit() : 0);
    bool IsIdle = Queue.Places == 0 && !Queue.LimitedSince;
    At = IsIdle ? this->Queues.erase(At) : std::next(At);
  }
}

CallPlace::CallPlace(CallAdmission &Owner, const std::string &Service)
    : Owner(Owner), Queue(Owner.queueOf(Service)) {
  ++this->Queue.Places;
}

CallPlace::~CallPlace() {
  TimePoint Now = this->Owner.Tasks.Now();
  --this->Queue.Places;
  if (this->Current != State::Outside)
    this->Queue.Undecided.erase(this->Ticket);
  if (this->Current == State::Waiting) {
    (void)this->Queue.Calls.abandon(this->Ticket, Now);
  }
  if (this->Current != State::Started)
    return;
  (void)this->Queue.Calls.finish(this->Ticket, Now);
  try {
    this->Owner.process(this->Queue, Now);
  } catch (const std::bad_alloc &) {
    // The place is free. Waiting calls also check at intervals.
  }
}

std::optional<CallRefusal>
CallPlace::await(const AdmissionRequest &Request, Event *Changed,
                 const std::function<bool()> &IsGivenUp) {
  const Runtime &Tasks = this->Owner.Tasks;
  auto Admitted = this->Queue.Calls.admit(Request, Tasks.Now());
  if (!Admitted) {
    auto Reason = static_cast<RoutingError>(Admitted.error().value());
    this->Owner.countRefused(Reason);
    return CallRefusal{Reason,
                       this->Queue.Calls.retryAfter(Request, Tasks.Now())};
  }
  this->Ticket = Admitted.value();
  this->Current = State::Waiting;
  this->Queue.Undecided.emplace(this->Ticket, this);
  this->Owner.process(this->Queue, Tasks.Now());
  Event Own;
  Event &Signal = Changed ? *Changed : Own;
  this->Decided = &Signal;
  while (this->Current == State::Waiting) {
    if (IsGivenUp()) {
      this->Decided = nullptr;
      this->Owner.countRefused(RoutingError::Abandoned);
      return CallRefusal{RoutingError::Abandoned, {}};
    }
    // Its refusal was lost for lack of memory.
    if (Tasks.Now() > Request.Deadline + MaxLateDecision)
      this->refuse(
          {RoutingError::DeadlinePassed, this->Owner.Policy.MinRetryAfter});
    TimePoint Check = std::min(Tasks.Now() + this->Owner.Policy.CheckInterval,
                               Request.Deadline + MaxLateDecision);
    Tasks.waitUntil(Signal, Check, [&] {
      return this->Current != State::Waiting || IsGivenUp();
    });
    this->Owner.process(this->Queue, Tasks.Now());
  }
  this->Decided = nullptr;
  if (this->Current == State::Started)
    return std::nullopt;
  this->Owner.countRefused(this->Refusal.Reason);
  return this->Refusal;
}

void CallPlace::onFirstEvent(Duration Waited) {
  TimePoint Now = this->Owner.Tasks.Now();
  this->Queue.Calls.firstToken(this->Ticket, Waited, Now);
  this->Owner.trackLimit(this->Queue, Now);
}

void CallPlace::onAnswered() {
  TimePoint Now = this->Owner.Tasks.Now();
  this->Queue.Calls.answered(this->Ticket, Now);
  this->Owner.trackLimit(this->Queue, Now);
}

void CallPlace::onTargetFull() {
  TimePoint Now = this->Owner.Tasks.Now();
  this->Queue.Calls.targetFull(this->Ticket, Now);
  this->Owner.trackLimit(this->Queue, Now);
}

void CallPlace::start() {
  this->Current = State::Started;
  if (this->Decided)
    this->Decided->notify();
}

void CallPlace::refuse(const CallRefusal &Why) {
  this->Refusal = Why;
  this->Current = State::Refused;
  if (this->Decided)
    this->Decided->notify();
}

} // namespace bergamothook

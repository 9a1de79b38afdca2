#include "LibReplay/FakeRunner.h"

namespace bergamothook {

namespace {
constexpr Duration HalfOfWork = std::chrono::milliseconds(20);
constexpr std::uint16_t CreatedStatus = 201;
} // namespace

FakeRunner::FakeRunner(TargetId Id, Runtime Base, StepHook Reach,
                       bool ChecksFence)
    : FakeTarget(Id, std::move(Base), std::move(Reach)),
      ChecksFence(ChecksFence) {}

Result<ServiceAnswer> FakeRunner::call(HostGate &Gate, const ServiceCall &Call,
                                       TimePoint Deadline) {
  this->Reach(Step::Connect, Call.Request, Gate);
  Gate.pass();
  if (this->isDown() || Gate.isCut())
    return TargetError::ConnectFailed;
  if (this->isRefusing())
    return TargetError::Refused;
  std::uint64_t &Fence = this->Fences[Call.Request];
  if (this->ChecksFence && Call.FencingNumber < Fence)
    return TargetError::StaleFencingNumber;
  Fence = std::max(Fence, Call.FencingNumber);
  ++this->Ledger[Call.Request].Dispatches;
  Work &Job =
      this->Jobs.emplace_back(Work{Call.Request, this->connect(), false, {}});
  this->Base.Spawn([this, &Job, &Gate] { this->work(Job, Gate); });
  this->Reach(Step::Sent, Call.Request, Gate);
  Runtime Waiting = Gate.hooks();
  Waiting.waitUntil(this->Changed, Deadline, [&] {
    return this->isLost(Job.Link) ||
           (Job.HasAnswer && !this->isSilent(Job.Link) && !Gate.isCut());
  });
  if (this->isLost(Job.Link))
    return TargetError::ConnectionLost;
  if (!Job.HasAnswer || this->isSilent(Job.Link) || Gate.isCut())
    return TargetError::TimedOut;
  return Job.Answer;
}

void FakeRunner::work(Work &Job, HostGate &Gate) {
  this->Base.sleepUntil(this->Base.Now() + HalfOfWork + this->delay());
  if (this->isLost(Job.Link))
    return;
  std::uint32_t Runs = ++this->Ledger[Job.Request].Runs;
  this->Base.sleepUntil(this->Base.Now() + HalfOfWork + this->AnswerDelay);
  this->Reach(Step::End, Job.Request, Gate);
  if (this->isLost(Job.Link))
    return;
  Job.Answer = {CreatedStatus, "text/plain",
                "order " + toHex(Job.Request) + " run " + std::to_string(Runs)};
  Job.HasAnswer = true;
  this->Changed.notify();
}

} // namespace bergamothook

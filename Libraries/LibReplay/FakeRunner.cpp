#include "LibReplay/FakeRunner.h"

namespace bergamothook {

namespace {
constexpr Duration HalfRunTime = std::chrono::milliseconds(20);
constexpr std::uint16_t CreatedStatus = 201;
} // namespace

FakeRunner::FakeRunner(TargetId Id, Runtime Base, StepHook OnStep,
                       bool ChecksFence)
    : FakeTarget(Id, std::move(Base), std::move(OnStep)),
      ChecksFence(ChecksFence) {}

Result<ServiceAnswer> FakeRunner::call(SimulatedProcess &Process,
                                       const ServiceCall &Call,
                                       TimePoint Deadline) {
  this->OnStep(Step::Connect, Call.Request, Process);
  Process.waitUntilRunning();
  if (this->isDown() || Process.isPartitioned())
    return TargetError::ConnectFailed;
  if (this->isRefusing())
    return TargetError::Refused;
  std::uint64_t &Fence = this->Fences[Call.Request];
  if (this->ChecksFence && Call.FencingNumber < Fence)
    return TargetError::StaleFencingNumber;
  Fence = std::max(Fence, Call.FencingNumber);
  ++this->Ledger[Call.Request].Dispatches;
  PendingCall &Pending = this->PendingCalls.emplace_back(
      PendingCall{Call.Request, this->connect(), false, {}});
  this->Base.Spawn(
      [this, &Pending, &Process] { this->runCall(Pending, Process); });
  this->OnStep(Step::Sent, Call.Request, Process);
  Runtime Tasks = Process.hooks();
  Tasks.waitUntil(this->Changed, Deadline, [&] {
    return this->isLost(Pending.Link) ||
           (Pending.HasResponse && !this->isStalled(Pending.Link) &&
            !Process.isPartitioned());
  });
  if (this->isLost(Pending.Link))
    return TargetError::ConnectionLost;
  if (!Pending.HasResponse || this->isStalled(Pending.Link) ||
      Process.isPartitioned())
    return TargetError::TimedOut;
  return Pending.Response;
}

void FakeRunner::runCall(PendingCall &Pending, SimulatedProcess &Process) {
  this->Base.sleepUntil(this->Base.Now() + HalfRunTime + this->delay());
  if (this->isLost(Pending.Link))
    return;
  std::uint32_t Runs = ++this->Ledger[Pending.Request].Runs;
  this->Base.sleepUntil(this->Base.Now() + HalfRunTime + this->ResponseDelay);
  this->OnStep(Step::End, Pending.Request, Process);
  if (this->isLost(Pending.Link))
    return;
  Pending.Response = {CreatedStatus, "text/plain",
                      "order " + toHex(Pending.Request) + " run " +
                          std::to_string(Runs)};
  Pending.HasResponse = true;
  this->Changed.notify();
}

} // namespace bergamothook

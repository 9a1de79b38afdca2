#include "LibRelay/FailureGate.h"

#include <utility>

namespace bergamothook {

FailureGate::Pass FailureGate::enter(const std::string &Key,
                                     std::int64_t Amount, TimePoint Now) {
  Pass Result(*this, Key, Amount);
  auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return Result;
  Entry &Known = Found->second;
  if (Known.Probe == 0 && Now - Known.LastFailure >= this->Policy.Memory) {
    this->Entries.erase(Found);
    return Result;
  }
  if (Known.Failures < this->Policy.MaxFailures || Amount < Known.Amount)
    return Result;
  if (Known.Probe != 0) {
    Result.IsRefused = true;
    return Result;
  }
  Known.Probe = ++this->LastProbe;
  Result.Probe = Known.Probe;
  return Result;
}

FailureGate::Pass::Pass(Pass &&Other) noexcept
    : Gate(Other.Gate), Key(std::move(Other.Key)), Amount(Other.Amount),
      IsRefused(Other.IsRefused), Probe(std::exchange(Other.Probe, 0)) {}

void FailureGate::Pass::succeed() {
  auto Found = this->Gate->Entries.find(this->Key);
  if (Found != this->Gate->Entries.end() &&
      this->Amount >= Found->second.Amount)
    this->Gate->Entries.erase(Found);
  this->endProbe();
}

void FailureGate::Pass::fail(TimePoint Now) {
  bool WasProbe = this->isProbe();
  this->endProbe();
  auto [Place, IsNew] = this->Gate->Entries.try_emplace(this->Key);
  Entry &Known = Place->second;
  // A probe confirms earlier failures, however long it took.
  bool IsOld =
      !WasProbe && Now - Known.LastFailure >= this->Gate->Policy.Memory;
  // What failed for a smaller amount has to be confirmed on its own.
  if (IsNew || IsOld || this->Amount < Known.Amount)
    Known.Failures = 0;
  if (Known.Failures == 0)
    Known.Amount = this->Amount;
  ++Known.Failures;
  Known.LastFailure = Now;
}

void FailureGate::Pass::endProbe() {
  std::uint64_t Ended = std::exchange(this->Probe, 0);
  auto Found = this->Gate->Entries.find(this->Key);
  if (Ended != 0 && Found != this->Gate->Entries.end() &&
      Found->second.Probe == Ended)
    Found->second.Probe = 0;
}

} // namespace bergamothook

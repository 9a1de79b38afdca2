#include "LibRelay/FailureGate.h"

#include <algorithm>

namespace bergamothook {

GateVerdict FailureGate::enter(const std::string &Key, std::int64_t Amount,
                               TimePoint Now) {
  auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return GateVerdict::Open;
  Entry &Known = Found->second;
  bool IsProbing = Now < Known.ProbeUntil;
  if (!IsProbing && Now - Known.LastFailure >= this->Policy.Memory) {
    this->Entries.erase(Found);
    return GateVerdict::Open;
  }
  if (Known.Failures < this->Policy.MaxFailures || Amount < Known.Amount)
    return GateVerdict::Open;
  if (IsProbing)
    return GateVerdict::Closed;
  Known.ProbeUntil = Now + this->Policy.Memory;
  return GateVerdict::Probe;
}

void FailureGate::onSuccess(const std::string &Key, std::int64_t Amount) {
  auto Found = this->Entries.find(Key);
  if (Found != this->Entries.end() && Amount >= Found->second.Amount)
    this->Entries.erase(Found);
}

void FailureGate::onFailure(const std::string &Key, std::int64_t Amount,
                            TimePoint Now) {
  auto [Place, IsNew] = this->Entries.try_emplace(Key);
  Entry &Known = Place->second;
  if (!IsNew && Now - Known.LastFailure >= this->Policy.Memory)
    Known = {};
  Known.Amount = Known.Failures == 0 ? Amount : std::min(Known.Amount, Amount);
  ++Known.Failures;
  Known.LastFailure = Now;
  Known.ProbeUntil = {};
}

void FailureGate::onAbandoned(const std::string &Key) {
  auto Found = this->Entries.find(Key);
  if (Found != this->Entries.end())
    Found->second.ProbeUntil = {};
}

} // namespace bergamothook

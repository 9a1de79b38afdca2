#include "LibRelay/TargetPicker.h"

#include "LibBase/Hash.h"

#include <algorithm>
#include <limits>

namespace bergamothook {

namespace {

/// Keeps the targets that satisfy \p Condition, or all of them if none does.
template <typename Predicate>
void keepIfAny(std::vector<TargetState *> &Candidates, Predicate Condition) {
  if (std::any_of(Candidates.begin(), Candidates.end(), Condition))
    std::erase_if(Candidates, [&](const TargetState *Candidate) {
      return !Condition(Candidate);
    });
}

/// The last part that calls on the same topic share: the one before the
/// call's own.
const std::string &sharedPart(const std::vector<PromptPart> &Parts) {
  return Parts.size() >= 2 ? Parts[Parts.size() - 2].Id : Parts.front().Id;
}

} // namespace

double TargetPicker::load(const TargetState &Target) const {
  return Target.Running +
         static_cast<double>(Target.PrefillTokens) / this->Policy.TokensPerCall;
}

std::vector<TargetState *> TargetPicker::candidates(TargetDirectory &Targets,
                                                    const std::string &Service,
                                                    const Condition &IsEligible,
                                                    TimePoint Now) const {
  std::vector<TargetState *> Candidates = Targets.usable(Service);
  std::erase_if(Candidates, [&](const TargetState *Candidate) {
    return !IsEligible(*Candidate) || Candidate->RateLimitedUntil > Now;
  });
  // A cold target crashes under a load that warm ones handle.
  keepIfAny(Candidates, [&](const TargetState *Candidate) {
    return !Targets.isCold(*Candidate);
  });
  keepIfAny(Candidates, [&](const TargetState *Candidate) {
    return Candidate->BackoffUntil <= Now && !Candidate->MissingSince;
  });
  keepIfAny(Candidates, [&](const TargetState *Candidate) {
    return Candidate->FullUntil <= Now;
  });
  return Candidates;
}

TargetState *TargetPicker::pick(TargetDirectory &Targets,
                                const std::string &Service,
                                const RelayCall &Call,
                                const Condition &IsEligible, TimePoint Now) {
  std::vector<TargetState *> Candidates =
      this->candidates(Targets, Service, IsEligible, Now);
  this->skipReturning(Candidates, Call, Now);
  if (Candidates.empty())
    return nullptr;
  if (!Call.Parts.empty())
    return this->pickByPrompt(Candidates, Call);
  return this->pickByLoad(Candidates);
}

void TargetPicker::skipReturning(std::vector<TargetState *> &Candidates,
                                 const RelayCall &Call, TimePoint Now) {
  auto IsReturning = [&](const TargetState *Candidate) {
    return Candidate->ReturnedAt &&
           Now - *Candidate->ReturnedAt < this->Policy.ReturnTime;
  };
  if (std::none_of(Candidates.begin(), Candidates.end(), IsReturning))
    return;
  // A topic becomes eligible at all targets of a failure domain together, so
  // that it moves once, to the target at which it stays.
  std::uint64_t Key = Call.Parts.empty()
                          ? this->Rng.next()
                          : hash64(sharedPart(Call.Parts), hash64("return"));
  keepIfAny(Candidates, [&](const TargetState *Candidate) {
    if (!IsReturning(Candidate))
      return true;
    std::chrono::duration<double> Since = Now - *Candidate->ReturnedAt;
    double Position =
        static_cast<double>(hash64(Candidate->Listed.FailureDomain, Key)) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return Position < Since / this->Policy.ReturnTime;
  });
}

TargetState *
TargetPicker::pickByPrompt(const std::vector<TargetState *> &Candidates,
                           const RelayCall &Call) const {
  double Sum = 0;
  for (const TargetState *Candidate : Candidates)
    Sum += this->load(*Candidate);
  double MaxLoad =
      Sum / static_cast<double>(Candidates.size()) * this->Policy.LoadFactor +
      this->Policy.LoadAllowance;
  std::uint64_t Key = hash64(sharedPart(Call.Parts));
  std::vector<std::pair<std::uint64_t, TargetState *>> Order;
  for (TargetState *Candidate : Candidates)
    Order.emplace_back(hash64(Candidate->Listed.Id, Key), Candidate);
  std::sort(Order.begin(), Order.end());
  for (const auto &[Rank, Candidate] : Order)
    if (this->load(*Candidate) < MaxLoad)
      return Candidate;
  return Order.front().second;
}

TargetState *
TargetPicker::pickByLoad(const std::vector<TargetState *> &Candidates) {
  auto Draw = [&] {
    return Candidates[this->Rng.below(
        static_cast<std::uint32_t>(Candidates.size()))];
  };
  TargetState *First = Draw();
  TargetState *Second = Draw();
  auto Cost = [&](const TargetState *Candidate) {
    // A call to another failure domain costs a fraction of a call that waits in
    // a queue.
    constexpr double OtherDomainCost = 0.4;
    return this->load(*Candidate) +
           (Candidate->Listed.FailureDomain == this->OwnDomain
                ? 0
                : OtherDomainCost);
  };
  return Cost(Second) < Cost(First) ? Second : First;
}

} // namespace bergamothook

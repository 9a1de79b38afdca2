#include "LibRelay/TargetPicker.h"

#include "LibBase/Hash.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// Keeps the targets for which \p Condition holds, unless there is none.
template <typename Predicate>
void keepIfAny(std::vector<TargetState *> &Among, Predicate Condition) {
  if (std::any_of(Among.begin(), Among.end(), Condition))
    std::erase_if(Among,
                  [&](const TargetState *Each) { return !Condition(Each); });
}

/// The part that calls about one thing have in common: the last but the call's
/// own.
const std::string &sharedPart(const std::vector<PromptPart> &Parts) {
  return Parts.size() >= 2 ? Parts[Parts.size() - 2].Id : Parts.front().Id;
}

} // namespace

double TargetPicker::load(const TargetState &Target) const {
  return Target.Running +
         static_cast<double>(Target.ReadingTokens) / this->Policy.TokensPerCall;
}

std::vector<TargetState *>
TargetPicker::candidates(TargetDirectory &Targets, const std::string &Service,
                         const std::set<std::string> &Excluded,
                         TimePoint Now) const {
  std::vector<TargetState *> Among = Targets.usable(Service);
  std::erase_if(Among, [&](const TargetState *Each) {
    return Excluded.contains(Each->Listed.Id);
  });
  keepIfAny(Among, [&](const TargetState *Each) {
    return Each->AvoidUntil <= Now && !Each->MissingSince;
  });
  keepIfAny(Among,
            [&](const TargetState *Each) { return Each->FullUntil <= Now; });
  return Among;
}

TargetState *TargetPicker::pick(TargetDirectory &Targets,
                                const std::string &Service,
                                const RelayCall &Call,
                                const std::set<std::string> &Excluded,
                                TimePoint Now) {
  std::vector<TargetState *> Among =
      this->candidates(Targets, Service, Excluded, Now);
  if (Among.empty())
    return nullptr;
  if (!Call.Parts.empty())
    return this->pickByPrompt(Among, Call);
  return this->pickByLoad(Among);
}

TargetState *TargetPicker::pickByPrompt(const std::vector<TargetState *> &Among,
                                        const RelayCall &Call) const {
  double Sum = 0;
  for (const TargetState *Each : Among)
    Sum += this->load(*Each);
  double Most =
      Sum / static_cast<double>(Among.size()) * this->Policy.LoadFactor +
      this->Policy.LoadAllowance;
  std::uint64_t Key = hash64(sharedPart(Call.Parts));
  std::vector<std::pair<std::uint64_t, TargetState *>> Order;
  for (TargetState *Each : Among)
    Order.emplace_back(hash64(Each->Listed.Id, Key), Each);
  std::sort(Order.begin(), Order.end());
  for (const auto &[Rank, Each] : Order)
    if (this->load(*Each) < Most)
      return Each;
  return Order.front().second;
}

TargetState *TargetPicker::pickByLoad(const std::vector<TargetState *> &Among) {
  auto Draw = [&] {
    return Among[this->Dice.below(static_cast<std::uint32_t>(Among.size()))];
  };
  TargetState *First = Draw();
  TargetState *Second = Draw();
  auto Cost = [&](const TargetState *Each) {
    // A call to another domain costs a fraction of one that waits in a queue.
    constexpr double OtherDomainCost = 0.4;
    return this->load(*Each) + (Each->Listed.FailureDomain == this->OwnDomain
                                    ? 0
                                    : OtherDomainCost);
  };
  return Cost(Second) < Cost(First) ? Second : First;
}

} // namespace bergamothook

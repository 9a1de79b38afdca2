#include "LibRelay/CrashEvidence.h"

namespace bergamothook {

namespace {

/// The newest losses are kept; far more than a decision needs.
constexpr std::size_t MaxLosses = 32;

} // namespace

void CrashEvidence::add(const TargetLoss &Loss, const Hash128 &Self,
                        const RequestTraits &Traits) {
  if (!this->HasCompanions) {
    std::set<Hash128> Others(Traits.Parts.begin(), Traits.Parts.end());
    Others.erase(Self);
    this->setCompanions(std::move(Others));
    this->OnlyContent = Traits.Content;
  } else {
    std::erase_if(this->Companions, [&](const Hash128 &Trait) {
      return !Traits.contains(Trait);
    });
    if (this->OnlyContent != Traits.Content)
      this->OnlyContent.reset();
  }
  this->LastLoss = std::max(this->LastLoss, Loss.LostAt);
  if (this->contains(Loss.TargetRun))
    return;
  auto Place =
      std::upper_bound(this->Losses.begin(), this->Losses.end(), Loss,
                       [](const TargetLoss &Left, const TargetLoss &Right) {
                         return Left.LostAt < Right.LostAt;
                       });
  this->Losses.insert(Place, Loss);
  if (this->Losses.size() > MaxLosses)
    this->Losses.erase(this->Losses.begin());
}

std::vector<std::size_t> CrashEvidence::moments(Duration Gap) const {
  std::vector<std::size_t> Starts;
  for (std::size_t I = 0; I < this->Losses.size(); ++I) {
    const TargetLoss &Loss = this->Losses[I];
    if (Starts.empty() || Loss.SentAt >= this->Losses[Starts.back()].LostAt ||
        Loss.LostAt - this->Losses[Starts.back()].LostAt >= Gap)
      Starts.push_back(I);
  }
  return Starts;
}

bool CrashEvidence::contains(std::uint64_t TargetRun) const {
  return std::any_of(
      this->Losses.begin(), this->Losses.end(),
      [&](const TargetLoss &Loss) { return Loss.TargetRun == TargetRun; });
}

bool CrashEvidence::covers(const CrashEvidence &Other) const {
  return std::all_of(
      Other.Losses.begin(), Other.Losses.end(),
      [&](const TargetLoss &Loss) { return this->contains(Loss.TargetRun); });
}

void CrashEvidence::setCompanions(std::set<Hash128> Next) {
  this->Companions = std::move(Next);
  this->HasCompanions = true;
}

} // namespace bergamothook

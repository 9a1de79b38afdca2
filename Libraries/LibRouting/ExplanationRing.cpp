#include "LibRouting/ExplanationRing.h"

#include <algorithm>

namespace bergamothook {

ExplanationRing::ExplanationRing(std::size_t Capacity,
                                 std::size_t MaxCandidates)
    : Capacity(std::max<std::size_t>(1, Capacity)),
      MaxCandidates(MaxCandidates) {}

void ExplanationRing::add(Explanation Item) {
  std::vector<Candidate> &Candidates = Item.Decision.Candidates;
  std::sort(
      Candidates.begin(), Candidates.end(),
      [](const Candidate &A, const Candidate &B) { return A.Score < B.Score; });
  if (Candidates.size() > this->MaxCandidates)
    Candidates.resize(this->MaxCandidates);
  Candidates.shrink_to_fit();
  if (this->Ring.size() < this->Capacity) {
    this->Ring.push_back(std::move(Item));
    return;
  }
  this->Ring[this->Next] = std::move(Item);
  this->Next = (this->Next + 1) % this->Capacity;
}

std::vector<Explanation> ExplanationRing::find(RequestId Request) const {
  std::vector<Explanation> Found;
  for (std::size_t I = 0; I < this->Ring.size(); ++I) {
    const Explanation &Item = this->Ring[(this->Next + I) % this->Ring.size()];
    if (Item.Request == Request)
      Found.push_back(Item);
  }
  return Found;
}

} // namespace bergamothook

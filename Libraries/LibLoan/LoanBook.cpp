#include "LibLoan/LoanBook.h"

namespace bergamothook {

LoanState LoanBook::stateOf(const LoanId &Id) const {
  auto Found = this->Loans.find(Id);
  return Found == this->Loans.end() ? LoanState::Unknown : Found->second.State;
}

bool LoanBook::begin(const LoanId &Id, const Loan &Asked) {
  if (this->OpenCount >= this->Policy.MaxOpen)
    return false;
  if (!this->Loans.try_emplace(Id, Entry{LoanState::Waiting, Asked}).second)
    return false;
  ++this->OpenCount;
  return true;
}

bool LoanBook::grant(const LoanId &Id) {
  auto Found = this->Loans.find(Id);
  if (Found == this->Loans.end() || Found->second.State != LoanState::Waiting)
    return false;
  Found->second.State = LoanState::Granted;
  this->Lent[Found->second.Of.Team] += Found->second.Of.Amount;
  return true;
}

void LoanBook::refuse(const LoanId &Id) {
  auto Found = this->Loans.find(Id);
  if (Found == this->Loans.end() || Found->second.State != LoanState::Waiting)
    return;
  this->Loans.erase(Found);
  --this->OpenCount;
}

std::optional<Loan> LoanBook::end(const LoanId &Id, TimePoint Now) {
  Entry &Place = this->Loans[Id];
  if (Place.State == LoanState::Ended)
    return std::nullopt;
  std::optional<Loan> Settled;
  if (!Place.Of.Team.empty()) // The ask had come.
    --this->OpenCount;
  if (Place.State == LoanState::Granted) {
    Settled = Place.Of;
    this->Lent[Place.Of.Team] -= Place.Of.Amount;
  }
  Place = {LoanState::Ended, {}};
  this->EndedInOrder.push_back({Now, Id});
  return Settled;
}

void LoanBook::expire(TimePoint Now) {
  while (!this->EndedInOrder.empty() &&
         Now - this->EndedInOrder.front().At > this->Policy.EndedLifetime) {
    this->Loans.erase(this->EndedInOrder.front().Id);
    this->EndedInOrder.pop_front();
  }
}

Tokens LoanBook::lent(const std::string &Team) const {
  auto Found = this->Lent.find(Team);
  return Found == this->Lent.end() ? 0 : Found->second;
}

} // namespace bergamothook

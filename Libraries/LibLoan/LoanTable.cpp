#include "LibLoan/LoanTable.h"

namespace bergamothook {

LoanState LoanTable::stateOf(const LoanId &Id) const {
  auto Found = this->Loans.find(Id);
  return Found == this->Loans.end() ? LoanState::Unknown : Found->second.State;
}

bool LoanTable::begin(const LoanId &Id, const Loan &Requested) {
  if (this->OpenCount >= this->Policy.MaxOpen)
    return false;
  if (!this->Loans.try_emplace(Id, Entry{LoanState::Waiting, Requested}).second)
    return false;
  ++this->OpenCount;
  return true;
}

bool LoanTable::grant(const LoanId &Id) {
  auto Found = this->Loans.find(Id);
  if (Found == this->Loans.end() || Found->second.State != LoanState::Waiting)
    return false;
  Found->second.State = LoanState::Granted;
  this->Lent[Found->second.Terms.Team] += Found->second.Terms.Amount;
  return true;
}

void LoanTable::refuse(const LoanId &Id) {
  auto Found = this->Loans.find(Id);
  if (Found == this->Loans.end() || Found->second.State != LoanState::Waiting)
    return;
  this->Loans.erase(Found);
  --this->OpenCount;
}

std::optional<Loan> LoanTable::end(const LoanId &Id, TimePoint Now) {
  Entry &Position = this->Loans[Id];
  if (Position.State == LoanState::Ended)
    return std::nullopt;
  std::optional<Loan> Settled;
  if (!Position.Terms.Team.empty()) // The request had arrived.
    --this->OpenCount;
  if (Position.State == LoanState::Granted) {
    Settled = Position.Terms;
    this->Lent[Position.Terms.Team] -= Position.Terms.Amount;
  }
  Position = {LoanState::Ended, {}};
  this->EndedLoans.push_back({Now, Id});
  return Settled;
}

void LoanTable::expire(TimePoint Now) {
  while (!this->EndedLoans.empty() &&
         Now - this->EndedLoans.front().At > this->Policy.EndedRetention) {
    this->Loans.erase(this->EndedLoans.front().Id);
    this->EndedLoans.pop_front();
  }
}

Tokens LoanTable::lent(const std::string &Team) const {
  auto Found = this->Lent.find(Team);
  return Found == this->Lent.end() ? 0 : Found->second;
}

} // namespace bergamothook

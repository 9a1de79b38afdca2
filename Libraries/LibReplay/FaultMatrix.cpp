#include "LibReplay/FaultMatrix.h"

#include <algorithm>

namespace bergamothook {

namespace {

bool isLogFault(FaultKind Fault) {
  return Fault == FaultKind::AppendLostBefore ||
         Fault == FaultKind::AppendLostAfter || Fault == FaultKind::LogSlow ||
         Fault == FaultKind::LogOut;
}

/// What an order may come to when its claimant is lost to the callers: only
/// the claimant's own record could tell more.
std::vector<Outcome> lostClaimant() {
  return {Outcome::Done, Outcome::InProgress, Outcome::Unknown};
}

std::vector<Outcome> allowedForOrder(FaultKind Fault, Step At) {
  bool IsClaimed = At >= Step::Connect;
  bool IsSent = At >= Step::Sent;
  bool HasLeft = At >= Step::Answer;
  switch (Fault) {
  case FaultKind::TargetCrash:
  case FaultKind::TargetSilence:
    // The bytes were sent, and the answer never comes.
    if (IsSent && !HasLeft)
      return {Outcome::Unknown, Outcome::InProgress};
    return {Outcome::Done};
  case FaultKind::RouterDeath:
    if (HasLeft)
      return lostClaimant();
    if (IsClaimed)
      return {Outcome::InProgress, Outcome::Unknown};
    return {Outcome::Done};
  case FaultKind::RouterPause:
  case FaultKind::Partition:
    return IsClaimed ? lostClaimant() : std::vector{Outcome::Done};
  case FaultKind::CallerHangUp:
    return {};
  default:
    return {Outcome::Done};
  }
}

ScenarioFault faultOf(const FaultCell &Cell) {
  ScenarioFault Made;
  Made.Kind = Cell.Fault;
  Made.Request = 0;
  Made.At = Cell.At;
  return Made;
}

bool isAllowed(const FaultCell &Cell, const RequestReport &Known) {
  std::vector<Outcome> Allowed = allowedOutcomes(Cell);
  if (Allowed.empty())
    return true;
  return !Known.Outcomes.empty() &&
         std::find(Allowed.begin(), Allowed.end(), Known.Outcomes.back()) !=
             Allowed.end();
}

} // namespace

const char *whyImpossible(const FaultCell &Cell) {
  bool IsOrder = Cell.Kind == RequestKind::Order;
  Step At = Cell.At;
  if (IsOrder && (At == Step::Reserve || At == Step::Settle))
    return "an order costs no tokens, so nothing is reserved or settled";
  if (IsOrder && (At == Step::FirstChunk || At == Step::MidStream))
    return "an order is answered in one piece";
  if (!IsOrder && At == Step::Claim)
    return "a repeatable request is not claimed";
  if (!IsOrder && isLogFault(Cell.Fault))
    return "a stream appends nothing itself: its reservation and settlement "
           "are the ledger's";
  if (Cell.Fault == FaultKind::LateAnswer && At >= Step::End)
    return "the answer has left its target";
  if (Cell.Fault == FaultKind::TargetRefusal && At >= Step::Sent)
    return "a target that took a request can't refuse it any more";
  if (Cell.Fault == FaultKind::TargetSilence && At <= Step::Connect)
    return "no connection is open yet";
  if (Cell.Fault == FaultKind::TargetSilence && At >= Step::Settle)
    return "no connection is open any more";
  return nullptr;
}

std::vector<Outcome> allowedOutcomes(const FaultCell &Cell) {
  if (Cell.Kind == RequestKind::Order)
    return allowedForOrder(Cell.Fault, Cell.At);
  // A repeatable stream reaches its caller whole under every single fault.
  if (Cell.Fault == FaultKind::CallerHangUp)
    return {};
  return {Outcome::Done};
}

std::vector<FaultCell> allFaultCells() {
  std::vector<FaultCell> Cells;
  for (RequestKind Kind : {RequestKind::Order, RequestKind::Stream})
    for (std::size_t Fault = 0; Fault < FaultKindCount; ++Fault)
      for (std::size_t At = 0; At < StepCount; ++At)
        Cells.push_back(
            {Kind, static_cast<FaultKind>(Fault), static_cast<Step>(At)});
  return Cells;
}

MatrixRow runMatrixRow(const std::vector<FaultCell> &Cells,
                       std::uint64_t Seed) {
  MatrixRow Row;
  Row.Cells = Cells;
  Scenario Played;
  Played.Seed = Seed;
  ScenarioRequest Request;
  Request.Kind = Cells.front().Kind;
  Request.Key = "matrix-" + std::to_string(Seed);
  Request.Body = "three brackets";
  Played.Requests = {Request};
  for (const auto &Cell : Cells)
    Played.Faults.push_back(faultOf(Cell));
  Row.Report = runScenario(Played);
  Row.HasStruck = Row.Report.FaultsStruck == Cells.size();
  Row.HasHeld = Row.Report.Violations.empty();
  if (Cells.size() == 1)
    Row.HasHeld &= isAllowed(Cells.front(), Row.Report.Requests.front());
  return Row;
}

std::string describe(const std::vector<FaultCell> &Cells) {
  std::string Text = nameOf(Cells.front().Kind);
  for (const auto &Cell : Cells)
    Text += std::string(" | ") + nameOf(Cell.Fault) + " at " + nameOf(Cell.At);
  return Text;
}

} // namespace bergamothook

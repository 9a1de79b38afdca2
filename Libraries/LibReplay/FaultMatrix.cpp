#include "LibReplay/FaultMatrix.h"

#include <algorithm>

namespace bergamothook {

namespace {

bool isLogFault(FaultKind Fault) {
  return Fault == FaultKind::AppendLostBefore ||
         Fault == FaultKind::AppendLostAfter || Fault == FaultKind::LogSlow ||
         Fault == FaultKind::LogOut;
}

/// The outcomes of an order whose claimant the callers can't reach. Only a
/// record written by the claimant could tell more.
std::vector<Outcome> outcomesOfLostClaimant() {
  return {Outcome::Done, Outcome::InProgress, Outcome::Unknown};
}

std::vector<Outcome> allowedForOrder(FaultKind Fault, Step At) {
  bool IsClaimed = At >= Step::Connect;
  bool IsSent = At >= Step::Sent;
  bool IsResponseSent = At >= Step::Answer;
  switch (Fault) {
  case FaultKind::TargetCrash:
  case FaultKind::TargetSilence:
    // The request was sent, but no response will arrive.
    if (IsSent && !IsResponseSent)
      return {Outcome::Unknown, Outcome::InProgress};
    return {Outcome::Done};
  case FaultKind::RouterDeath:
    if (IsResponseSent)
      return outcomesOfLostClaimant();
    if (IsClaimed)
      return {Outcome::InProgress, Outcome::Unknown};
    return {Outcome::Done};
  case FaultKind::RouterPause:
  case FaultKind::Partition:
    return IsClaimed ? outcomesOfLostClaimant() : std::vector{Outcome::Done};
  case FaultKind::CallerHangUp:
    return {};
  default:
    return {Outcome::Done};
  }
}

ScenarioFault makeFault(const FaultCell &Cell) {
  ScenarioFault Fault;
  Fault.Kind = Cell.Fault;
  Fault.Request = 0;
  Fault.At = Cell.At;
  return Fault;
}

bool isAllowed(const FaultCell &Cell, const RequestReport &Report) {
  std::vector<Outcome> Allowed = allowedOutcomes(Cell);
  if (Allowed.empty())
    return true;
  return !Report.Outcomes.empty() &&
         std::find(Allowed.begin(), Allowed.end(), Report.Outcomes.back()) !=
             Allowed.end();
}

} // namespace

const char *whyImpossible(const FaultCell &Cell) {
  bool IsOrder = Cell.Kind == RequestKind::Order;
  Step At = Cell.At;
  if (IsOrder && (At == Step::Reserve || At == Step::Settle))
    return "an order costs no tokens, so nothing is reserved or settled";
  if (IsOrder && (At == Step::FirstChunk || At == Step::MidStream))
    return "the response to an order is not streamed";
  if (!IsOrder && At == Step::Claim)
    return "a repeatable request is not claimed";
  if (!IsOrder && isLogFault(Cell.Fault))
    return "a stream appends no log records itself: the ledger appends its "
           "reservation and settlement";
  if (Cell.Fault == FaultKind::LateAnswer && At >= Step::End)
    return "the target has sent its response already";
  if (Cell.Fault == FaultKind::TargetRefusal && At >= Step::Sent)
    return "a target can't refuse a request that it has accepted";
  if (Cell.Fault == FaultKind::TargetSilence && At <= Step::Connect)
    return "no connection is open yet";
  if (Cell.Fault == FaultKind::TargetSilence && At >= Step::Settle)
    return "the connection is closed already";
  return nullptr;
}

std::vector<Outcome> allowedOutcomes(const FaultCell &Cell) {
  if (Cell.Kind == RequestKind::Order)
    return allowedForOrder(Cell.Fault, Cell.At);
  // A repeatable stream is delivered completely under any single fault.
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
  Scenario Input;
  Input.Seed = Seed;
  ScenarioRequest Request;
  Request.Kind = Cells.front().Kind;
  Request.Key = "matrix-" + std::to_string(Seed);
  Request.Body = "three brackets";
  Input.Requests = {Request};
  for (const auto &Cell : Cells)
    Input.Faults.push_back(makeFault(Cell));
  Row.Report = runScenario(Input);
  Row.AllFaultsInjected = Row.Report.FaultsInjected == Cells.size();
  Row.HasPassed = Row.Report.Violations.empty();
  if (Cells.size() == 1)
    Row.HasPassed &= isAllowed(Cells.front(), Row.Report.Requests.front());
  return Row;
}

std::string describe(const std::vector<FaultCell> &Cells) {
  std::string Text = nameOf(Cells.front().Kind);
  for (const auto &Cell : Cells)
    Text += std::string(" | ") + nameOf(Cell.Fault) + " at " + nameOf(Cell.At);
  return Text;
}

} // namespace bergamothook

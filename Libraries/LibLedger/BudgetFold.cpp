#include "LibLedger/BudgetFold.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// \returns the team whose budget a body affects; none if it affects all.
struct TeamOf {
  TeamId operator()(const IncarnationEnded &) const { return {}; }
  TeamId operator()(const EpochMark &) const { return {}; }
  template <typename Body> TeamId operator()(const Body &Typed) const {
    return Typed.Team;
  }
};

} // namespace

BudgetFold::BudgetFold(LedgerEpoch MemoryEpochs) : MemoryEpochs(MemoryEpochs) {}

const LedgerVerdict &BudgetFold::apply(const StreamRecord &Record,
                                       RecordPosition At) {
  auto Body = decodeLedgerBody(Record);
  if (Body)
    return this->apply(Body.value(), Record.Id, Record.Writer, At);
  this->Verdict.Grants.clear();
  this->Verdict.Outcome = LedgerOutcome::Void;
  this->Position = At;
  this->HasPosition = true;
  ++this->Counters.Malformed;
  return this->Verdict;
}

const LedgerVerdict &BudgetFold::apply(const LedgerBody &Body, RecordId Id,
                                       Incarnation Writer, RecordPosition At) {
  this->Verdict.Grants.clear();
  this->Verdict.Outcome = LedgerOutcome::Duplicate;
  if (this->HasPosition && At <= this->Position)
    return this->Verdict;
  this->Position = At;
  this->HasPosition = true;
  Origin From{Id, Writer};
  if (this->isEnded(Writer))
    this->Verdict.Outcome = LedgerOutcome::Void;
  else
    this->Verdict.Outcome = std::visit(
        [&](const auto &Typed) { return this->applyBody(Typed, From); }, Body);
  this->count(this->Verdict.Outcome);
  if (const Budget *Touched = this->findBudget(std::visit(TeamOf{}, Body)))
    this->check(*Touched);
  return this->Verdict;
}

void BudgetFold::count(LedgerOutcome Outcome) {
  ++this->Counters.Applied;
  this->Counters.Duplicates += Outcome == LedgerOutcome::Duplicate;
  this->Counters.SecondBills += Outcome == LedgerOutcome::AlreadyBilled;
  this->Counters.Late += Outcome == LedgerOutcome::Late;
  this->Counters.Voided += Outcome == LedgerOutcome::Void;
}

void BudgetFold::check(const Budget &Owner) {
  TokenCount Sum = Owner.Settled + Owner.Outstanding + Owner.Unallocated;
  bool IsConsistent = Sum == Owner.ToppedUp && Owner.Settled >= 0 &&
                      Owner.Outstanding >= 0 && Owner.Unallocated >= 0;
  this->Counters.Violations += !IsConsistent;
}

bool BudgetFold::isLate(LedgerEpoch RecordEpoch) const {
  return this->Epoch > this->MemoryEpochs &&
         RecordEpoch < this->Epoch - this->MemoryEpochs;
}

LedgerOutcome BudgetFold::applyBody(const TopUp &Body, const Origin &From) {
  if (this->Memory.contains(From.Id))
    return LedgerOutcome::Duplicate;
  if (this->isLate(Body.Epoch))
    return LedgerOutcome::Late;
  if (Body.Epoch > this->Epoch || Body.Tokens <= 0)
    return LedgerOutcome::Void;
  Budget *Owner = this->findBudget(Body.Team);
  TokenCount Held = Owner ? Owner->ToppedUp : 0;
  if (Body.Tokens > MaxTokens - Held)
    return LedgerOutcome::Void;
  if (!Owner) {
    this->TeamIndex.emplace(Body.Team,
                            static_cast<Index>(this->Budgets.size()));
    Owner = &this->Budgets.emplace_back();
    Owner->Team = Body.Team;
  }
  this->Memory.insert(From.Id);
  Owner->ToppedUp += Body.Tokens;
  Owner->Unallocated += Body.Tokens;
  this->serveDemands(*Owner);
  return LedgerOutcome::Accepted;
}

LedgerOutcome BudgetFold::applyBody(const GrantRequest &Body,
                                    const Origin &From) {
  Budget *Owner = this->findBudget(Body.Team);
  if (!Owner || Owner->IsClosed || Body.Tokens < 0 || Body.Minimum < 0 ||
      Body.UnwitnessedCap < 0 || Body.UnwitnessedCap > MaxTokens / 4)
    return LedgerOutcome::Void;
  Index At = this->findSlice(*Owner, From.Writer);
  std::uint32_t Found = At == None ? 0 : this->Slices[At].Sequence;
  if (Body.Sequence <= Found)
    return LedgerOutcome::Duplicate;
  if (Body.Sequence != Found + 1)
    return LedgerOutcome::Void;
  if (At == None)
    At = this->addSlice(*Owner, From.Writer);
  Index First = this->holderIndex(Body.Witnesses.First);
  Index Second = this->holderIndex(Body.Witnesses.Second);
  Slice &TargetSlice = this->Slices[At];
  TargetSlice.Sequence = Body.Sequence;
  TargetSlice.FirstWitness = First;
  TargetSlice.SecondWitness = Second;
  TargetSlice.UnwitnessedCap = Body.UnwitnessedCap;
  this->clearDemand(*Owner, TargetSlice);
  // While other demands wait, a grant is limited to its minimum.
  TokenCount Requested = std::max(Body.Tokens, Body.Minimum);
  if (Owner->Demands != 0)
    Requested = Body.Minimum;
  TokenCount Granted = std::min(Requested, Owner->Unallocated);
  if (Granted >= Body.Minimum) {
    this->transfer(*Owner, TargetSlice, Granted);
    return LedgerOutcome::Accepted;
  }
  TargetSlice.Demand = Body.Minimum;
  TargetSlice.DemandOrder = this->NextDemandOrder++;
  ++Owner->Demands;
  return LedgerOutcome::Denied;
}

LedgerOutcome BudgetFold::applyBody(const Settle &Body, const Origin &) {
  Budget *Owner = this->findBudget(Body.Team);
  Index At = Owner ? this->findSlice(*Owner, Body.Holder) : None;
  if (this->Memory.contains(Body.Request))
    return LedgerOutcome::AlreadyBilled;
  if (this->isLate(Body.Epoch))
    return LedgerOutcome::Late;
  if (At == None || Body.Tokens < 0 || Body.Epoch > this->Epoch)
    return LedgerOutcome::Void;
  Slice &Payer = this->Slices[At];
  if (Body.Tokens > Payer.Outstanding) {
    ++this->Counters.Overdraws;
    return LedgerOutcome::Void;
  }
  this->Memory.insert(Body.Request);
  Payer.Outstanding -= Body.Tokens;
  Owner->Outstanding -= Body.Tokens;
  Owner->Settled += Body.Tokens;
  if (Payer.Outstanding == 0 && this->Holders[Payer.Holder].IsEnded)
    this->removeSlice(*Owner, At);
  return LedgerOutcome::Accepted;
}

LedgerOutcome BudgetFold::applyBody(const SliceReturn &Body,
                                    const Origin &From) {
  Budget *Owner = this->findBudget(Body.Team);
  Index At = Owner ? this->findSlice(*Owner, From.Writer) : None;
  if (At == None)
    return LedgerOutcome::Void;
  Slice &Source = this->Slices[At];
  if (Body.Sequence <= Source.Sequence)
    return LedgerOutcome::Duplicate;
  if (Body.Sequence != Source.Sequence + 1 || Body.Tokens < 0 ||
      Body.Tokens > Source.Outstanding)
    return LedgerOutcome::Void;
  Source.Sequence = Body.Sequence;
  this->transfer(*Owner, Source, -Body.Tokens);
  this->serveDemands(*Owner);
  return LedgerOutcome::Accepted;
}

LedgerOutcome BudgetFold::applyBody(const IncarnationEnded &Body,
                                    const Origin &From) {
  bool IsSelf = From.Writer == Body.Ended;
  bool IsSameHost = From.Writer.Host == Body.Ended.Host;
  bool IsProof =
      (Body.Evidence == EndEvidence::CleanShutdown && IsSelf) ||
      (Body.Evidence == EndEvidence::Successor && !IsSelf && IsSameHost) ||
      (Body.Evidence == EndEvidence::Operator && !IsSelf);
  if (!IsProof)
    return LedgerOutcome::Void;
  Index Ended = this->holderIndex(Body.Ended);
  if (this->Holders[Ended].IsEnded)
    return LedgerOutcome::Duplicate;
  this->Holders[Ended].IsEnded = true;
  this->endSlices(Ended);
  return LedgerOutcome::Accepted;
}

void BudgetFold::endSlices(Index Ended) {
  for (auto &Owner : this->Budgets) {
    Index At = this->findSlice(Owner, this->Holders[Ended].Id);
    if (At == None)
      continue;
    this->clearDemand(Owner, this->Slices[At]);
    if (this->Slices[At].Outstanding == 0)
      this->removeSlice(Owner, At);
    this->check(Owner);
  }
}

LedgerOutcome BudgetFold::applyBody(const WitnessReport &Body,
                                    const Origin &From) {
  Budget *Owner = this->findBudget(Body.Team);
  Index At = Owner ? this->findSlice(*Owner, Body.Holder) : None;
  if (At == None || Body.Open < 0 || Body.Open > MaxTokens / 4)
    return LedgerOutcome::Void;
  Slice &Source = this->Slices[At];
  bool IsFirst = this->Holders[Source.FirstWitness].Id == From.Writer;
  bool IsSecond = this->Holders[Source.SecondWitness].Id == From.Writer;
  if (!this->Holders[Source.Holder].IsEnded || (!IsFirst && !IsSecond))
    return LedgerOutcome::Void;
  (IsFirst ? Source.FirstReport : Source.SecondReport) = Body.Open;
  // Either witness may store a note, so both must have reported. A holder with
  // only one peer named itself, or that peer twice.
  bool HasOne = Source.FirstWitness == Source.SecondWitness ||
                Source.FirstWitness == Source.Holder ||
                Source.SecondWitness == Source.Holder;
  if (!HasOne &&
      (Source.FirstReport == NoReport || Source.SecondReport == NoReport))
    return LedgerOutcome::Accepted;
  TokenCount Open = std::max<TokenCount>(Source.FirstReport, 0) +
                    std::max<TokenCount>(Source.SecondReport, 0);
  TokenCount Retained =
      std::min(Source.Outstanding, Open + Source.UnwitnessedCap);
  this->transfer(*Owner, Source, Retained - Source.Outstanding);
  if (Retained == 0)
    this->removeSlice(*Owner, At);
  this->serveDemands(*Owner);
  return LedgerOutcome::Accepted;
}

LedgerOutcome BudgetFold::applyBody(const WriteBack &Body, const Origin &) {
  Budget *Owner = this->findBudget(Body.Team);
  Index At = Owner ? this->findSlice(*Owner, Body.Holder) : None;
  if (At == None || !this->Holders[this->Slices[At].Holder].IsEnded)
    return LedgerOutcome::Void;
  Slice &Source = this->Slices[At];
  if (Body.Spent < 0 || Body.Spent > Source.Outstanding)
    return LedgerOutcome::Void;
  Source.Outstanding -= Body.Spent;
  Owner->Outstanding -= Body.Spent;
  Owner->Settled += Body.Spent;
  this->transfer(*Owner, Source, -Source.Outstanding);
  this->removeSlice(*Owner, At);
  this->serveDemands(*Owner);
  return LedgerOutcome::Accepted;
}

LedgerOutcome BudgetFold::applyBody(const CloseBudget &Body, const Origin &) {
  Budget *Owner = this->findBudget(Body.Team);
  if (!Owner)
    return LedgerOutcome::Void;
  if (Owner->IsClosed)
    return LedgerOutcome::Duplicate;
  Owner->IsClosed = true;
  for (Index At = Owner->FirstSlice; At != None; At = this->Slices[At].Next)
    this->clearDemand(*Owner, this->Slices[At]);
  return LedgerOutcome::Accepted;
}

LedgerOutcome BudgetFold::applyBody(const EpochMark &Body, const Origin &) {
  if (Body.Epoch != this->Epoch + 1)
    return LedgerOutcome::Duplicate;
  this->Epoch = Body.Epoch;
  if (this->Epoch % this->MemoryEpochs == 0)
    this->Memory.rotate();
  return LedgerOutcome::Accepted;
}

void BudgetFold::transfer(Budget &Owner, Slice &Recipient, TokenCount Tokens) {
  Owner.Unallocated -= Tokens;
  Owner.Outstanding += Tokens;
  Recipient.Outstanding += Tokens;
  if (Tokens > 0)
    this->Verdict.Grants.push_back(
        {Owner.Team, this->Holders[Recipient.Holder].Id, Tokens});
}

void BudgetFold::clearDemand(Budget &Owner, Slice &Waiting) {
  if (Waiting.Demand == 0)
    return;
  Waiting.Demand = 0;
  --Owner.Demands;
}

void BudgetFold::serveDemands(Budget &Owner) {
  while (Owner.Demands != 0) {
    Slice *Oldest = nullptr;
    for (Index At = Owner.FirstSlice; At != None; At = this->Slices[At].Next) {
      Slice &Waiting = this->Slices[At];
      bool CanServe =
          Waiting.Demand != 0 && Waiting.Demand <= Owner.Unallocated;
      if (CanServe && (!Oldest || Waiting.DemandOrder < Oldest->DemandOrder))
        Oldest = &Waiting;
    }
    if (!Oldest)
      return;
    TokenCount Tokens = Oldest->Demand;
    this->clearDemand(Owner, *Oldest);
    this->transfer(Owner, *Oldest, Tokens);
  }
}

BudgetFold::Budget *BudgetFold::findBudget(TeamId Team) {
  auto Found = this->TeamIndex.find(Team);
  return Found == this->TeamIndex.end() ? nullptr
                                        : &this->Budgets[Found->second];
}

const BudgetFold::Budget *BudgetFold::findBudget(TeamId Team) const {
  auto Found = this->TeamIndex.find(Team);
  return Found == this->TeamIndex.end() ? nullptr
                                        : &this->Budgets[Found->second];
}

BudgetFold::Index BudgetFold::findSlice(const Budget &Owner,
                                        Incarnation Holder) const {
  for (Index At = Owner.FirstSlice; At != None; At = this->Slices[At].Next)
    if (this->Holders[this->Slices[At].Holder].Id == Holder)
      return At;
  return None;
}

BudgetFold::Index BudgetFold::addSlice(Budget &Owner, Incarnation Holder) {
  Index HolderAt = this->holderIndex(Holder);
  Index At = 0;
  if (this->FreeSlices.empty()) {
    At = static_cast<Index>(this->Slices.size());
    this->Slices.emplace_back();
  } else {
    At = this->FreeSlices.back();
    this->FreeSlices.pop_back();
    this->Slices[At] = Slice{};
  }
  this->Slices[At].Holder = HolderAt;
  this->Slices[At].Next = Owner.FirstSlice;
  Owner.FirstSlice = At;
  return At;
}

void BudgetFold::removeSlice(Budget &Owner, Index At) {
  Index *Link = &Owner.FirstSlice;
  while (*Link != At)
    Link = &this->Slices[*Link].Next;
  *Link = this->Slices[At].Next;
  this->FreeSlices.push_back(At);
}

BudgetFold::Index BudgetFold::holderIndex(Incarnation Id) {
  auto [Found, IsNew] =
      this->HolderIndex.emplace(Id, static_cast<Index>(this->Holders.size()));
  if (IsNew)
    this->Holders.push_back({Id, false});
  return Found->second;
}

} // namespace bergamothook

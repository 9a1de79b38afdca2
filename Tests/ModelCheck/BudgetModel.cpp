#include "BudgetModel.h"

namespace bergamothook {

namespace {

constexpr std::size_t MostDoubles = 1;
constexpr std::size_t MostRestores = 1;

SlicePolicy modelPolicy() {
  SlicePolicy Policy = LedgerFleet::smallPolicy();
  Policy.FleetHosts = 1;
  Policy.Eagerness = 0;
  Policy.SmallestTarget = 0;
  Policy.CapReservations = 1;
  return Policy;
}

std::uint64_t mixIn(std::uint64_t Sum, std::uint64_t Word) {
  return (Sum ^ Word) * 0x9e3779b97f4a7c15ULL + (Sum >> 31);
}

} // namespace

BudgetModel::BudgetModel(const SeededMistake &Mistake)
    : Mistake(Mistake), Fleet(2, modelPolicy()) {
  this->Fleet.topUp(Budget);
  for (auto &Host : this->Fleet.Hosts)
    this->read(*Host);
  // Host 1 begins with room for two requests, host 2 for one. Their promise is
  // that a reservation is witnessed before the next.
  this->obtain(this->Fleet[1], 2);
  this->obtain(this->Fleet[2], 1);
  this->IsReady = true;
}

void BudgetModel::obtain(LedgerHost &By, std::uint64_t Times) {
  constexpr std::uint64_t FirstRequest = 90;
  std::vector<ReservationId> Made;
  for (std::uint64_t Request = 0; Request < Times; ++Request) {
    (void)this->Fleet.reserve(By, FirstRequest + Request, WorstCase);
    this->land(By, false);
    for (auto &Host : this->Fleet.Hosts)
      this->read(*Host);
    Made.push_back(
        this->Fleet.reserve(By, FirstRequest + Request, WorstCase).value());
    this->Fleet.deliverNotes(By);
  }
  for (ReservationId Id : Made)
    (void)By.Holder.release(Id, this->Fleet.Now);
  this->Fleet.deliverNotes(By);
}

bool BudgetModel::step(int Step) {
  LedgerHost &On = this->Fleet[1 + Step % 2];
  LedgerHost &Other = this->Fleet[2 - Step % 2];
  switch (Step / 2) {
  case 0:
    return this->reserve(On, 1);
  case 1:
    return this->reserve(On, 1 + On.Self.Host.Value);
  case 2:
    return this->reserve(On, 3 + On.Self.Host.Value);
  case 3:
    return this->settle(On);
  case 4:
    return this->land(On, false);
  case 5:
    return this->land(On, true);
  case 6:
    return this->read(On);
  case 7:
    return this->deliver(On);
  case 8:
    return Step % 2 == 0 ? this->die(On) : this->plan(Other);
  default:
    return Step % 2 == 0 ? this->restore(On, Other) : this->plan(On);
  }
}

bool BudgetModel::reserve(LedgerHost &On, std::uint64_t Request) {
  if (On.IsDead)
    return false;
  auto Id = this->Fleet.reserve(On, Request, WorstCase);
  if (Id)
    this->Attempts.push_back({On.Self.Host.Value, Id.value(), Request});
  return true;
}

bool BudgetModel::settle(LedgerHost &On) {
  if (On.IsDead)
    return false;
  for (auto &Present : this->Attempts) {
    if (Present.Host != On.Self.Host.Value || !Present.IsOpen)
      continue;
    Present.IsOpen = false;
    return this->Fleet.settle(On, Present.Id, WorstCase).has_value();
  }
  return false;
}

bool BudgetModel::land(LedgerHost &From, bool IsDoubled) {
  // What a host has sent may land after its death too.
  if (From.Queue.empty() || (IsDoubled && this->Doubles == MostDoubles))
    return false;
  this->Doubles += IsDoubled;
  bool IsFenced = From.IsDead;
  for (auto Record : From.Queue) {
    if (this->Mistake.OnAppend)
      this->Mistake.OnAppend(Record, IsFenced);
    this->Fleet.Log.push_back(Record);
  }
  if (!IsDoubled)
    From.Queue.clear();
  return true;
}

bool BudgetModel::read(LedgerHost &By) {
  if (By.IsDead || By.Read == this->Fleet.Log.size())
    return false;
  while (By.Read < this->Fleet.Log.size()) {
    std::size_t At = By.Read;
    this->Fleet.read(By, At + 1);
    if (!this->Mistake.AppliesTwice || !this->IsReady)
      continue;
    LedgerVerdict Again{LedgerOutcome::Accepted, {}};
    auto Body = decodeLedgerBody(this->Fleet.Log[At]);
    if (const auto *Grant = std::get_if<GrantRequest>(&Body.value()))
      Again.Grants.push_back(
          {Grant->Team, this->Fleet.Log[At].Writer, Grant->Tokens});
    By.Holder.onApplied(this->Fleet.Log[At], Again, this->Fleet.Now);
  }
  return true;
}

bool BudgetModel::plan(LedgerHost &On) {
  if (On.IsDead)
    return false;
  On.Holder.planGrants(this->Fleet.Now);
  On.WitnessRole.plan(this->Fleet.Now);
  return true;
}

bool BudgetModel::deliver(LedgerHost &From) {
  if (From.Notes.empty() || From.IsDead)
    return false;
  if (!this->Mistake.ForgetsNotes) {
    this->Fleet.deliverNotes(From);
    return true;
  }
  for (const auto &[To, Note] : From.Notes)
    From.Holder.onAcknowledged({To, Note.Reservation, Note.Kind},
                               this->Fleet.Now);
  From.Notes.clear();
  return true;
}

bool BudgetModel::die(LedgerHost &Victim) {
  if (Victim.IsDead)
    return false;
  Victim.IsDead = true;
  this->Fleet.appendAsOperator(
      IncarnationEnded{Victim.Self, EndEvidence::Operator, "model"}, 5);
  if (this->Mistake.OnEnd)
    this->Mistake.OnEnd(this->Fleet, Victim);
  return true;
}

bool BudgetModel::restore(LedgerHost &To, LedgerHost &From) {
  bool IsBehind = To.Read < From.Read;
  if (To.IsDead || this->Restores == MostRestores ||
      (!IsBehind && !this->Mistake.SkipsAfterRestore))
    return false;
  ++this->Restores;
  if (!To.Fold.restore(From.Fold.snapshot()))
    return false;
  To.Read = From.Read;
  if (this->Mistake.SkipsAfterRestore)
    To.Read = this->Fleet.Log.size();
  To.Holder.onRestored(this->Fleet.Now);
  To.WitnessRole.onRestored(this->Fleet.Now);
  return true;
}

TokenCount BudgetModel::unbilled(const LedgerHost &Of, const BudgetFold &Fold) {
  std::set<std::uint64_t> Requests;
  for (const auto &Present : this->Attempts)
    if (Present.Host == Of.Self.Host.Value &&
        !Fold.isBilled(RequestId{1, Present.Request}))
      Requests.insert(Present.Request);
  return static_cast<TokenCount>(Requests.size()) * WorstCase;
}

std::string BudgetModel::broken() {
  BudgetFold Fresh(3);
  std::map<std::uint64_t, int> Bills;
  std::vector<std::uint64_t> Digests{Fresh.digest()};
  for (std::size_t At = 0; At < this->Fleet.Log.size(); ++At) {
    const auto &Record = this->Fleet.Log[At];
    auto Outcome = Fresh.apply(Record, {Offset{At}, 0}).Outcome;
    Digests.push_back(Fresh.digest());
    auto Body = decodeLedgerBody(Record);
    const auto *Bill = std::get_if<Settle>(&Body.value());
    if (Bill && Outcome == LedgerOutcome::Accepted &&
        ++Bills[Bill->Request.Low] > 1)
      return "a request is billed twice";
  }
  if (Fresh.counters().Violations != 0 || !Fresh.verify().empty())
    return "the invariant is broken";
  if (Fresh.counters().Overdraws != 0)
    return "a settlement exceeds its slice";
  for (auto &Host : this->Fleet.Hosts) {
    if (Host->Fold.digest() != Digests[Host->Read])
      return "two readers of one log differ";
    auto Local = Host->Holder.slice(TestTeam);
    auto InFold = Host->Fold.slice(TestTeam, Host->Self);
    TokenCount Outstanding = InFold ? InFold.value().Outstanding : 0;
    TokenCount Held = Local.Available + Local.Reserved + Local.Settling +
                      Local.Returning + Local.Disputed;
    auto AtEnd = Fresh.slice(TestTeam, Host->Self);
    TokenCount Covered = AtEnd ? AtEnd.value().Outstanding : 0;
    if (this->unbilled(*Host, Fresh) > Covered)
      return "tokens that may be spent are given out again";
    if (!Host->IsDead && !Host->Holder.isFenced() && Held != Outstanding)
      return "a holder and the fold differ";
  }
  return {};
}

std::uint64_t BudgetModel::digest() {
  std::uint64_t Sum = this->Doubles * 2 + this->Restores;
  for (const auto &Record : this->Fleet.Log)
    Sum =
        mixIn(Sum, hash64(Record.Body, Record.Kind + Record.Writer.Host.Value));
  for (const auto &Present : this->Attempts)
    Sum = mixIn(Sum, Present.Host * 100 + Present.Request * 2 + Present.IsOpen);
  for (auto &Host : this->Fleet.Hosts) {
    auto Local = Host->Holder.slice(TestTeam);
    Sum = mixIn(Sum, Host->Read * 4 + Host->IsDead);
    Sum = mixIn(Sum, Local.Available);
    Sum = mixIn(Sum, Local.Unwitnessed);
    Sum = mixIn(Sum, Host->WitnessRole.noteCount() * 64 + Host->Notes.size());
    for (const auto &Record : Host->Queue)
      Sum = mixIn(Sum, hash64(Record.Body, Record.Kind));
    for (const auto &[To, Note] : Host->Notes)
      Sum = mixIn(Sum, Note.Reservation.Value * 4 +
                           static_cast<std::uint64_t>(Note.Kind));
  }
  return Sum;
}

} // namespace bergamothook

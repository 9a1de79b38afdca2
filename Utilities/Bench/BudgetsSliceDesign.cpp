#include "BudgetsDesign.h"

#include "LibLedger/SettlementWitness.h"
#include "LibLedger/SliceHolder.h"

#include <deque>
#include <unordered_set>

namespace bergamothook::budgets {

namespace {

constexpr Duration BatchInterval = std::chrono::milliseconds(50);
constexpr Duration BackOff = std::chrono::seconds(2);
constexpr Duration ReadBackTimeout = std::chrono::seconds(3);
constexpr Duration PlanInterval = std::chrono::milliseconds(50);
constexpr std::size_t EntriesPerRead = 256;
const std::string Stream = "ledger-0";

/// The queue of one host to the log: batches, and repeats until read back.
struct Queue {
  void tick(World &In) {
    if (In.Now < this->NextBatch)
      return;
    this->NextBatch = In.Now + BatchInterval;
    while (!this->Sent.empty() && this->Sent.front().second <= In.Now) {
      this->Waiting.push_front(std::move(this->Sent.front().first));
      this->Sent.pop_front();
    }
    std::vector<StreamRecord> Batch;
    for (auto &Record : this->Waiting)
      if (!this->Landed.contains(Record.Id))
        Batch.push_back(std::move(Record));
    this->Waiting.clear();
    if (Batch.empty())
      return;
    auto At = In.Log.append(Stream, encodeBatch(Batch), In.Now);
    bool HasNoEffect = !At && provesNoEffect(At.error());
    if (HasNoEffect)
      this->NextBatch = In.Now + BackOff;
    for (auto &Record : Batch) {
      if (HasNoEffect)
        this->Waiting.push_back(std::move(Record));
      else
        this->Sent.emplace_back(std::move(Record), In.Now + ReadBackTimeout);
    }
  }

  std::deque<StreamRecord> Waiting;
  std::deque<std::pair<StreamRecord, TimePoint>> Sent;
  std::unordered_set<RecordId> Landed;
  TimePoint NextBatch{};
};

/// The process of one host.
struct Process {
  Process(Incarnation Self, SlicePolicy Policy, SliceHolderHooks Hooks,
          std::uint64_t Seed)
      : Self(Self), Holder(Self, this->Fold, Policy, this->wire(Hooks), Seed),
        Witness(
            Self, this->Fold, {},
            [this](StreamRecord Record) -> Result<void> {
              this->Out.Waiting.push_back(std::move(Record));
              return success();
            },
            Seed + 1) {}

  SliceHolderHooks wire(SliceHolderHooks Hooks) {
    Hooks.Append = [this](StreamRecord Record) -> Result<void> {
      this->Out.Waiting.push_back(std::move(Record));
      return success();
    };
    return Hooks;
  }

  Incarnation Self;
  BudgetFold Fold;
  SliceHolder Holder;
  SettlementWitness Witness;
  Queue Out;
  Offset Next;
  TimePoint NextPlan{};
};

struct NoteOnWay {
  std::size_t From;
  Incarnation To;
  SettlementNote Note;
};

class SliceFleet {
public:
  SliceFleet(World &In, SlicePolicy Policy, std::uint64_t Seed)
      : In(In), Policy(Policy), Seed(Seed), Processes(In.hostCount()) {
    for (std::size_t Host = 0; Host < In.hostCount(); ++Host)
      this->start(Host, 1);
  }

  void start(std::size_t Host, std::uint64_t Run) {
    Incarnation Self{HostId{Host}, Run};
    SliceHolderHooks Hooks;
    Hooks.SendNote = [this, Host](Incarnation To, const SettlementNote &Note) {
      this->Notes.push_back({Host, To, Note});
    };
    Hooks.ChooseWitness = [this, Host](Incarnation Present) {
      return this->chooseWitness(Host, Present, false);
    };
    Hooks.ChooseSecondWitness = [this, Host](Incarnation Present) {
      return this->chooseWitness(Host, Present, true);
    };
    this->Processes[Host] = std::make_unique<Process>(
        Self, this->Policy, Hooks, this->Seed + Host + Run * 1000);
  }

  /// A live peer that can be reached, in the same failure domain or not. Host N
  /// is in the failure domain N modulo 3.
  Incarnation chooseWitness(std::size_t Host, Incarnation Present,
                            bool IsSameDomain) const {
    Incarnation First = this->Processes[Host]->Self;
    for (std::size_t Step = 1; Step < this->Processes.size(); ++Step) {
      std::size_t Peer = (Host + Step) % this->Processes.size();
      if (!this->In.canWork(Peer) || (Peer % 3 == Host % 3) != IsSameDomain ||
          this->In.IsCut[Peer] != this->In.IsCut[Host])
        continue;
      if (this->Processes[Peer]->Self == Present)
        return Present;
      if (First == this->Processes[Host]->Self)
        First = this->Processes[Peer]->Self;
    }
    return First;
  }

  void revive(std::size_t Host) {
    Incarnation Old = this->Processes[Host]->Self;
    this->start(Host, Old.Run + 1);
    Process &Fresh = *this->Processes[Host];
    // The state comes from a peer; the log gives what follows.
    for (auto &Peer : this->Processes) {
      if (Peer->Fold.position() <= Fresh.Fold.position())
        continue;
      Fresh.Fold = Peer->Fold;
      Fresh.Next = Peer->Next;
    }
    for (TeamId Team : Fresh.Fold.teams())
      Fresh.Holder.warm(Team);
    IncarnationEnded Body{Old, EndEvidence::Successor, {}};
    RecordId Id{hash64("end", Host), Old.Run};
    Fresh.Out.Waiting.push_back(makeLedgerRecord(Id, Fresh.Self, Body));
  }

  void topUp(TeamId Team, TokenCount Tokens) {
    RecordId Id{hash64("top-up"), ++this->TopUps};
    LedgerEpoch Epoch = this->Processes[0]->Fold.epoch();
    this->Operator.Waiting.push_back(makeLedgerRecord(
        Id, {HostId{~0ULL}, 1}, TopUp{Team, Tokens, Epoch, {}}));
  }

  void read(std::size_t Host) {
    Process &Present = *this->Processes[Host];
    auto Page =
        this->In.Log.read(Stream, Present.Next, EntriesPerRead, this->In.Now);
    if (!Page)
      return;
    for (const auto &Entry : Page.value().Entries) {
      Present.Next = Offset{Entry.At.Value + 1};
      RecordPosition At{Entry.At, 0};
      auto Records = decodeBatch(Entry.Payload);
      for (const auto &Record : Records.value())
        this->apply(Present, Record, {At.At, At.Index++});
    }
  }

  void apply(Process &To, const StreamRecord &Record, RecordPosition At) {
    auto Body = decodeLedgerBody(Record);
    const auto &Verdict =
        To.Fold.apply(Body.value(), Record.Id, Record.Writer, At);
    To.Holder.onApplied(Body.value(), Record.Writer, Verdict, this->In.Now);
    To.Witness.onApplied(Body.value(), Verdict, this->In.Now);
    To.Out.Landed.insert(Record.Id);
    this->Operator.Landed.insert(Record.Id);
    if (std::holds_alternative<TopUp>(Body.value()))
      To.Holder.warm(std::get<TopUp>(Body.value()).Team);
  }

  void deliverNotes() {
    auto OnWay = std::move(this->Notes);
    this->Notes.clear();
    for (const auto &Note : OnWay) {
      std::size_t To = Note.To.Host.Value;
      Process &Target = *this->Processes[To];
      Process &From = *this->Processes[Note.From];
      bool IsJoined = this->In.canWork(To) && Target.Self == Note.To &&
                      this->In.IsCut[To] == this->In.IsCut[Note.From] &&
                      From.Self == Note.Note.Holder;
      if (!IsJoined)
        continue;
      if (auto Held = Target.Witness.onNote(Note.Note))
        From.Holder.onAcknowledged(Held.value(), this->In.Now);
    }
  }

  void tick() {
    this->Operator.tick(this->In);
    this->deliverNotes();
    for (std::size_t Host = 0; Host < this->Processes.size(); ++Host) {
      if (!this->In.canWork(Host))
        continue;
      Process &Present = *this->Processes[Host];
      if (!this->In.IsCut[Host]) {
        this->read(Host);
        Present.Out.tick(this->In);
      }
      if (this->In.Now < Present.NextPlan)
        continue;
      Present.NextPlan = this->In.Now + PlanInterval;
      Present.Holder.planGrants(this->In.Now);
      Present.Witness.plan(this->In.Now);
    }
  }

  /// The fold that has read most.
  const BudgetFold &best() const {
    const BudgetFold *Best = &this->Processes[0]->Fold;
    for (const auto &Present : this->Processes)
      if (Present->Fold.position() > Best->position())
        Best = &Present->Fold;
    return *Best;
  }

  TokenCount stranded() const {
    TokenCount Sum = 0;
    for (TeamId Team : this->best().teams())
      Sum += this->best().view(Team).value().Stranded;
    return Sum;
  }

  std::uint64_t violations() const {
    const auto &Counters = this->best().counters();
    return Counters.Violations + Counters.Overdraws +
           this->best().verify().size();
  }

  World &In;
  SlicePolicy Policy;
  std::uint64_t Seed;
  std::vector<std::unique_ptr<Process>> Processes;
  std::vector<NoteOnWay> Notes;
  Queue Operator;
  std::uint64_t TopUps = 0;
};

Answer answerOf(std::error_code Failure) {
  bool MayCome = Failure == LedgerError::SliceNotInHand ||
                 Failure == LedgerError::WitnessBehind ||
                 Failure == LedgerError::UnknownTeam ||
                 Failure == LedgerError::AlreadyReserved;
  return MayCome ? Answer::Wait : Answer::Refused;
}

} // namespace

Design makeSliceDesign(World &In, SlicePolicy Policy, std::uint64_t Seed) {
  auto Fleet = std::make_shared<SliceFleet>(In, Policy, Seed);
  Design Made;
  Made.Reserve = [Fleet](std::size_t Host, TeamId Team, RequestId Request,
                         std::uint32_t Attempt, TokenCount Tokens) {
    auto Id = Fleet->Processes[Host]->Holder.reserve(
        Team, Request, AttemptNumber{Attempt}, Tokens, Fleet->In.Now);
    if (Id)
      return Reservation{Answer::Reserved, Id.value().Value};
    return Reservation{answerOf(Id.error()), 0};
  };
  Made.Settle = [Fleet](std::size_t Host, std::uint64_t Handle,
                        TokenCount Tokens) {
    (void)Fleet->Processes[Host]->Holder.settle(ReservationId{Handle}, Tokens,
                                                Fleet->In.Now);
  };
  Made.TopUp = [Fleet](TeamId Team, TokenCount Tokens) {
    Fleet->topUp(Team, Tokens);
  };
  Made.Kill = [](std::size_t) {};
  Made.Revive = [Fleet](std::size_t Host) { Fleet->revive(Host); };
  Made.Tick = [Fleet] { Fleet->tick(); };
  Made.Stranded = [Fleet] { return Fleet->stranded(); };
  Made.Billed = [Fleet](TeamId Team) {
    auto View = Fleet->best().view(Team);
    return View ? View.value().Settled : TokenCount{0};
  };
  Made.Violations = [Fleet] { return Fleet->violations(); };
  return Made;
}

} // namespace bergamothook::budgets

#include "OrderModel.h"

#include <algorithm>
#include <deque>

namespace bergamothook {

namespace {

constexpr RequestId Order{1, 1};
constexpr std::int64_t Noon = 1'780'000'000'000;

enum class Phase : char { Idle, Claiming, Dispatched };

/// One process: how far it has read, what it holds, what it has yet to append.
struct Process {
  std::size_t Read = 0;
  Phase Present = Phase::Idle;
  std::uint64_t Claim = 0;
  std::size_t Claims = 0;
  bool HasAnswered = false;
};

struct State {
  std::vector<StreamRecord> Log;
  /// Records appended by processes and not landed yet. They land in any order.
  std::vector<StreamRecord> Pending;
  std::vector<Process> Processes;
  std::size_t Claims = 0;
  std::size_t Releases = 0;
  std::size_t Ends = 0;
  std::size_t Copies = 0;
  std::uint32_t Runs = 0;
  std::vector<std::string> Path;
};

Incarnation incarnationOf(std::size_t At) { return {HostId{At + 1}, 1}; }

std::string keyOf(const State &Present) {
  std::string Key = std::to_string(Present.Runs) + "," +
                    std::to_string(Present.Ends) + "," +
                    std::to_string(Present.Copies);
  auto AddRecords = [&](const std::vector<StreamRecord> &Records) {
    Key += "|";
    for (const auto &Record : Records)
      Key += std::to_string(Record.Id.Low) + "." + std::to_string(Record.Kind) +
             " ";
  };
  AddRecords(Present.Log);
  AddRecords(Present.Pending);
  for (const auto &Each : Present.Processes)
    Key += "/" + std::to_string(Each.Read) + "," +
           std::to_string(static_cast<int>(Each.Present)) + "," +
           std::to_string(Each.Claim) + "," + std::to_string(Each.Claims) +
           "," + std::to_string(Each.HasAnswered);
  return Key;
}

/// The fold of a process: the project's own, over what it has read.
OrderFold foldOf(const State &Present, const Process &Reader) {
  OrderFold Fold({});
  for (std::size_t At = 0; At < Reader.Read; ++At)
    (void)Fold.apply(Present.Log[At], {Offset{At}, 0});
  return Fold;
}

class Explorer {
public:
  Explorer(const ModelBounds &Bounds, SeededMistake Mistake)
      : Bounds(Bounds), Mistake(Mistake) {}

  ModelResult run() {
    State First;
    First.Processes.resize(this->Bounds.Processes);
    this->add(First);
    while (!this->Waiting.empty() && this->Found.Counterexample.empty()) {
      State Next = std::move(this->Waiting.front());
      this->Waiting.pop_front();
      this->expand(Next);
    }
    this->Found.States = this->Seen.size();
    return this->Found;
  }

private:
  void add(State Next) {
    // Pending records land in any order, so their order tells no states apart.
    std::sort(Next.Pending.begin(), Next.Pending.end(),
              [](const StreamRecord &A, const StreamRecord &B) {
                return A.Id < B.Id;
              });
    if (!this->Seen.insert(keyOf(Next)).second)
      return;
    if (Next.Runs > 1 && this->Found.Counterexample.empty())
      this->Found.Counterexample = Next.Path;
    this->Waiting.push_back(std::move(Next));
  }

  State after(const State &From, const std::string &What) {
    State Next = From;
    Next.Path.push_back(What);
    return Next;
  }

  /// A process that dies or is paused is one that takes no further step, so
  /// the schedules where it takes none cover both.
  void expand(const State &From) {
    this->land(From);
    for (std::size_t At = 0; At < From.Processes.size(); ++At) {
      this->read(From, At);
      this->claim(From, At);
      this->dispatch(From, At);
      this->release(From, At);
      this->answer(From, At);
      this->declareEnd(From, At);
    }
  }

  /// A pending record lands, or a copy of it does while it stays pending.
  void land(const State &From) {
    for (std::size_t At = 0; At < From.Pending.size(); ++At) {
      State Next = this->after(From, "land " + nameOfRecord(From.Pending[At]));
      Next.Log.push_back(From.Pending[At]);
      if (From.Copies < this->Bounds.Copies) {
        State Copied = Next;
        ++Copied.Copies;
        this->add(Copied);
      }
      Next.Pending.erase(Next.Pending.begin() +
                         static_cast<std::ptrdiff_t>(At));
      this->add(Next);
    }
  }

  static std::string nameOfRecord(const StreamRecord &Record) {
    return "kind " + std::to_string(Record.Kind) + " of process " +
           std::to_string(Record.Writer.Host.Value);
  }

  void read(const State &From, std::size_t At) {
    if (From.Processes[At].Read == From.Log.size())
      return;
    State Next = this->after(From, "read " + std::to_string(At + 1));
    ++Next.Processes[At].Read;
    this->add(Next);
  }

  bool seesFreeKey(const OrderFold &Fold) const {
    const OrderEntry *Entry = Fold.find(Order);
    if (Entry == nullptr || Entry->State == OrderState::Released)
      return true;
    return this->Mistake == SeededMistake::TakeOverEnded &&
           Entry->HasClaimantEnded;
  }

  void claim(const State &From, std::size_t At) {
    const Process &Actor = From.Processes[At];
    if (Actor.Present != Phase::Idle || From.Claims >= this->Bounds.Claims ||
        !this->seesFreeKey(foldOf(From, Actor)))
      return;
    State Next = this->after(From, "claim " + std::to_string(At + 1));
    Process &Changed = Next.Processes[At];
    ++Changed.Claims;
    ++Next.Claims;
    Changed.Present = Phase::Claiming;
    Changed.Claim = (At + 1) * 10 + Changed.Claims;
    OrderClaim Claim;
    Claim.Request = Order;
    Claim.WrittenAt = Noon;
    Next.Pending.push_back(makeOrderRecord(
        {0, Changed.Claim}, incarnationOf(At), OrderRecordKind::Claim, Claim));
    this->add(Next);
  }

  bool mayDispatch(const State &From, const Process &Actor) const {
    OrderFold Fold = foldOf(From, Actor);
    const OrderEntry *Entry = Fold.find(Order);
    switch (this->Mistake) {
    case SeededMistake::DispatchUnread:
      return Entry == nullptr || Fold.isWinner(Order, {0, Actor.Claim});
    case SeededMistake::IgnoreWinner:
      return Entry != nullptr && Entry->State == OrderState::Claimed;
    case SeededMistake::TakeOverEnded:
      return Fold.isWinner(Order, {0, Actor.Claim}) ||
             (Entry != nullptr && Entry->HasClaimantEnded);
    default:
      return Fold.isWinner(Order, {0, Actor.Claim});
    }
  }

  void dispatch(const State &From, std::size_t At) {
    const Process &Actor = From.Processes[At];
    if (Actor.Present != Phase::Claiming || !this->mayDispatch(From, Actor))
      return;
    State Next = this->after(From, "dispatch " + std::to_string(At + 1));
    Next.Processes[At].Present = Phase::Dispatched;
    ++Next.Runs;
    this->add(Next);
  }

  /// A process gives its claim up, at any time before it dispatches.
  void release(const State &From, std::size_t At) {
    const Process &Actor = From.Processes[At];
    bool IsMistaken = this->Mistake == SeededMistake::ReleaseAfterDispatch &&
                      Actor.Present == Phase::Dispatched;
    if (From.Releases >= this->Bounds.Releases ||
        (Actor.Present != Phase::Claiming && !IsMistaken))
      return;
    State Next = this->after(From, "release " + std::to_string(At + 1));
    ++Next.Releases;
    Next.Processes[At].Present = Phase::Idle;
    Next.Pending.push_back(makeOrderRecord(
        {1, Actor.Claim}, incarnationOf(At), OrderRecordKind::NotRun,
        OrderNotRun{Order, {0, Actor.Claim}}));
    this->add(Next);
  }

  void answer(const State &From, std::size_t At) {
    const Process &Actor = From.Processes[At];
    if (Actor.Present != Phase::Dispatched || Actor.HasAnswered)
      return;
    State Next = this->after(From, "answer " + std::to_string(At + 1));
    Next.Processes[At].HasAnswered = true;
    OrderResult Answer;
    Answer.Request = Order;
    Answer.Claim = {0, Actor.Claim};
    Next.Pending.push_back(makeOrderRecord({2, Actor.Claim}, incarnationOf(At),
                                           OrderRecordKind::Result, Answer));
    this->add(Next);
  }

  /// Another process is declared ended, although it may only be paused.
  void declareEnd(const State &From, std::size_t At) {
    if (From.Ends >= this->Bounds.EndsDeclared)
      return;
    for (std::size_t Other = 0; Other < From.Processes.size(); ++Other) {
      if (Other == At)
        continue;
      State Next =
          this->after(From, "declare the end of " + std::to_string(Other + 1));
      ++Next.Ends;
      Next.Pending.push_back(makeOrderRecord(
          {3, Other + 1}, incarnationOf(At), OrderRecordKind::IncarnationEnded,
          OrderIncarnationEnded{incarnationOf(Other)}));
      this->add(Next);
    }
  }

  ModelBounds Bounds;
  SeededMistake Mistake;
  std::set<std::string> Seen;
  std::deque<State> Waiting;
  ModelResult Found;
};

} // namespace

ModelResult exploreOrders(const ModelBounds &Bounds, SeededMistake Mistake) {
  return Explorer(Bounds, Mistake).run();
}

} // namespace bergamothook

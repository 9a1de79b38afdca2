#include "LibReplay/FakeEngine.h"

#include <algorithm>

namespace bergamothook {

namespace {
constexpr Duration TimeToFirstToken = std::chrono::milliseconds(50);
constexpr Duration TimePerToken = std::chrono::milliseconds(10);
constexpr Duration TimeToCrash = std::chrono::milliseconds(120);
constexpr Duration CrashDowntime = std::chrono::seconds(3);
constexpr std::uint32_t TokensPerChunk = 4;
} // namespace

std::string textOfTokens(const std::string &Prompt, std::uint32_t First,
                         std::uint32_t End) {
  std::string Text;
  for (std::uint32_t Token = First; Token < End; ++Token)
    Text += static_cast<char>('a' + hash64(Prompt, Token) % 26);
  return Text;
}

FakeEngine::FakeEngine(TargetId Id, Runtime Base, StepHook Reach)
    : FakeTarget(Id, std::move(Base), std::move(Reach)) {}

FakeEngine::Generation &FakeEngine::start(const GenerationRequest &Order) {
  auto Known = this->Generations.find(Order.Request);
  if (Known != this->Generations.end() && !Known->second.CancelledAt)
    return Known->second;
  ++this->Ledger[Order.Request].Dispatches;
  ++this->Ledger[Order.Request].Runs;
  Generation &Made = this->Generations[Order.Request];
  Made = Generation{};
  Made.Tokens = Order.MaxTokens;
  Made.PromptTokens = static_cast<std::uint32_t>(Order.Prompt.size());
  Made.FirstTokenAt = this->Base.Now() + TimeToFirstToken;
  Made.ResumedFrom = Order.ResumeAfterTokens;
  if (Order.Prompt.starts_with(PoisonWord))
    this->Base.Spawn([this, Link = this->connect()] {
      this->Base.sleepUntil(this->Base.Now() + TimeToCrash);
      if (!this->isLost(Link))
        this->crash(CrashDowntime);
    });
  return Made;
}

Result<EngineStream> FakeEngine::open(HostGate &Gate,
                                      const GenerationRequest &Order,
                                      TimePoint Deadline) {
  (void)Deadline;
  this->Reach(Step::Connect, Order.Request, Gate);
  Gate.pass();
  if (this->isDown() || Gate.isCut())
    return TargetError::ConnectFailed;
  if (this->isRefusing())
    return TargetError::Refused;
  this->start(Order);
  Line &Open = this->Lines.emplace_back(
      Line{this->connect(), Order, Order.ResumeAfterTokens, false, {}});
  this->Reach(Step::Sent, Order.Request, Gate);
  Gate.pass();
  EngineStream Stream;
  Stream.Next = [this, &Gate, &Open](TimePoint Limit) {
    return this->next(Gate, Open, Limit);
  };
  return Stream;
}

Result<void> FakeEngine::waitForPiece(HostGate &Gate, Line &Open,
                                      TimePoint Deadline) {
  Runtime Waiting = Gate.hooks();
  RequestId Request = Open.Order.Request;
  for (;;) {
    Gate.pass();
    auto Known = this->Generations.find(Request);
    if (this->isLost(Open.Link) || Known == this->Generations.end() ||
        Known->second.CancelledAt)
      return TargetError::ConnectionLost;
    const Generation &Made = Known->second;
    std::uint32_t End = std::min(Open.Next + TokensPerChunk, Made.Tokens);
    std::uint32_t Fresh = End - std::min(Made.ResumedFrom, End);
    TimePoint Due = Made.FirstTokenAt + TimePerToken * Fresh + this->delay();
    bool IsCut = this->isSilent(Open.Link) || Gate.isCut();
    TimePoint Now = this->Base.Now();
    if (!IsCut && Now >= Due)
      return success();
    if (Now >= Deadline)
      return TargetError::TimedOut;
    TimePoint Wake = IsCut ? Deadline : std::min(Due, Deadline);
    Waiting.WaitOn(this->Changed, this->Changed.generation(), Wake);
  }
}

Result<StreamChunk> FakeEngine::next(HostGate &Gate, Line &Open,
                                     TimePoint Deadline) {
  if (!Open.Scrambled.empty()) {
    StreamChunk Piece = Open.Scrambled.front();
    Open.Scrambled.pop_front();
    return Piece;
  }
  BOOST_OUTCOME_TRYV(this->waitForPiece(Gate, Open, Deadline));
  Step Reached = Step::MidStream;
  if (!Open.HasSentFirst)
    Reached = Step::FirstChunk;
  else if (Open.Next + TokensPerChunk >=
           this->Generations[Open.Order.Request].Tokens)
    Reached = Step::End;
  Open.HasSentFirst = true;
  this->Reach(Reached, Open.Order.Request, Gate);
  // The fault that struck here may have taken the connection.
  BOOST_OUTCOME_TRYV(this->waitForPiece(Gate, Open, Deadline));
  StreamChunk Piece = this->takePiece(Open);
  if (!this->IsScrambling)
    return Piece;
  this->scramblePiece(Open, Piece);
  return this->next(Gate, Open, Deadline);
}

StreamChunk FakeEngine::takePiece(Line &Open) {
  const Generation &Made = this->Generations[Open.Order.Request];
  std::uint32_t End = std::min(Open.Next + TokensPerChunk, Made.Tokens);
  StreamChunk Piece;
  Piece.Request = Open.Order.Request;
  Piece.Attempt = Open.Order.Attempt;
  Piece.FirstToken = Open.Next;
  Piece.Tokens = End - Open.Next;
  Piece.Text = textOfTokens(Open.Order.Prompt, Open.Next, End);
  Piece.IsLast = End == Made.Tokens;
  Piece.Counted = this->count(Made);
  Open.Next = End;
  return Piece;
}

void FakeEngine::scramblePiece(Line &Open, const StreamChunk &Piece) {
  StreamChunk Stale = Piece;
  Stale.Attempt = AttemptNumber{Piece.Attempt.Value + 100};
  Stale.Text = "wrong";
  Open.Scrambled.push_back(Stale);
  // The piece after this one overtakes it, and this one comes twice.
  if (!Piece.IsLast)
    Open.Scrambled.push_back(this->takePiece(Open));
  Open.Scrambled.push_back(Piece);
  Open.Scrambled.push_back(Piece);
}

Usage FakeEngine::count(const Generation &Known) const {
  TimePoint Now = Known.CancelledAt.value_or(this->Base.Now());
  std::uint32_t Generated = Known.ResumedFrom;
  if (Now > Known.FirstTokenAt)
    Generated +=
        static_cast<std::uint32_t>((Now - Known.FirstTokenAt) / TimePerToken);
  return {Known.PromptTokens, 0, std::min(Generated, Known.Tokens)};
}

Result<StreamStatus> FakeEngine::statusOf(HostGate &Gate, RequestId Request) {
  Gate.pass();
  if (this->isDown() || Gate.isCut())
    return TargetError::ConnectFailed;
  auto Known = this->Generations.find(Request);
  if (Known == this->Generations.end())
    return TargetError::UnknownStream;
  const Generation &Made = Known->second;
  Usage Counted = this->count(Made);
  bool IsRunning = !Made.CancelledAt && Counted.GeneratedTokens < Made.Tokens;
  return StreamStatus{IsRunning, Counted};
}

Result<StreamStatus> FakeEngine::probe(HostGate &Gate, RequestId Request) {
  return this->statusOf(Gate, Request);
}

Result<StreamStatus> FakeEngine::cancel(HostGate &Gate, RequestId Request) {
  BOOST_OUTCOME_TRY(Status, this->statusOf(Gate, Request));
  Generation &Made = this->Generations[Request];
  if (!Made.CancelledAt)
    Made.CancelledAt = this->Base.Now();
  this->Changed.notify();
  return Status;
}

} // namespace bergamothook

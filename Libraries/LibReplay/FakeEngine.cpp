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

std::string generatedText(const std::string &Prompt, std::uint32_t First,
                          std::uint32_t End) {
  std::string Text;
  for (std::uint32_t Token = First; Token < End; ++Token)
    Text += static_cast<char>('a' + hash64(Prompt, Token) % 26);
  return Text;
}

FakeEngine::FakeEngine(TargetId Id, Runtime Base, StepHook OnStep)
    : FakeTarget(Id, std::move(Base), std::move(OnStep)) {}

FakeEngine::GenerationState &
FakeEngine::start(const GenerationRequest &Generation) {
  auto Found = this->Generations.find(Generation.Request);
  if (Found != this->Generations.end() && !Found->second.CancelledAt)
    return Found->second;
  ++this->Ledger[Generation.Request].Dispatches;
  ++this->Ledger[Generation.Request].Runs;
  GenerationState &State = this->Generations[Generation.Request];
  State = GenerationState{};
  State.Tokens = Generation.MaxTokens;
  State.PromptTokens = static_cast<std::uint32_t>(Generation.Prompt.size());
  State.FirstTokenAt = this->Base.Now() + TimeToFirstToken;
  State.ResumedFrom = Generation.ResumeAfterTokens;
  if (Generation.Prompt.starts_with(PoisonPrefix))
    this->Base.Spawn([this, Link = this->connect()] {
      this->Base.sleepUntil(this->Base.Now() + TimeToCrash);
      if (!this->isLost(Link))
        this->crash(CrashDowntime);
    });
  return State;
}

Result<EngineStream> FakeEngine::open(SimulatedProcess &Process,
                                      const GenerationRequest &Generation,
                                      TimePoint Deadline) {
  (void)Deadline;
  this->OnStep(Step::Connect, Generation.Request, Process);
  Process.waitUntilRunning();
  if (this->isDown() || Process.isPartitioned())
    return TargetError::ConnectFailed;
  if (this->isRefusing())
    return TargetError::Refused;
  this->start(Generation);
  OpenStream &Opened = this->OpenStreams.emplace_back(OpenStream{
      this->connect(), Generation, Generation.ResumeAfterTokens, false, {}});
  this->OnStep(Step::Sent, Generation.Request, Process);
  Process.waitUntilRunning();
  EngineStream Stream;
  Stream.Next = [this, &Process, &Opened](TimePoint NextDeadline) {
    return this->next(Process, Opened, NextDeadline);
  };
  return Stream;
}

Result<void> FakeEngine::waitForChunk(SimulatedProcess &Process,
                                      OpenStream &Stream, TimePoint Deadline) {
  Runtime Tasks = Process.hooks();
  RequestId Request = Stream.Generation.Request;
  for (;;) {
    Process.waitUntilRunning();
    auto Found = this->Generations.find(Request);
    if (this->isLost(Stream.Link) || Found == this->Generations.end() ||
        Found->second.CancelledAt)
      return TargetError::ConnectionLost;
    const GenerationState &State = Found->second;
    std::uint32_t End = std::min(Stream.Next + TokensPerChunk, State.Tokens);
    std::uint32_t NewTokens = End - std::min(State.ResumedFrom, End);
    TimePoint Due =
        State.FirstTokenAt + TimePerToken * NewTokens + this->delay();
    bool IsUnreachable =
        this->isStalled(Stream.Link) || Process.isPartitioned();
    TimePoint Now = this->Base.Now();
    if (!IsUnreachable && Now >= Due)
      return success();
    if (Now >= Deadline)
      return TargetError::TimedOut;
    TimePoint Wake = IsUnreachable ? Deadline : std::min(Due, Deadline);
    Tasks.WaitOn(this->Changed, this->Changed.generation(), Wake);
  }
}

Result<StreamChunk> FakeEngine::next(SimulatedProcess &Process,
                                     OpenStream &Stream, TimePoint Deadline) {
  if (!Stream.QueuedChunks.empty()) {
    StreamChunk Chunk = Stream.QueuedChunks.front();
    Stream.QueuedChunks.pop_front();
    return Chunk;
  }
  BOOST_OUTCOME_TRYV(this->waitForChunk(Process, Stream, Deadline));
  Step Reached = Step::MidStream;
  if (!Stream.HasSentFirst)
    Reached = Step::FirstChunk;
  else if (Stream.Next + TokensPerChunk >=
           this->Generations[Stream.Generation.Request].Tokens)
    Reached = Step::End;
  Stream.HasSentFirst = true;
  this->OnStep(Reached, Stream.Generation.Request, Process);
  // A fault injected at this step may have closed the connection.
  BOOST_OUTCOME_TRYV(this->waitForChunk(Process, Stream, Deadline));
  StreamChunk Chunk = this->takeChunk(Stream);
  if (!this->ReordersChunks)
    return Chunk;
  this->queueReordered(Stream, Chunk);
  return this->next(Process, Stream, Deadline);
}

StreamChunk FakeEngine::takeChunk(OpenStream &Stream) {
  const GenerationState &State = this->Generations[Stream.Generation.Request];
  std::uint32_t End = std::min(Stream.Next + TokensPerChunk, State.Tokens);
  StreamChunk Chunk;
  Chunk.Request = Stream.Generation.Request;
  Chunk.Attempt = Stream.Generation.Attempt;
  Chunk.FirstToken = Stream.Next;
  Chunk.Tokens = End - Stream.Next;
  Chunk.Text = generatedText(Stream.Generation.Prompt, Stream.Next, End);
  Chunk.IsLast = End == State.Tokens;
  Chunk.Counted = this->countUsage(State);
  Stream.Next = End;
  return Chunk;
}

void FakeEngine::queueReordered(OpenStream &Stream, const StreamChunk &Chunk) {
  StreamChunk Stale = Chunk;
  Stale.Attempt = AttemptNumber{Chunk.Attempt.Value + 100};
  Stale.Text = "wrong";
  Stream.QueuedChunks.push_back(Stale);
  // The next chunk is sent before this one, and this one is sent twice.
  if (!Chunk.IsLast)
    Stream.QueuedChunks.push_back(this->takeChunk(Stream));
  Stream.QueuedChunks.push_back(Chunk);
  Stream.QueuedChunks.push_back(Chunk);
}

Usage FakeEngine::countUsage(const GenerationState &State) const {
  TimePoint Now = State.CancelledAt.value_or(this->Base.Now());
  std::uint32_t Generated = State.ResumedFrom;
  if (Now > State.FirstTokenAt)
    Generated +=
        static_cast<std::uint32_t>((Now - State.FirstTokenAt) / TimePerToken);
  return {State.PromptTokens, 0, std::min(Generated, State.Tokens)};
}

Result<StreamStatus> FakeEngine::statusOf(SimulatedProcess &Process,
                                          RequestId Request) {
  Process.waitUntilRunning();
  if (this->isDown() || Process.isPartitioned())
    return TargetError::ConnectFailed;
  auto Found = this->Generations.find(Request);
  if (Found == this->Generations.end())
    return TargetError::UnknownStream;
  const GenerationState &State = Found->second;
  Usage Counted = this->countUsage(State);
  bool IsRunning = !State.CancelledAt && Counted.GeneratedTokens < State.Tokens;
  return StreamStatus{IsRunning, Counted};
}

Result<StreamStatus> FakeEngine::probe(SimulatedProcess &Process,
                                       RequestId Request) {
  return this->statusOf(Process, Request);
}

Result<StreamStatus> FakeEngine::cancel(SimulatedProcess &Process,
                                        RequestId Request) {
  BOOST_OUTCOME_TRY(Status, this->statusOf(Process, Request));
  GenerationState &State = this->Generations[Request];
  if (!State.CancelledAt)
    State.CancelledAt = this->Base.Now();
  this->Changed.notify();
  return Status;
}

} // namespace bergamothook

#include "LibStandin/EngineModel.h"

#include "LibTarget/TargetError.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr std::size_t MaxEndedStreams = 1000;

std::string variantName(const EngineCommand &Command) {
  if (Command.Adapter.empty() && Command.Version.empty())
    return Command.Model;
  return Command.Model + "/" + Command.Adapter + "@" + Command.Version;
}

EngineModelEvent makeEvent(const EngineModelRequest &Request, TimePoint At) {
  EngineModelEvent Event;
  Event.At = At;
  Event.Request = Request.Request;
  Event.Attempt = Request.Attempt;
  return Event;
}

Duration scale(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

} // namespace

EngineModel::EngineModel(EngineModelSettings Settings, std::uint64_t Seed)
    : Settings(std::move(Settings)),
      Cache(this->Settings.CacheBlocks, this->Settings.CacheEventDelay,
            this->Settings.CacheEventLoss, Seed),
      Models(this->Settings.Models) {}

void EngineModel::advance(TimePoint Now) {
  this->finishLoads(Now);
  while (this->StepEnd && *this->StepEnd <= Now) {
    TimePoint At = *this->StepEnd;
    this->StepEnd.reset();
    this->finishStep(At);
    this->startStep(At);
    this->recordLoad(At);
  }
}

std::optional<TimePoint> EngineModel::nextEvent() const {
  std::optional<TimePoint> Next = this->StepEnd;
  for (const auto &[Model, ReadyAt] : this->Loading)
    if (!Next || ReadyAt < *Next)
      Next = ReadyAt;
  return Next;
}

std::vector<EngineModelEvent> EngineModel::takeEvents() {
  std::vector<EngineModelEvent> Drained;
  Drained.swap(this->Events);
  return Drained;
}

Result<void> EngineModel::submit(const EngineModelRequest &Request,
                                 TimePoint Now) {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  if (this->attach(Request, Now))
    return success();
  bool IsFull = this->Waiting.size() >= this->Settings.WaitingLimit;
  if (IsFull || this->IsLeaving || !this->hasLoaded(Request.Model))
    return make_error_code(TargetError::Refused);
  bool HasImport = this->Imported.contains(Request.Request);
  if (this->Role == EngineRole::Decode && !HasImport)
    return make_error_code(TargetError::Refused);
  Sequence Added;
  Added.Request = Request;
  Added.Generated = Request.ResumeAfterTokens;
  Added.RemainingPrefillTokens =
      Request.PromptTokens + Request.ResumeAfterTokens;
  this->Waiting.push_back(std::move(Added));
  if (!this->StepEnd)
    this->startStep(Now);
  this->recordLoad(Now);
  return success();
}

Result<StreamStatus> EngineModel::cancel(RequestId Request, TimePoint Now) {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  std::optional<Sequence> Stream = this->extractSequence(Request);
  if (!Stream)
    return this->probe(Request);
  this->finishSequence(*Stream, FinishReason::Cancelled, Now);
  this->recordLoad(Now);
  return StreamStatus{false, this->usageOf(*Stream)};
}

Result<StreamStatus> EngineModel::probe(RequestId Request) const {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  for (const auto *Streams : {&this->Batch, &this->Waiting})
    for (const Sequence &Stream : *Streams)
      if (Stream.Request.Request == Request)
        return StreamStatus{true, this->usageOf(Stream)};
  auto Found = this->EndedStreams.find(Request);
  if (Found == this->EndedStreams.end())
    return make_error_code(TargetError::UnknownStream);
  return StreamStatus{false, Found->second.LastEvent.Counted};
}

Result<EngineLoad> EngineModel::load(TimePoint Now) const {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  EngineLoad Load;
  Load.Engine = this->Settings.Name;
  Load.BatchLimit = this->Settings.BatchLimit;
  Load.PrefillTokensPerSecond = this->Settings.PrefillTokensPerSecond;
  Duration FullStep = this->Settings.StepBase +
                      this->Settings.StepPerSequence * Load.BatchLimit;
  Load.DecodeTokensPerSecond =
      Load.BatchLimit / std::chrono::duration<double>(FullStep).count();
  Load.LoadedModels = this->Models;
  Load.IsLeaving = this->IsLeaving;
  for (auto Entry = this->Samples.rbegin(); Entry != this->Samples.rend();
       ++Entry) {
    if (Entry->At + this->Settings.LoadLag > Now)
      continue;
    Load.Running = Entry->Running;
    Load.Waiting = Entry->Waiting;
    Load.WaitingPrefillTokens = Entry->PrefillTokens;
    break;
  }
  return Load;
}

Result<void> EngineModel::control(const EngineCommand &Command, TimePoint Now) {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  if (this->Settings.ChecksFence && Command.Fence < this->HighestFence)
    return make_error_code(TargetError::StaleFencingNumber);
  this->HighestFence = std::max(this->HighestFence, Command.Fence);
  std::string Model = variantName(Command);
  if (Command.Kind == EngineCommandKind::SetRole) {
    this->Role = Command.Role;
    return success();
  }
  if (Command.Kind == EngineCommandKind::Unload) {
    std::erase(this->Models, Model);
    this->Loading.erase(Model);
    return success();
  }
  if (this->hasLoaded(Model) || this->Loading.contains(Model))
    return success();
  std::size_t OccupiedSlots = this->Models.size() + this->Loading.size();
  if (OccupiedSlots >= this->Settings.MaxModels)
    return make_error_code(TargetError::Refused);
  this->Loading.emplace(Model, Now + this->Settings.LoadTime);
  return success();
}

Result<KvCache> EngineModel::exportKv(RequestId Request, TimePoint Now) {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  std::optional<Sequence> Stream = this->extractSequence(Request);
  if (!Stream)
    return make_error_code(TargetError::UnknownStream);
  this->recordLoad(Now);
  std::uint32_t PromptTokens = Stream->Request.PromptTokens;
  std::uint32_t RemainingTokens =
      Stream->IsStarted ? Stream->RemainingPrefillTokens : PromptTokens;
  std::uint32_t ComputedTokens =
      PromptTokens - std::min(PromptTokens, RemainingTokens);
  return KvCache{Request, Stream->Request.Model, ComputedTokens,
                 Stream->Generated};
}

Result<void> EngineModel::importKv(const KvCache &Transferred) {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  if (!this->hasLoaded(Transferred.Model))
    return make_error_code(TargetError::Refused);
  this->Imported.insert_or_assign(Transferred.Request, Transferred);
  return success();
}

void EngineModel::crash(TimePoint Now) {
  this->IsDown = true;
  this->StepEnd.reset();
  for (auto *Streams : {&this->Batch, &this->Waiting}) {
    for (const Sequence &Lost : *Streams) {
      EngineModelEvent Event = makeEvent(Lost.Request, Now);
      Event.Kind = EngineModelEventKind::Crashed;
      this->Events.push_back(Event);
    }
    Streams->clear();
  }
  this->Cache.clear();
  this->Samples.clear();
  this->EndedStreams.clear();
  this->Imported.clear();
  this->Loading.clear();
}

void EngineModel::restart() {
  this->IsDown = false;
  this->Models = this->Settings.Models;
  this->Role = EngineRole::Both;
}

bool EngineModel::hasLoaded(const std::string &Model) const {
  return std::find(this->Models.begin(), this->Models.end(), Model) !=
         this->Models.end();
}

void EngineModel::startStep(TimePoint Now) {
  this->fillBatch();
  bool HasCrashingRequest = std::any_of(
      this->Batch.begin(), this->Batch.end(),
      [](const Sequence &Running) { return Running.Request.CrashesEngine; });
  if (HasCrashingRequest) {
    this->crash(Now);
    return;
  }
  if (!this->Batch.empty())
    this->StepEnd = Now + scale(this->planStep(), this->Slowdown);
}

void EngineModel::fillBatch() {
  std::stable_sort(this->Waiting.begin(), this->Waiting.end(),
                   [](const Sequence &A, const Sequence &B) {
                     return A.Request.Priority > B.Request.Priority;
                   });
  std::size_t Free = this->Settings.BatchLimit - this->Batch.size();
  std::size_t Count = std::min(Free, this->Waiting.size());
  for (std::size_t I = 0; I < Count; ++I) {
    this->startSequence(this->Waiting[I]);
    this->Batch.push_back(std::move(this->Waiting[I]));
  }
  this->Waiting.erase(this->Waiting.begin(),
                      this->Waiting.begin() +
                          static_cast<std::ptrdiff_t>(Count));
}

void EngineModel::startSequence(Sequence &Started) {
  Started.IsStarted = true;
  const EngineModelRequest &Request = Started.Request;
  std::size_t CachedBlocks = this->Cache.use(Request.Blocks);
  auto Cached = static_cast<std::uint32_t>(CachedBlocks * PrefixBlockTokens);
  auto Import = this->Imported.find(Request.Request);
  if (Import != this->Imported.end()) {
    Cached = std::max(Cached, Import->second.PromptTokens +
                                  Import->second.GeneratedTokens);
    this->Imported.erase(Import);
  }
  // The last token is always computed, since the next one is sampled from it.
  Cached = std::min(Cached, Started.RemainingPrefillTokens - 1);
  Started.CachedTokens = std::min(Cached, Request.PromptTokens);
  Started.RemainingPrefillTokens -= Cached;
}

Duration EngineModel::planStep() {
  std::uint32_t Budget = this->Settings.PrefillTokensPerStep;
  std::uint32_t Computed = 0;
  std::uint32_t Decoding = 0;
  std::stable_sort(this->Batch.begin(), this->Batch.end(),
                   [](const Sequence &A, const Sequence &B) {
                     return A.Request.Priority > B.Request.Priority;
                   });
  for (Sequence &Running : this->Batch) {
    if (Running.RemainingPrefillTokens == 0) {
      ++Decoding;
      continue;
    }
    Running.PrefillInStep = std::min(Budget, Running.RemainingPrefillTokens);
    Budget -= Running.PrefillInStep;
    Computed += Running.PrefillInStep;
  }
  std::chrono::duration<double> Prefill(Computed /
                                        this->Settings.PrefillTokensPerSecond);
  Duration Time = std::chrono::duration_cast<Duration>(Prefill);
  if (Decoding > 0)
    Time += this->Settings.StepBase + this->Settings.StepPerSequence * Decoding;
  return Time;
}

void EngineModel::finishStep(TimePoint At) {
  for (Sequence &Running : this->Batch) {
    if (Running.RemainingPrefillTokens == 0) {
      this->emitToken(Running, At);
      continue;
    }
    Running.RemainingPrefillTokens -= Running.PrefillInStep;
    Running.PrefillInStep = 0;
    if (Running.RemainingPrefillTokens > 0)
      continue;
    this->Cache.store(Running.Request.Blocks, At);
    this->emitToken(Running, At);
  }
  std::erase_if(this->Batch, [](const Sequence &Running) {
    const EngineModelRequest &Request = Running.Request;
    return Running.RemainingPrefillTokens == 0 &&
           Running.Generated >=
               std::min(Request.ResponseTokens, Request.MaxTokens);
  });
}

void EngineModel::emitToken(Sequence &Running, TimePoint At) {
  const EngineModelRequest &Request = Running.Request;
  std::uint32_t TokenLimit =
      std::min(Request.ResponseTokens, Request.MaxTokens);
  if (Running.Generated < TokenLimit) {
    EngineModelEvent Event = makeEvent(Request, At);
    Event.FirstToken = Running.Generated;
    Event.Tokens = 1;
    ++Running.Generated;
    this->Events.push_back(Event);
  }
  if (Running.Generated < TokenLimit)
    return;
  bool IsComplete = Running.Generated >= Request.ResponseTokens;
  this->finishSequence(
      Running, IsComplete ? FinishReason::Stop : FinishReason::Length, At);
}

void EngineModel::finishSequence(const Sequence &Finished, FinishReason Reason,
                                 TimePoint At) {
  EngineModelEvent Event = makeEvent(Finished.Request, At);
  Event.Kind = EngineModelEventKind::Finished;
  Event.FirstToken = Finished.Generated;
  Event.Reason = Reason;
  Event.Counted = this->usageOf(Finished);
  this->Events.push_back(Event);
  if (this->EndedStreams.size() >= MaxEndedStreams)
    std::erase_if(this->EndedStreams, [&](const auto &Entry) {
      return Entry.second.At + this->Settings.FinishedRetention < At;
    });
  this->EndedStreams.insert_or_assign(Finished.Request.Request,
                                      EndedStream{At, Event});
}

void EngineModel::recordLoad(TimePoint Now) {
  LoadSample Recorded;
  Recorded.At = Now;
  Recorded.Running = static_cast<std::uint32_t>(this->Batch.size());
  Recorded.Waiting = static_cast<std::uint32_t>(this->Waiting.size());
  for (const auto *Streams : {&this->Batch, &this->Waiting})
    for (const Sequence &Stream : *Streams)
      Recorded.PrefillTokens += Stream.RemainingPrefillTokens;
  this->Samples.push_back(Recorded);
  // load() reports the latest sample that is at least LoadLag old, so older
  // ones are not needed.
  while (this->Samples.size() > 1 &&
         this->Samples[1].At + this->Settings.LoadLag <= Now)
    this->Samples.pop_front();
}

void EngineModel::finishLoads(TimePoint Now) {
  for (auto Entry = this->Loading.begin(); Entry != this->Loading.end();) {
    if (Entry->second > Now) {
      ++Entry;
      continue;
    }
    this->Models.push_back(Entry->first);
    Entry = this->Loading.erase(Entry);
  }
}

Usage EngineModel::usageOf(const Sequence &Stream) const {
  return {Stream.Request.PromptTokens, Stream.CachedTokens, Stream.Generated};
}

EngineModel::Sequence *EngineModel::find(RequestId Request) {
  for (auto *Streams : {&this->Batch, &this->Waiting})
    for (Sequence &Stream : *Streams)
      if (Stream.Request.Request == Request)
        return &Stream;
  return nullptr;
}

std::optional<EngineModel::Sequence>
EngineModel::extractSequence(RequestId Request) {
  for (auto *Streams : {&this->Batch, &this->Waiting}) {
    auto Found = std::find_if(Streams->begin(), Streams->end(),
                              [&](const Sequence &Stream) {
                                return Stream.Request.Request == Request;
                              });
    if (Found == Streams->end())
      continue;
    Sequence Extracted = std::move(*Found);
    Streams->erase(Found);
    return Extracted;
  }
  return std::nullopt;
}

bool EngineModel::attach(const EngineModelRequest &Request, TimePoint Now) {
  Sequence *Active = this->find(Request.Request);
  auto Ended = this->EndedStreams.find(Request.Request);
  bool IsEnded = !Active && Ended != this->EndedStreams.end() &&
                 Ended->second.LastEvent.Reason != FinishReason::Cancelled;
  if (!Active && !IsEnded)
    return false;
  std::uint32_t Generated =
      Active ? Active->Generated
             : Ended->second.LastEvent.Counted.GeneratedTokens;
  if (Generated > Request.ResumeAfterTokens) {
    EngineModelEvent Missed = makeEvent(Request, Now);
    Missed.FirstToken = Request.ResumeAfterTokens;
    Missed.Tokens = Generated - Request.ResumeAfterTokens;
    this->Events.push_back(Missed);
  }
  if (Active) {
    Active->Request.Attempt = Request.Attempt;
    return true;
  }
  EngineModelEvent LastEvent = Ended->second.LastEvent;
  LastEvent.At = Now;
  LastEvent.Attempt = Request.Attempt;
  this->Events.push_back(LastEvent);
  return true;
}

} // namespace bergamothook

#include "LibStandin/EngineModel.h"

#include "LibTarget/TargetError.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr std::size_t MaxEndedStreams = 1000;

std::string variantName(const EngineCommand &Order) {
  if (Order.Adapter.empty() && Order.Version.empty())
    return Order.Model;
  return Order.Model + "/" + Order.Adapter + "@" + Order.Version;
}

EngineModelEvent eventOf(const EngineModelRequest &Request, TimePoint At) {
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
    this->sample(At);
  }
}

std::optional<TimePoint> EngineModel::nextEvent() const {
  std::optional<TimePoint> Next = this->StepEnd;
  for (const auto &[Model, Done] : this->Loading)
    if (!Next || Done < *Next)
      Next = Done;
  return Next;
}

std::vector<EngineModelEvent> EngineModel::takeEvents() {
  std::vector<EngineModelEvent> Taken;
  Taken.swap(this->Events);
  return Taken;
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
  Added.PrefillLeft = Request.PromptTokens + Request.ResumeAfterTokens;
  this->Waiting.push_back(std::move(Added));
  if (!this->StepEnd)
    this->startStep(Now);
  this->sample(Now);
  return success();
}

Result<StreamStatus> EngineModel::cancel(RequestId Request, TimePoint Now) {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  std::optional<Sequence> Stream = this->takeOut(Request);
  if (!Stream)
    return this->probe(Request);
  this->finish(*Stream, FinishReason::Cancelled, Now);
  this->sample(Now);
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
  return StreamStatus{false, Found->second.Last.Counted};
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
  for (auto At = this->Samples.rbegin(); At != this->Samples.rend(); ++At) {
    if (At->At + this->Settings.LoadLag > Now)
      continue;
    Load.Running = At->Running;
    Load.Waiting = At->Waiting;
    Load.WaitingPrefillTokens = At->PrefillTokens;
    break;
  }
  return Load;
}

Result<void> EngineModel::control(const EngineCommand &Order, TimePoint Now) {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  if (this->Settings.ChecksFence && Order.Fence < this->LargestFence)
    return make_error_code(TargetError::StaleFencingNumber);
  this->LargestFence = std::max(this->LargestFence, Order.Fence);
  std::string Model = variantName(Order);
  if (Order.Kind == EngineCommandKind::SetRole) {
    this->Role = Order.Role;
    return success();
  }
  if (Order.Kind == EngineCommandKind::Unload) {
    std::erase(this->Models, Model);
    this->Loading.erase(Model);
    return success();
  }
  if (this->hasLoaded(Model) || this->Loading.contains(Model))
    return success();
  std::size_t Taken = this->Models.size() + this->Loading.size();
  if (Taken >= this->Settings.MaxModels)
    return make_error_code(TargetError::Refused);
  this->Loading.emplace(Model, Now + this->Settings.LoadTime);
  return success();
}

Result<KvCache> EngineModel::exportKv(RequestId Request, TimePoint Now) {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  std::optional<Sequence> Stream = this->takeOut(Request);
  if (!Stream)
    return make_error_code(TargetError::UnknownStream);
  this->sample(Now);
  std::uint32_t Whole = Stream->Request.PromptTokens;
  std::uint32_t Left = Stream->IsStarted ? Stream->PrefillLeft : Whole;
  std::uint32_t Computed = Whole - std::min(Whole, Left);
  return KvCache{Request, Stream->Request.Model, Computed, Stream->Generated};
}

Result<void> EngineModel::importKv(const KvCache &Moved) {
  if (this->IsDown)
    return make_error_code(TargetError::ConnectFailed);
  if (!this->hasLoaded(Moved.Model))
    return make_error_code(TargetError::Refused);
  this->Imported.insert_or_assign(Moved.Request, Moved);
  return success();
}

void EngineModel::crash(TimePoint Now) {
  this->IsDown = true;
  this->StepEnd.reset();
  for (auto *Streams : {&this->Batch, &this->Waiting}) {
    for (const Sequence &Lost : *Streams) {
      EngineModelEvent Event = eventOf(Lost.Request, Now);
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
  bool IsPoisoned = std::any_of(
      this->Batch.begin(), this->Batch.end(),
      [](const Sequence &Held) { return Held.Request.CrashesEngine; });
  if (IsPoisoned) {
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
    this->start(this->Waiting[I]);
    this->Batch.push_back(std::move(this->Waiting[I]));
  }
  this->Waiting.erase(this->Waiting.begin(),
                      this->Waiting.begin() +
                          static_cast<std::ptrdiff_t>(Count));
}

void EngineModel::start(Sequence &Started) {
  Started.IsStarted = true;
  const EngineModelRequest &Request = Started.Request;
  std::size_t Held = this->Cache.use(Request.Blocks);
  auto Cached = static_cast<std::uint32_t>(Held * PrefixBlockTokens);
  auto Import = this->Imported.find(Request.Request);
  if (Import != this->Imported.end()) {
    Cached = std::max(Cached, Import->second.PromptTokens +
                                  Import->second.GeneratedTokens);
    this->Imported.erase(Import);
  }
  // The last token is always computed, since it gives the next one.
  Cached = std::min(Cached, Started.PrefillLeft - 1);
  Started.CachedTokens = std::min(Cached, Request.PromptTokens);
  Started.PrefillLeft -= Cached;
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
    if (Running.PrefillLeft == 0) {
      ++Decoding;
      continue;
    }
    Running.PrefillInStep = std::min(Budget, Running.PrefillLeft);
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
    if (Running.PrefillLeft == 0) {
      this->produce(Running, At);
      continue;
    }
    Running.PrefillLeft -= Running.PrefillInStep;
    Running.PrefillInStep = 0;
    if (Running.PrefillLeft > 0)
      continue;
    this->Cache.store(Running.Request.Blocks, At);
    this->produce(Running, At);
  }
  std::erase_if(this->Batch, [](const Sequence &Running) {
    const EngineModelRequest &Request = Running.Request;
    return Running.PrefillLeft == 0 &&
           Running.Generated >=
               std::min(Request.ResponseTokens, Request.MaxTokens);
  });
}

void EngineModel::produce(Sequence &Running, TimePoint At) {
  const EngineModelRequest &Request = Running.Request;
  std::uint32_t End = std::min(Request.ResponseTokens, Request.MaxTokens);
  if (Running.Generated < End) {
    EngineModelEvent Event = eventOf(Request, At);
    Event.FirstToken = Running.Generated;
    Event.Tokens = 1;
    ++Running.Generated;
    this->Events.push_back(Event);
  }
  if (Running.Generated < End)
    return;
  bool IsWhole = Running.Generated >= Request.ResponseTokens;
  this->finish(Running, IsWhole ? FinishReason::Stop : FinishReason::Length,
               At);
}

void EngineModel::finish(const Sequence &Done, FinishReason Reason,
                         TimePoint At) {
  EngineModelEvent Event = eventOf(Done.Request, At);
  Event.Kind = EngineModelEventKind::Finished;
  Event.FirstToken = Done.Generated;
  Event.Reason = Reason;
  Event.Counted = this->usageOf(Done);
  this->Events.push_back(Event);
  if (this->EndedStreams.size() >= MaxEndedStreams)
    std::erase_if(this->EndedStreams, [&](const auto &Old) {
      return Old.second.At + this->Settings.KeepFinished < At;
    });
  this->EndedStreams.insert_or_assign(Done.Request.Request, Ended{At, Event});
}

void EngineModel::sample(TimePoint Now) {
  LoadSample Taken;
  Taken.At = Now;
  Taken.Running = static_cast<std::uint32_t>(this->Batch.size());
  Taken.Waiting = static_cast<std::uint32_t>(this->Waiting.size());
  for (const auto *Streams : {&this->Batch, &this->Waiting})
    for (const Sequence &Stream : *Streams)
      Taken.PrefillTokens += Stream.PrefillLeft;
  this->Samples.push_back(Taken);
  // The latest sample older than the lag is the one that is reported.
  while (this->Samples.size() > 1 &&
         this->Samples[1].At + this->Settings.LoadLag <= Now)
    this->Samples.pop_front();
}

void EngineModel::finishLoads(TimePoint Now) {
  for (auto At = this->Loading.begin(); At != this->Loading.end();) {
    if (At->second > Now) {
      ++At;
      continue;
    }
    this->Models.push_back(At->first);
    At = this->Loading.erase(At);
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

std::optional<EngineModel::Sequence> EngineModel::takeOut(RequestId Request) {
  for (auto *Streams : {&this->Batch, &this->Waiting}) {
    auto Found = std::find_if(Streams->begin(), Streams->end(),
                              [&](const Sequence &Stream) {
                                return Stream.Request.Request == Request;
                              });
    if (Found == Streams->end())
      continue;
    Sequence Taken = std::move(*Found);
    Streams->erase(Found);
    return Taken;
  }
  return std::nullopt;
}

bool EngineModel::attach(const EngineModelRequest &Request, TimePoint Now) {
  Sequence *Held = this->find(Request.Request);
  auto Old = this->EndedStreams.find(Request.Request);
  bool IsEnded = !Held && Old != this->EndedStreams.end() &&
                 Old->second.Last.Reason != FinishReason::Cancelled;
  if (!Held && !IsEnded)
    return false;
  std::uint32_t Generated =
      Held ? Held->Generated : Old->second.Last.Counted.GeneratedTokens;
  if (Generated > Request.ResumeAfterTokens) {
    EngineModelEvent Missed = eventOf(Request, Now);
    Missed.FirstToken = Request.ResumeAfterTokens;
    Missed.Tokens = Generated - Request.ResumeAfterTokens;
    this->Events.push_back(Missed);
  }
  if (Held) {
    Held->Request.Attempt = Request.Attempt;
    return true;
  }
  EngineModelEvent Last = Old->second.Last;
  Last.At = Now;
  Last.Attempt = Request.Attempt;
  this->Events.push_back(Last);
  return true;
}

} // namespace bergamothook

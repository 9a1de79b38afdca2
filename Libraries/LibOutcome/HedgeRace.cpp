#include "LibOutcome/HedgeRace.h"

#include <algorithm>
#include <optional>

namespace bergamothook::detail {

namespace {

/// Makes a stream that yields \p First before the chunks of \p Rest.
EngineStream prependChunk(StreamChunk First, EngineStream Rest) {
  EngineStream Combined;
  Combined.Next = [First = std::optional<StreamChunk>(std::move(First)),
                   Rest = std::move(Rest)](
                      TimePoint Deadline) mutable -> Result<StreamChunk> {
    if (!First)
      return Rest.Next(Deadline);
    StreamChunk Chunk = std::move(*First);
    First.reset();
    return Chunk;
  };
  return Combined;
}

bool hasStream(const HedgeResult &Attempt) { return !Attempt.Failure; }

Result<EngineStream> openToFirstChunk(const EngineHooks &Engine,
                                      const StreamTarget &Target,
                                      const GenerationRequest &Generation,
                                      TimePoint Deadline) {
  BOOST_OUTCOME_TRY(Stream, Engine.Open(Target.Address, Generation, Deadline));
  BOOST_OUTCOME_TRY(First, Stream.Next(Deadline));
  return prependChunk(std::move(First), std::move(Stream));
}

} // namespace

HedgeRace::HedgeRace(const StreamHooks &Hooks, const StreamSettings &Settings)
    : Tasks(Hooks.Tasks), Engine(Hooks.Engine), Settings(Settings),
      Shared(std::make_shared<State>()) {}

void HedgeRace::launch(const StreamTarget &Target,
                       const GenerationRequest &Generation,
                       TimePoint Deadline) {
  this->Launched.push_back(Target);
  this->Tasks.Spawn([Race = this->Shared, Engine = this->Engine, Target,
                     Generation, Deadline, Tasks = this->Tasks,
                     CancelTimeout = this->Settings.CancelTimeout] {
    HedgeResult Done{Target, Generation.Attempt, {}, {}};
    auto Stream = openToFirstChunk(Engine, Target, Generation, Deadline);
    if (Stream)
      Done.Stream = std::move(Stream.value());
    else
      Done.Failure = Stream.error();
    if (Race->IsFinished) {
      (void)Engine.Cancel(Target.Address, Generation.Request,
                          Tasks.Now() + CancelTimeout);
      return;
    }
    Race->Completed.push_back(std::move(Done));
    Race->Changed.notify();
  });
}

bool HedgeRace::isDecided() const {
  const auto &Completed = this->Shared->Completed;
  return Completed.size() == this->Launched.size() ||
         std::any_of(Completed.begin(), Completed.end(), hasStream);
}

bool HedgeRace::wait(TimePoint Deadline) {
  return this->Tasks.waitUntil(this->Shared->Changed, Deadline,
                               [this] { return this->isDecided(); });
}

HedgeResult HedgeRace::finish() {
  this->Shared->IsFinished = true;
  auto &Completed = this->Shared->Completed;
  auto Winner = std::find_if(Completed.begin(), Completed.end(), hasStream);
  if (Winner != Completed.end())
    return *Winner;
  if (!Completed.empty())
    return Completed.front();
  return {this->Launched.front(), AttemptNumber{}, TargetError::TimedOut, {}};
}

} // namespace bergamothook::detail

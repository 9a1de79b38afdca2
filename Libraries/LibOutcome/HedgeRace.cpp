#include "LibOutcome/HedgeRace.h"

#include <algorithm>
#include <optional>

namespace bergamothook::detail {

namespace {

/// Gives a stream that starts with a chunk that was read already.
EngineStream withFirst(StreamChunk First, EngineStream Rest) {
  EngineStream Whole;
  Whole.Next = [First = std::optional<StreamChunk>(std::move(First)),
                Rest = std::move(Rest)](
                   TimePoint Deadline) mutable -> Result<StreamChunk> {
    if (!First)
      return Rest.Next(Deadline);
    StreamChunk Given = std::move(*First);
    First.reset();
    return Given;
  };
  return Whole;
}

bool hasStream(const HedgeResult &Each) { return !Each.Failure; }

Result<EngineStream> openToFirstChunk(const EngineHooks &Engine,
                                      const StreamTarget &Target,
                                      const GenerationRequest &Order,
                                      TimePoint Deadline) {
  BOOST_OUTCOME_TRY(Stream, Engine.Open(Target.Address, Order, Deadline));
  BOOST_OUTCOME_TRY(First, Stream.Next(Deadline));
  return withFirst(std::move(First), std::move(Stream));
}

} // namespace

HedgeRace::HedgeRace(const StreamHooks &Hooks, const StreamSettings &Settings)
    : Tasks(Hooks.Tasks), Engine(Hooks.Engine), Settings(Settings),
      Shared(std::make_shared<State>()) {}

void HedgeRace::launch(const StreamTarget &Target,
                       const GenerationRequest &Order, TimePoint Deadline) {
  this->Launched.push_back(Target);
  this->Tasks.Spawn([Race = this->Shared, Engine = this->Engine, Target, Order,
                     Deadline, Tasks = this->Tasks,
                     Patience = this->Settings.CancelTimeout] {
    HedgeResult Done{Target, Order.Attempt, {}, {}};
    auto Stream = openToFirstChunk(Engine, Target, Order, Deadline);
    if (Stream)
      Done.Stream = std::move(Stream.value());
    else
      Done.Failure = Stream.error();
    if (Race->IsOver) {
      (void)Engine.Cancel(Target.Address, Order.Request,
                          Tasks.Now() + Patience);
      return;
    }
    Race->Arrived.push_back(std::move(Done));
    Race->Changed.notify();
  });
}

bool HedgeRace::isDecided() const {
  const auto &Arrived = this->Shared->Arrived;
  return Arrived.size() == this->Launched.size() ||
         std::any_of(Arrived.begin(), Arrived.end(), hasStream);
}

bool HedgeRace::wait(TimePoint Deadline) {
  return this->Tasks.waitUntil(this->Shared->Changed, Deadline,
                               [this] { return this->isDecided(); });
}

HedgeResult HedgeRace::finish() {
  this->Shared->IsOver = true;
  auto &Arrived = this->Shared->Arrived;
  auto Winner = std::find_if(Arrived.begin(), Arrived.end(), hasStream);
  if (Winner != Arrived.end())
    return *Winner;
  if (!Arrived.empty())
    return Arrived.front();
  return {this->Launched.front(), AttemptNumber{}, TargetError::TimedOut, {}};
}

} // namespace bergamothook::detail

/// \file
/// Replays the response to a retry of a request that was billed before.

#include "ChatHandler.h"

namespace bergamothook {

std::optional<StreamTarget> ChatHandler::findStreamHolder(const Job &Current) {
  if (Current.PreviousTarget &&
      this->Dependencies.Monitor.find(*Current.PreviousTarget))
    return StreamTarget{
        *Current.PreviousTarget,
        this->Dependencies.Monitor.addressOf(*Current.PreviousTarget)};
  std::size_t Probes = 0;
  ModelId Model = idOfName<ModelId>(Current.Chat.Model);
  // Copied because the table may change during a probe.
  std::vector<TargetTable::Slot> SlotIndices =
      this->Dependencies.Targets.serving(Model);
  for (TargetTable::Slot SlotIndex : SlotIndices) {
    if (++Probes > this->Settings.MaxProbes)
      break;
    TargetInfo Info = this->Dependencies.Targets.at(SlotIndex).Info;
    auto Status = this->Dependencies.Engines.Probe(
        Info.Address, Current.Stream.Request,
        this->Dependencies.Tasks.Now() + this->Settings.ProbeTimeout);
    if (Status)
      return StreamTarget{Info.Id, Info.Address};
  }
  return std::nullopt;
}

/// Sends the response of a request that was billed before, if an engine still
/// holds its stream. Neither generates nor bills anything.
StreamOutcome ChatHandler::replay(Job &Current, HttpReply &Reply) {
  auto Holder = this->findStreamHolder(Current);
  StreamHooks Hooks = this->makeHooks(Current, Reply);
  Hooks.Reserve = [](const StreamRequest &, TimePoint) -> Result<void> {
    return success();
  };
  Hooks.Settle = [](const StreamRequest &, const Usage &) {};
  Hooks.ChooseTarget = [Holder](const StreamRequest &,
                                const std::vector<TargetId> &Excluded,
                                TimePoint) -> Result<StreamTarget> {
    if (!Holder || !Excluded.empty())
      return LedgerError::AlreadyBilled;
    return *Holder;
  };
  Hooks.Engine.Open = [Open = this->Dependencies.Engines.Open](
                          const TargetAddress &Address,
                          GenerationRequest Generation, TimePoint Deadline) {
    Generation.MustResume = true;
    return Open(Address, Generation, Deadline);
  };
  StreamOutcome StreamResult =
      runStream(Current.Stream, Hooks, this->Settings.Stream);
  if (StreamResult.Verdict == Outcome::Done)
    return StreamResult;
  StreamOutcome NotReplayed;
  NotReplayed.Verdict = Outcome::Done;
  NotReplayed.Reason = LedgerError::AlreadyBilled;
  return NotReplayed;
}

} // namespace bergamothook

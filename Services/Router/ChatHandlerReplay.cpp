/// \file
/// How ChatHandler answers a retry of a request that was billed before.

#include "ChatHandler.h"

namespace bergamothook {

std::optional<StreamTarget> ChatHandler::findHolder(const Job &Asked) {
  if (Asked.Earlier && this->Parts.Watch.find(*Asked.Earlier))
    return StreamTarget{*Asked.Earlier,
                        this->Parts.Watch.addressOf(*Asked.Earlier)};
  std::size_t Probes = 0;
  ModelId Model = idOfName<ModelId>(Asked.Asked.Model);
  // Copied, since the table may change while a probe waits.
  std::vector<TargetTable::Slot> Places = this->Parts.Targets.serving(Model);
  for (TargetTable::Slot Place : Places) {
    if (++Probes > this->Settings.MaxProbes)
      break;
    TargetInfo Info = this->Parts.Targets.at(Place).Info;
    auto Known = this->Parts.Engines.Probe(Info.Address, Asked.Stream.Request,
                                           this->Parts.Tasks.Now() +
                                               this->Settings.ProbeTimeout);
    if (Known)
      return StreamTarget{Info.Id, Info.Address};
  }
  return std::nullopt;
}

/// Hands out the answer of a request that was billed before, if an engine still
/// holds it. Nothing is generated and nothing is billed.
StreamOutcome ChatHandler::replay(Job &Asked, HttpReply &Reply) {
  auto Holder = this->findHolder(Asked);
  StreamHooks Hooks = this->hooksFor(Asked, Reply);
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
  Hooks.Engine.Open = [Open = this->Parts.Engines.Open](const TargetAddress &At,
                                                        GenerationRequest Order,
                                                        TimePoint Deadline) {
    Order.MustResume = true;
    return Open(At, Order, Deadline);
  };
  StreamOutcome End = runStream(Asked.Stream, Hooks, this->Settings.Stream);
  if (End.Verdict == Outcome::Done)
    return End;
  StreamOutcome Refused;
  Refused.Verdict = Outcome::Done;
  Refused.Reason = LedgerError::AlreadyBilled;
  return Refused;
}

} // namespace bergamothook

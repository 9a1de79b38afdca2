#include "ConfigWatch.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

ConfigWatch::ConfigWatch(Incarnation Self, const LogHooks &Log,
                         const Runtime &Tasks, PeerDesk &Peers,
                         ConfigWatchSettings Settings, std::uint64_t Seed)
    : Tasks(Tasks), Peers(Peers), Settings(Settings), Dice(Seed),
      Replica([this](RecordId Change, const ConfigVerdict &Verdict) {
        this->takeVerdict(Change, Verdict);
      }),
      Saved(Log, Tasks, Self),
      Reader(this->Replica, Log, [this] { return this->recover(); }),
      Spread(this->Replica, this->Reader, Tasks, this->spreadHooks(), {},
             Seed) {
  this->registerHandlers();
}

void ConfigWatch::takeVerdict(RecordId Change, const ConfigVerdict &Verdict) {
  logEvent(LogLevel::Info, "configuration_change",
           {{"change", toHex(Change)},
            {"is_accepted", Verdict.IsAccepted},
            {"revision", Verdict.At.Value}});
  if (Verdict.IsAccepted && this->OnChange)
    this->OnChange(this->Replica.snapshot());
}

bool ConfigWatch::recover() {
  auto Loaded = this->Saved.load(this->Replica);
  bool HasMoved = Loaded && Loaded.value();
  if (HasMoved && this->OnChange)
    this->OnChange(this->Replica.snapshot());
  return HasMoved;
}

ConfigSpreadHooks ConfigWatch::spreadHooks() {
  ConfigSpreadHooks Made;
  Made.View = [this] { return this->Peers.members().view(); };
  Made.FleetSize = [this] { return this->Peers.members().fleetSize(); };
  Made.Send = [this](HostId To, ConfigMessageKind Kind,
                     const std::string &Body) {
    this->Peers.node().send(To, static_cast<std::uint16_t>(Kind), Body);
  };
  Made.SendReliably = [this](HostId To, ConfigMessageKind Kind,
                             std::string Body) {
    // A peer that does not read is told again at the next announcement.
    (void)this->Peers.node().sendReliably(To, static_cast<std::uint16_t>(Kind),
                                          std::move(Body));
  };
  Made.Changed = [] {};
  return Made;
}

void ConfigWatch::registerHandlers() {
  for (auto Kind : {ConfigMessageKind::Announcement, ConfigMessageKind::Entries,
                    ConfigMessageKind::Request, ConfigMessageKind::StateChunk})
    this->Peers.node().handle(
        static_cast<std::uint16_t>(Kind),
        [this, Kind](const Incarnation &Sender, std::string_view Body) {
          return this->Spread.received(Sender.Host, Kind, Body);
        });
}

void ConfigWatch::start() {
  this->Spread.start();
  this->Tasks.Spawn([this] { this->saveStates(); });
}

void ConfigWatch::stop() {
  this->IsStopping = true;
  this->Spread.stop();
}

void ConfigWatch::saveStates() {
  while (!this->IsStopping) {
    auto Hosts = static_cast<Duration::rep>(this->Peers.members().fleetSize());
    Duration Pause =
        this->Dice.jitter(this->Settings.FleetSaveInterval * Hosts);
    this->Tasks.sleepUntil(this->Tasks.Now() + Pause);
    Offset Present = this->Replica.position().Next;
    if (this->IsStopping || Present <= this->SavedUpTo)
      continue;
    if (this->Saved.save(this->Replica, this->Settings.SaveTimeout))
      this->SavedUpTo = Present;
  }
}

} // namespace bergamothook

#include "LibRelay/RelayDispatcher.h"

#include "LibObserve/StructuredLog.h"
#include "LibRelay/RelayCallHandler.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// On average, one in this many calls that succeeded at the first send is
/// logged; the others are only counted in the metrics.
constexpr std::uint64_t SuccessesPerLogLine = 100;

/// How much of a field's text is logged.
constexpr std::size_t MaxLoggedBytes = 100;

std::int64_t millisecondsOf(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

void logCold(const std::string &RunKey, Duration Left, const char *Source) {
  logEvent(LogLevel::Warning, "target_cold",
           {{"target", RunKey},
            {"ends_in_ms", millisecondsOf(Left)},
            {"source", Source}});
}

} // namespace

RelayDispatcher::RelayDispatcher(RelaySettings Settings, RelayHooks Hooks,
                                 TokenBroker &Tokens, Metrics &Stats)
    : Settings(std::move(Settings)), Hooks(std::move(Hooks)),
      TokenSource(Tokens), Stats(Stats),
      Picker(this->Settings.Picker, this->Settings.OwnDomain,
             this->Settings.Seed),
      Limiter(this->Settings.Limiter, this->limiterHooks(), Tokens.roster(),
              Stats),
      Resends(this->Settings.Resends),
      Quarantine(this->Settings.Self, this->Settings.Quarantine,
                 [this](const Hash128 &Trait, std::uint64_t Turn) {
                   return this->hasProbeTurn(Trait, Turn);
                 }),
      QuarantineReports(this->Quarantine, Tokens.roster(),
                        this->quarantineHooks()),
      Versions(this->Settings.Versions,
               [this](const std::string &Service) {
                 return this->rankForVersions(Service);
               }),
      Origins(this->Settings.Origins, this->Versions, Tokens.roster(),
              this->originHooks()),
      Queues({}, this->Hooks.Tasks, Stats),
      Reach(this->reachHooks(), this->Targets, Stats, this->Settings.Seed + 2),
      Peers(this->Settings.Seed + 3), Rng(this->Settings.Seed + 1) {}

LimiterHooks RelayDispatcher::limiterHooks() {
  LimiterHooks Chosen;
  Chosen.Tasks = this->Hooks.Tasks;
  Chosen.LeaseClock = this->Hooks.LeaseClock;
  Chosen.Send = [this](HostId To, std::uint16_t Kind, std::string_view Body) {
    this->TokenSource.sendMessage(To, Kind, Body);
  };
  Chosen.SetHandler = [this](std::uint16_t Kind, PeerNode::Handler Callback) {
    this->TokenSource.setMessageHandler(Kind, std::move(Callback));
  };
  Chosen.MarkSilent = [this](HostId Host) {
    this->TokenSource.markHostSilent(Host);
  };
  Chosen.DescribeCold = [this](const std::string &RunKey) {
    return this->Targets.describeCold(RunKey, this->Hooks.LeaseClock());
  };
  Chosen.OnCold = [this](const ColdReport &Report) {
    this->onColdReport(Report, "other host");
  };
  return Chosen;
}

QuarantineExchangeHooks RelayDispatcher::quarantineHooks() {
  QuarantineExchangeHooks Chosen;
  Chosen.Now = this->Hooks.Tasks.Now;
  Chosen.Send = [this](HostId To, std::uint16_t Kind, std::string_view Body) {
    this->TokenSource.sendMessage(To, Kind, Body);
  };
  Chosen.SetHandler = [this](std::uint16_t Kind, PeerNode::Handler Callback) {
    this->TokenSource.setMessageHandler(Kind, std::move(Callback));
  };
  return Chosen;
}

OriginHooks RelayDispatcher::originHooks() {
  OriginHooks Chosen;
  Chosen.Tasks = this->Hooks.Tasks;
  Chosen.LeaseClock = this->Hooks.LeaseClock;
  Chosen.Send = [this](HostId To, std::uint16_t Kind, std::string_view Body) {
    this->TokenSource.sendMessage(To, Kind, Body);
  };
  Chosen.SetHandler = [this](std::uint16_t Kind, PeerNode::Handler Callback) {
    this->TokenSource.setMessageHandler(Kind, std::move(Callback));
  };
  return Chosen;
}

ReachHooks RelayDispatcher::reachHooks() {
  ReachHooks Chosen;
  Chosen.Tasks = this->Hooks.Tasks;
  Chosen.Probe = this->Hooks.Probe;
  Chosen.OnLost = [this](const std::string &Service) {
    this->Targets.forgetFailures(Service);
    this->TargetGate.forget(Service);
    for (Event *Changed : this->TargetWaits)
      Changed->notify();
  };
  return Chosen;
}

std::size_t RelayDispatcher::rankForVersions(const std::string &Service) const {
  const HostRoster &Roster = this->TokenSource.roster();
  // Until the other hosts are known, they are waited for.
  constexpr std::size_t UnsettledRank = 3;
  if (!Roster.settledAt())
    return UnsettledRank;
  std::size_t Rank = 0;
  for (HostId Host : Roster.firstHosts("versions/" + Service, Roster.hosts(),
                                       this->Hooks.Tasks.Now())) {
    if (Host == Roster.self().id())
      break;
    Rank += Roster.isResponsive(Host) ? 1 : 0;
  }
  return Rank;
}

bool RelayDispatcher::hasProbeTurn(const Hash128 &Trait,
                                   std::uint64_t Turn) const {
  const HostRoster &Roster = this->TokenSource.roster();
  // Each host that knows of no other would take every turn.
  if (!Roster.settledAt())
    return false;
  std::vector<HostId> Hosts =
      Roster.firstHosts(toHex(Trait), Roster.hosts(), this->Hooks.Tasks.Now());
  return Hosts[Turn % Hosts.size()] == Roster.self().id();
}

void RelayDispatcher::applyBudgets(const RelayConfig &Next) {
  std::set<std::string> Budgeted;
  for (const auto &[Name, Team] : Next.teams()) {
    if (!Team.Budget || !Team.IsReadable)
      continue;
    Budgeted.insert(Name);
    if (this->TokenSource.setBudget(Name, *Team.Budget))
      logEvent(LogLevel::Info, "budget_changed",
               {{"team", Name},
                {"tokens", *Team.Budget},
                {"config_version", Next.Version}});
  }
  for (const std::string &Name : this->TokenSource.keepBudgets(Budgeted))
    logEvent(LogLevel::Warning, "budget_removed",
             {{"team", Name}, {"config_version", Next.Version}});
}

bool RelayDispatcher::setConfig(RelayConfigPtr Next) {
  if (this->Config && Next->Version <= this->Config->Version)
    return false;
  this->applyBudgets(*Next);
  this->Versions.setServices(Next->resumableServices());
  this->Targets.setColdRates(Next->coldRates());
  this->Config = std::move(Next);
  return true;
}

void RelayDispatcher::onColdReport(const ColdReport &Report,
                                   const char *Source) {
  if (this->Targets.onColdReport(Report, this->Hooks.LeaseClock()))
    logCold(Report.RunKey, Report.Left, Source);
}

void RelayDispatcher::onHealthResponse(const ListedTarget &Target,
                                       Duration ColdLeft, TimePoint AskedAt) {
  if (this->Targets.onHealthResponse(Target, ColdLeft, AskedAt,
                                     this->Hooks.LeaseClock()))
    logCold(Target.runKey(), ColdLeft, "health response");
}

void RelayDispatcher::endColdPeriods() {
  for (const ListedTarget &Target : this->Targets.endColdPeriods(
           this->Hooks.LeaseClock(), this->Hooks.Tasks.Now()))
    logEvent(LogLevel::Info, "target_warm", {{"target", Target.runKey()}});
}

ColdLimit RelayDispatcher::coldLimitOf(const std::string &Service) const {
  return coldLimit(this->Targets.coldRate(Service), this->Settings.Cold,
                   this->Settings.Limiter.Shares);
}

RelayOutcome RelayDispatcher::serve(const RelayCall &Call,
                                    const CallerHooks &Caller) {
  detail::RelayCallHandler Handler(*this, Call, Caller);
  RelayOutcome Outcome = Handler.run();
  this->record(Call, Outcome);
  return Outcome;
}

RelayOutcome RelayDispatcher::refuse(const RelayCall &Call,
                                     const CallerHooks &Caller, unsigned Status,
                                     RelayReason Reason,
                                     std::optional<Duration> RetryAfter) {
  RelayOutcome Outcome;
  Outcome.Status = Status;
  Outcome.Reason = Reason;
  Caller.WillRefuse(Reason);
  auto Sent =
      Caller.SendResponse(this->Hooks.MakeRefusal(Status, Call, RetryAfter),
                          refusalBody(Reason, Outcome.End));
  if (!Sent)
    Outcome.End = RelayEnd::CallerLeft;
  Outcome.Total = this->Hooks.Tasks.Now() - Call.ArrivedAt;
  this->record(Call, Outcome);
  return Outcome;
}

void RelayDispatcher::record(const RelayCall &Call,
                             const RelayOutcome &Outcome) {
  const std::string Labels = "{end=\"" + std::string(nameOf(Outcome.End)) +
                             "\",status=\"" + std::to_string(Outcome.Status) +
                             "\"}";
  this->Stats.count("relay_calls_total" + Labels);
  bool IsPlainSuccess = Outcome.End == RelayEnd::Done &&
                        (Outcome.Sends == 1 || !Outcome.Host.empty()) &&
                        Outcome.Status < 400;
  if (IsPlainSuccess) {
    this->Stats.observe("relay_answer_seconds", Outcome.Total);
    if (Outcome.Events > 0)
      this->Stats.observe("relay_first_event_seconds", Outcome.FirstEvent);
    if (this->Rng.below(SuccessesPerLogLine) != 0)
      return;
  }
  logEvent(
      IsPlainSuccess ? LogLevel::Info : LogLevel::Warning, "call_ended",
      {{"request", Call.Id},
       {"route", Call.Route ? Call.Route->Name : ""},
       {"team", Call.Team ? Call.Team->Name : ""},
       {"config_version", Call.Config ? Call.Config->Version : 0},
       {"resumes", Call.ResumedAttempt.value_or("").substr(0, MaxLoggedBytes)},
       {"end", nameOf(Outcome.End)},
       {"status", Outcome.Status},
       {"reason", make_error_code(Outcome.Reason).message()},
       {"target", Outcome.Target},
       {"forwarded_to", Outcome.Host},
       {"forwarded_by", Call.ForwardedBy},
       {"sends", Outcome.Sends},
       {"events", Outcome.Events},
       {"tokens_charged", Outcome.TokensCharged},
       {"tokens_wait_ms", millisecondsOf(Outcome.TokensWait)},
       {"queue_wait_ms", millisecondsOf(Outcome.QueueWait)},
       {"first_event_ms", millisecondsOf(Outcome.FirstEvent)},
       {"total_ms", millisecondsOf(Outcome.Total)}});
}

} // namespace bergamothook

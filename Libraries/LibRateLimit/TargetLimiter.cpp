#include "LibRateLimit/TargetLimiter.h"

#include "LibObserve/StructuredLog.h"
#include "LibPeer/MessageCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

constexpr Duration ReportInterval = std::chrono::seconds(4);
/// How long the end of a limit is remembered, so that late updates from other
/// hosts does not bring it back.
constexpr Duration PastLimitMemory = std::chrono::seconds(30);
/// A caller that returns sooner is likely to find the same targets at their
/// limits.
constexpr Duration MinReturnDelay = std::chrono::milliseconds(100);
/// When to request again after another host turned out not to be the home.
constexpr Duration NotHomeRetryInterval = std::chrono::milliseconds(500);

/// How often the notice that a target is cold is repeated to its home. Notices
/// may be lost.
constexpr Duration NoticeInterval = std::chrono::seconds(1);

const char *nameOf(SendKind Kind) {
  switch (Kind) {
  case SendKind::First:
    return "first";
  case SendKind::Resend:
    return "resend";
  case SendKind::Resumption:
    return "resumption";
  }
  return "unknown";
}

const char *nameOf(PermitStatus Status) {
  switch (Status) {
  case PermitStatus::Granted:
    return "granted";
  case PermitStatus::Refused:
    return "refused";
  case PermitStatus::NotHome:
    return "not_home";
  case PermitStatus::Leaving:
    return "leaving";
  }
  return "unknown";
}

nlohmann::json describeLimit(const StatedLimit &Limit) {
  if (Limit.perSecond())
    return *Limit.perSecond();
  return nullptr;
}

std::uint64_t microsecondsOf(Duration Span) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Span).count());
}

PermitResponse refusalOf(const PermitRefusal &Refusal) {
  return {0,
          PermitStatus::Refused,
          microsecondsOf(Refusal.RetryAfter),
          microsecondsOf(Refusal.NextRequestAfter),
          microsecondsOf(Refusal.ReturnInterval),
          {}};
}

PermitResponse refusalFor(PermitStatus Status, Duration NextRequestAfter) {
  PermitResponse Response =
      refusalOf({NextRequestAfter, NextRequestAfter, NextRequestAfter});
  Response.Status = Status;
  return Response;
}

} // namespace

TargetLimiter::TargetLimiter(LimiterPolicy Policy, LimiterHooks Hooks,
                             HostRoster &Roster, Metrics &Stats)
    : Policy(Policy), Hooks(std::move(Hooks)), Roster(Roster), Stats(Stats) {
  this->handle<PermitRequest>(
      LimitMessageKind::PermitRequest,
      [this](const Incarnation &From, const PermitRequest &Request) {
        this->onPermitRequest(From, Request);
      });
  this->handle<PermitResponse>(
      LimitMessageKind::PermitResponse,
      [this](const Incarnation &From, const PermitResponse &Response) {
        this->onPermitResponse(From, Response);
      });
  this->handle<ShareRequest>(
      LimitMessageKind::ShareRequest,
      [this](const Incarnation &From, const ShareRequest &Request) {
        this->onShareRequest(From, Request);
      });
  this->handle<ShareLease>(
      LimitMessageKind::ShareLease,
      [this](const Incarnation &From, const ShareLease &Lease) {
        this->onShareLease(From, Lease);
      });
  this->handle<ShareRelease>(
      LimitMessageKind::ShareRelease,
      [this](const Incarnation &From, const ShareRelease &Release) {
        this->onShareRelease(From, Release);
      });
  this->handle<ColdNotice>(
      LimitMessageKind::ColdNotice,
      [this](const Incarnation &, const ColdNotice &Notice) {
        this->Hooks.OnCold(Notice.report());
      });
}

template <typename Message>
void TargetLimiter::handle(
    LimitMessageKind Kind,
    std::function<void(const Incarnation &, const Message &)> Take) {
  this->Hooks.SetHandler(
      static_cast<std::uint16_t>(Kind),
      [Take = std::move(Take)](const Incarnation &From,
                               std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Read, decodeMessage<Message>(Body));
        if (!Read.isValid())
          return PeerError::Malformed;
        Take(From, Read);
        return success();
      });
}

template <typename Message>
void TargetLimiter::send(HostId To, LimitMessageKind Kind,
                         const Message &Body) {
  this->Hooks.Send(To, static_cast<std::uint16_t>(Kind), encodeMessage(Body));
}

TargetLimiter::LimitedTarget *TargetLimiter::find(const std::string &Key) {
  auto Found = this->Targets.find(Key);
  return Found == this->Targets.end() ? nullptr : &Found->second;
}

void TargetLimiter::onAnswer(const std::string &Key,
                             std::optional<double> PerSecond, TimePoint SentAt,
                             TimePoint Now) {
  LimitedTarget *Target = this->find(Key);
  if (!Target && !PerSecond)
    return;
  if (!Target)
    Target = &this->Targets[Key];
  if (Target->Limit.onAnswer(PerSecond, SentAt, Now))
    this->onLimitChanged(Key, *Target);
}

void TargetLimiter::mergeUpdate(const std::string &Key,
                                const LimitUpdate &Update) {
  LimitedTarget *Target = this->find(Key);
  if (!Target && !Update.IsLimited)
    return;
  if (!Target)
    Target = &this->Targets[Key];
  if (Target->Limit.merge(Update.observedBefore(this->Hooks.Tasks.Now())))
    this->onLimitChanged(Key, *Target);
}

LimitUpdate TargetLimiter::updateOf(const LimitedTarget &Target) const {
  return LimitUpdate::of(Target.Limit.newest(), this->Hooks.Tasks.Now());
}

void TargetLimiter::onLimitChanged(const std::string &Key,
                                   LimitedTarget &Target) {
  const std::optional<double> &PerSecond = Target.Limit.perSecond();
  // What was computed for the earlier limit no longer holds.
  Target.NextRequestAt = {};
  Target.NextReturn = {};
  if (Target.Pool && PerSecond)
    Target.Pool->setLimit(*PerSecond, this->Hooks.LeaseClock());
  logEvent(LogLevel::Warning, "target_limit_changed",
           {{"target", Key}, {"per_second", describeLimit(Target.Limit)}});
}

PermitDecision
TargetLimiter::acquire(const std::string &Key,
                       const std::function<bool()> &IsCancelled) {
  LimitedTarget *Target = this->find(Key);
  if (!Target || !Target->Limit.perSecond())
    return {true, {}};
  TimePoint Now = this->Hooks.Tasks.Now();
  if (Now < Target->NextRequestAt)
    return {false, Target->NextRequestAt - Now};
  if (Target->PendingRequests >= this->Policy.MaxPendingRequests)
    return {false, this->Policy.RequestRetryInterval};
  ++Target->PendingRequests;
  PermitResponse Response =
      refusalFor(PermitStatus::Refused, this->Policy.RequestRetryInterval);
  for (unsigned Tried = 0; Tried < this->Policy.MaxHomesTried; ++Tried) {
    Target = &this->Targets[Key];
    HostId Home = this->homeOf(Key, *Target);
    auto Answer = Home == this->self()
                      ? this->decide(Key, Home)
                      : this->requestPermit(Key, Home, IsCancelled);
    if (!Answer) // Another host takes the place of the home.
      continue;
    Response = *Answer;
    break;
  }
  // The entry may have expired while the task waited.
  if (LimitedTarget *Waiting = this->find(Key);
      Waiting && Waiting->PendingRequests > 0)
    --Waiting->PendingRequests;
  return this->applyResponse(Key, Response);
}

PermitDecision
TargetLimiter::acquireCold(const std::string &RunKey, const ColdLimit &Limit,
                           const std::function<bool()> &IsCancelled) {
  TimePoint RequestedAt = this->Hooks.LeaseClock();
  PermitDecision Permit{false, this->Policy.RequestRetryInterval};
  if (Limit.PerSecond > 0) {
    std::string Key = coldKey(RunKey, Limit.Shares);
    LimitedTarget &Target = this->Targets[Key];
    TimePoint Now = this->Hooks.Tasks.Now();
    Target.LastUsed = Now;
    if (Target.Limit.onAnswer(Limit.PerSecond, Now, Now))
      this->onLimitChanged(Key, Target);
    Permit = this->acquire(Key, IsCancelled);
  }
  Permit.RequestedAt = RequestedAt;
  this->Stats.count(Permit.IsGranted
                        ? "cold_target_permits_total{answer=\"granted\"}"
                        : "cold_target_permits_total{answer=\"refused\"}");
  return Permit;
}

void TargetLimiter::notifyHome(const std::string &Key, HostId Home) {
  auto Cold = parseColdKey(Key);
  LimitedTarget *Target = Cold ? this->find(Key) : nullptr;
  TimePoint Now = this->Hooks.Tasks.Now();
  if (!Target || (Target->NotifiedHome == Home &&
                  Now - Target->NotifiedAt < NoticeInterval))
    return;
  auto Report = this->Hooks.DescribeCold(Cold->RunKey);
  if (!Report)
    return;
  Target->NotifiedHome = Home;
  Target->NotifiedAt = Now;
  this->send(Home, LimitMessageKind::ColdNotice, ColdNotice::of(*Report));
}

LimitPoolPolicy TargetLimiter::poolPolicyOf(const std::string &Key) const {
  LimitPoolPolicy Chosen = this->Policy.Pool;
  if (parseColdKey(Key))
    Chosen.PermitLifetime = ColdPermitLifetime;
  return Chosen;
}

std::optional<PermitResponse>
TargetLimiter::requestPermit(const std::string &Key, HostId Home,
                             const std::function<bool()> &IsCancelled) {
  const Runtime &Tasks = this->Hooks.Tasks;
  TimePoint RequestedAt = this->Hooks.LeaseClock();
  std::uint64_t Number = ++this->LastNumber;
  PendingRequest &Pending = this->PendingRequests[Number];
  Pending.Home = Home;
  this->notifyHome(Key, Home);
  for (unsigned Sent = 0;
       Sent < this->Policy.MaxRequestAttempts && !IsCancelled(); ++Sent) {
    const LimitedTarget *Target = this->find(Key);
    this->send(Home, LimitMessageKind::PermitRequest,
               PermitRequest{Number, Key,
                             Target ? this->updateOf(*Target) : LimitUpdate{}});
    if (Tasks.waitUntil(Pending.Changed,
                        Tasks.Now() + this->Policy.RequestRetryInterval,
                        [&] { return Pending.Response.has_value(); }))
      break;
  }
  std::optional<PermitResponse> Response = Pending.Response;
  this->PendingRequests.erase(Number);
  if (!Response) {
    this->Stats.count("limit_permits_requested_total{answer=\"none\"}");
    if (!IsCancelled())
      this->Hooks.MarkSilent(Home);
    return std::nullopt;
  }
  this->Stats.count(std::string("limit_permits_requested_total{answer=\"") +
                    nameOf(Response->Status) + "\"}");
  this->mergeUpdate(Key, Response->Update);
  // This host was suspended meanwhile, and the permit may have been counted
  // long ago.
  if (Response->Status == PermitStatus::Granted &&
      this->Hooks.LeaseClock() - RequestedAt > PermitBucket::PermitLifetime)
    Response->Status = PermitStatus::Refused;
  if (Response->Status != PermitStatus::Leaving)
    return Response;
  this->Roster.markLeaving(Home, Tasks.Now());
  return std::nullopt;
}

PermitDecision TargetLimiter::applyResponse(const std::string &Key,
                                            const PermitResponse &Result) {
  if (Result.Status == PermitStatus::Granted)
    return {true, {}};
  Duration NextRequestAfter =
      std::chrono::microseconds(Result.NextRequestMicroseconds);
  LimitedTarget *Target = this->find(Key);
  if (!Target)
    return {false, NextRequestAfter};
  TimePoint Now = this->Hooks.Tasks.Now();
  ++Target->Recent.Refused;
  Target->NextRequestAt = Now + NextRequestAfter;
  Target->ReturnInterval =
      std::chrono::microseconds(Result.ReturnIntervalMicroseconds);
  Target->NextReturn = std::max(
      {Target->NextReturn, Target->NextRequestAt,
       Now + std::chrono::microseconds(Result.RetryAfterMicroseconds)});
  return {false, NextRequestAfter};
}

PermitResponse TargetLimiter::decide(const std::string &Key, HostId Requester) {
  LimitedTarget &Target = this->Targets[Key];
  // The cold period of a target ends at its own time at each host.
  if (!Target.Limit.perSecond() && parseColdKey(Key))
    return refusalFor(PermitStatus::Refused, NotHomeRetryInterval);
  // Another host observed the end of the limit.
  if (!Target.Limit.perSecond())
    return {0, PermitStatus::Granted, 0, 0, 0, this->updateOf(Target)};
  TimePoint LeaseNow = this->Hooks.LeaseClock();
  if (!Target.Pool) {
    Target.Pool.emplace(this->poolPolicyOf(Key));
    Target.Pool->setLimit(*Target.Limit.perSecond(), LeaseNow);
    this->beginRound(Key, Target);
    logEvent(LogLevel::Info, "target_limit_home_begun", {{"target", Key}});
  }
  bool IsGranted = Target.Pool->take(Requester, LeaseNow);
  PermitResponse Response;
  if (!IsGranted)
    Response = refusalOf(Target.Pool->refusal(LeaseNow));
  else
    Response.Status = PermitStatus::Granted;
  Response.Update = this->updateOf(Target);
  return Response;
}

void TargetLimiter::onPermitRequest(const Incarnation &From,
                                    const PermitRequest &Request) {
  this->mergeUpdate(Request.Target, Request.Update);
  PermitResponse Response;
  const LimitedTarget &Target = this->Targets[Request.Target];
  if (this->IsStopping)
    Response = refusalFor(PermitStatus::Leaving, Duration::zero());
  else if (this->hasActiveHome(Target) && *Target.Home != this->self())
    Response = refusalFor(PermitStatus::NotHome, NotHomeRetryInterval);
  else
    Response = this->decide(Request.Target, From.Host);
  Response.Number = Request.Number;
  Response.Update = this->updateOf(Target);
  this->send(From.Host, LimitMessageKind::PermitResponse, Response);
}

void TargetLimiter::onPermitResponse(const Incarnation &From,
                                     const PermitResponse &Response) {
  auto Found = this->PendingRequests.find(Response.Number);
  if (Found == this->PendingRequests.end() || Found->second.Home != From.Host)
    return; // It came after the request was given up.
  Found->second.Response = Response;
  Found->second.Changed.notify();
}

std::vector<HostId> TargetLimiter::holdersOf(const std::string &Key) const {
  auto Cold = parseColdKey(Key);
  std::size_t Shares =
      Cold ? std::min(Cold->Shares, this->Policy.Shares) : this->Policy.Shares;
  // A host that was removed a moment ago may have leased its share before.
  return this->Roster.firstHosts(
      Key, Shares, this->Hooks.Tasks.Now() - this->Policy.LeaseTime);
}

bool TargetLimiter::hasActiveHome(const LimitedTarget &Target) const {
  return Target.Home && this->Roster.isResponsive(*Target.Home) &&
         this->Hooks.LeaseClock() - Target.HomeRequestedAt <
             this->Policy.LeaseTime;
}

HostId TargetLimiter::homeOf(const std::string &Key,
                             const LimitedTarget &Target) const {
  return this->hasActiveHome(Target) ? *Target.Home
                                     : this->Roster.firstResponsive(Key);
}

void TargetLimiter::onLeasesRequested(const std::string &Key,
                                      LimitedTarget &Target, HostId From) {
  if (this->hasActiveHome(Target) && *Target.Home != From &&
      this->Roster.ranksBefore(Key, *Target.Home, From))
    return;
  Target.Home = From;
  Target.HomeRequestedAt = this->Hooks.LeaseClock();
}

bool TargetLimiter::leaseOwnShare(const std::string &Key, LimitedTarget &Target,
                                  HostId Lessee, std::uint64_t Round) {
  if (this->homeOf(Key, Target) != Lessee)
    return false;
  // Other hosts hold the share soon after this one was removed from the list.
  if (this->IsStopping && Lessee != this->self())
    return false;
  // An earlier process of this host may have leased the share, and other hosts
  // that started with this one may not be known yet.
  auto SettledAt = this->Roster.settledAt();
  if (!SettledAt ||
      this->Hooks.Tasks.Now() - *SettledAt < this->Policy.LeaseTime)
    return false;
  std::vector<HostId> Holders = this->holdersOf(Key);
  if (std::find(Holders.begin(), Holders.end(), this->self()) == Holders.end())
    return false;
  Target.LastUsed = this->Hooks.Tasks.Now();
  if (!Target.Share)
    Target.Share.emplace(this->Policy.LeaseTime);
  return Target.Share->lease(Lessee, Round, this->Hooks.LeaseClock());
}

void TargetLimiter::beginRound(const std::string &Key, LimitedTarget &Target) {
  TimePoint LeaseNow = this->Hooks.LeaseClock();
  std::uint64_t Round = ++this->LastNumber;
  Target.Pool->beginRound(Round, LeaseNow);
  this->onLeasesRequested(Key, Target, this->self());
  if (this->leaseOwnShare(Key, Target, this->self(), Round))
    Target.Pool->onLease(this->self(), Round, this->holdersOf(Key).size(),
                         LeaseNow);
  // Hosts without a share get the request too, since it tells them the limit.
  std::string Request =
      encodeMessage(ShareRequest{Round, Key, this->updateOf(Target)});
  auto Cold = parseColdKey(Key);
  auto Report = Cold ? this->Hooks.DescribeCold(Cold->RunKey) : std::nullopt;
  for (HostId Host : this->Roster.otherResponsiveHosts()) {
    this->Hooks.Send(Host,
                     static_cast<std::uint16_t>(LimitMessageKind::ShareRequest),
                     Request);
    if (Report)
      this->send(Host, LimitMessageKind::ColdNotice, ColdNotice::of(*Report));
  }
}

void TargetLimiter::onShareRequest(const Incarnation &From,
                                   const ShareRequest &Request) {
  this->mergeUpdate(Request.Target, Request.Update);
  LimitedTarget *Target = this->find(Request.Target);
  if (!Target)
    return;
  this->onLeasesRequested(Request.Target, *Target, From.Host);
  if (Target->Pool && this->homeOf(Request.Target, *Target) != this->self())
    this->closePool(Request.Target, *Target);
  bool IsLeased =
      Target->Limit.perSecond() &&
      this->leaseOwnShare(Request.Target, *Target, From.Host, Request.Round);
  LimitUpdate Update = this->updateOf(*Target);
  bool IsNewer = Update.AgeMicroseconds < Request.Update.AgeMicroseconds;
  if (!IsLeased && !IsNewer)
    return;
  this->send(From.Host, LimitMessageKind::ShareLease,
             ShareLease{Request.Round, Request.Target, IsLeased,
                        static_cast<std::uint32_t>(std::max<std::size_t>(
                            1, this->holdersOf(Request.Target).size())),
                        Update});
}

void TargetLimiter::onShareLease(const Incarnation &From,
                                 const ShareLease &Lease) {
  this->mergeUpdate(Lease.Target, Lease.Update);
  LimitedTarget *Target = this->find(Lease.Target);
  if (!Target || !Lease.IsLeased)
    return;
  if (Target->Pool)
    Target->Pool->onLease(From.Host, Lease.Round, Lease.Holders,
                          this->Hooks.LeaseClock());
  else
    this->send(From.Host, LimitMessageKind::ShareRelease,
               ShareRelease{Lease.Round, Lease.Target});
}

void TargetLimiter::onShareRelease(const Incarnation &From,
                                   const ShareRelease &Release) {
  LimitedTarget *Target = this->find(Release.Target);
  if (Target && Target->Share)
    Target->Share->release(From.Host, Release.Round, this->Hooks.LeaseClock());
}

void TargetLimiter::closePool(const std::string &Key, LimitedTarget &Target) {
  TimePoint LeaseNow = this->Hooks.LeaseClock();
  std::vector<HostId> Holders = Target.Pool->holders(LeaseNow);
  Target.Pool.reset();
  for (HostId Holder : Holders) {
    if (Holder == this->self())
      Target.Share->release(Holder, this->LastNumber, LeaseNow);
    else
      this->send(Holder, LimitMessageKind::ShareRelease,
                 ShareRelease{this->LastNumber, Key});
  }
  logEvent(LogLevel::Info, "target_limit_home_ended", {{"target", Key}});
}

void TargetLimiter::renewLeases() {
  if (this->Targets.empty())
    return;
  TimePoint LeaseNow = this->Hooks.LeaseClock();
  for (auto &[Key, Target] : this->Targets) {
    if (!Target.Pool)
      continue;
    if (!Target.Limit.perSecond() || Target.Pool->isIdle(LeaseNow))
      this->closePool(Key, Target);
    else if (Target.Pool->isRoundDue(LeaseNow))
      this->beginRound(Key, Target);
  }
}

void TargetLimiter::beginStop() {
  this->IsStopping = true;
  for (auto &[Key, Target] : this->Targets)
    if (Target.Pool)
      this->closePool(Key, Target);
}

Duration TargetLimiter::scheduleReturn(const std::vector<std::string> &Keys,
                                       TimePoint Now) {
  LimitedTarget *Earliest = nullptr;
  for (const std::string &Key : Keys)
    if (LimitedTarget *Target = this->find(Key))
      if (!Earliest || Target->NextReturn < Earliest->NextReturn)
        Earliest = Target;
  if (!Earliest)
    return MinReturnDelay;
  TimePoint At = std::max(Earliest->NextReturn, Now + MinReturnDelay);
  Earliest->NextReturn = At + Earliest->ReturnInterval;
  return At - Now;
}

void TargetLimiter::onSend(const std::string &Key, SendKind Kind) {
  LimitedTarget *Target = this->find(Key);
  if (!Target || !Target->Limit.perSecond())
    return;
  ++Target->Recent.Sends[Kind];
  this->Stats.count(std::string("limited_target_sends_total{kind=\"") +
                    nameOf(Kind) + "\"}");
}

void TargetLimiter::reportUse(TimePoint Now) {
  if (Now < this->NextReport)
    return;
  this->NextReport = Now + ReportInterval;
  for (auto &[Key, Target] : this->Targets) {
    if (Target.Recent.Sends.empty() && Target.Recent.Refused == 0)
      continue;
    nlohmann::json Fields{{"target", Key},
                          {"per_second", describeLimit(Target.Limit)},
                          {"refused", Target.Recent.Refused}};
    for (const auto &[Kind, Count] : Target.Recent.Sends)
      Fields[nameOf(Kind)] = Count;
    if (Target.Pool)
      Fields["share"] = Target.Pool->share(this->Hooks.LeaseClock());
    Target.Recent = {};
    logEvent(LogLevel::Info, "target_limit_use", Fields);
  }
}

void TargetLimiter::expire(
    const std::function<bool(const std::string &Key)> &IsListed,
    TimePoint Now) {
  std::erase_if(this->Targets, [&](auto &Each) {
    auto &[Key, Target] = Each;
    if (Target.Pool || Now - Target.Limit.newest().At < PastLimitMemory)
      return false;
    // A share of a cold period that may still be leased is not forgotten.
    if (parseColdKey(Key))
      return Now - Target.LastUsed >= PastLimitMemory;
    return !Target.Limit.perSecond() || !IsListed(Key);
  });
}

std::optional<double> TargetLimiter::limitOf(const std::string &Key) const {
  auto Found = this->Targets.find(Key);
  return Found == this->Targets.end() ? std::nullopt
                                      : Found->second.Limit.perSecond();
}

std::size_t TargetLimiter::limitedTargets() const {
  return static_cast<std::size_t>(std::count_if(
      this->Targets.begin(), this->Targets.end(), [](const auto &Each) {
        return Each.second.Limit.perSecond().has_value() &&
               !parseColdKey(Each.first);
      }));
}

} // namespace bergamothook

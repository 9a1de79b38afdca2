#include "LibRateLimit/LimitPool.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// How long a host that requested a permit counts as a competitor for permits.
constexpr Duration RequesterLifetime = std::chrono::seconds(2);
/// The longest pause between two requests of one host, unless the number of
/// hosts makes it longer. A limit that is raised takes effect within it.
constexpr Duration MaxRequestPause = std::chrono::seconds(1);
/// Assumed wait for a permit while this host has no share.
constexpr Duration NoShareRetryAfter = std::chrono::seconds(1);
/// The rate at a target that accepts nothing: only an answer can tell that it
/// accepts requests again.
constexpr double MinPerSecond = 0.05;

Duration durationOf(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

void LimitPool::setLimit(double PerSecond, TimePoint Now) {
  this->advance(Now);
  this->Limit = std::max(PerSecond, MinPerSecond);
  this->updateRate(Now);
}

void LimitPool::beginRound(std::uint64_t Round, TimePoint Now) {
  this->advance(Now);
  std::erase_if(this->Rounds, [&](const auto &Each) {
    return Now - Each.second >= this->Policy.LeaseUse;
  });
  this->Rounds[Round] = Now;
  bool IsFirst = this->RoundsBegun++ < this->Policy.FirstRenewals;
  this->NextRound = Now + (IsFirst ? this->Policy.FirstRenewalInterval
                                   : this->Policy.RenewalInterval);
}

void LimitPool::onLease(HostId Holder, std::uint64_t Round,
                        std::size_t HolderCount, TimePoint Now) {
  this->advance(Now);
  auto Begun = this->Rounds.find(Round);
  if (Begun == this->Rounds.end())
    return;
  // The holder leased it after the request was sent, so its lease ends later.
  TimePoint Until = Begun->second + this->Policy.LeaseUse;
  if (Until <= Now)
    return;
  Lease &Held = this->Leases[Holder];
  Held = {std::max(Held.UsableUntil, Until), HolderCount};
  this->updateRate(Now);
}

bool LimitPool::take(HostId Requester, TimePoint Now) {
  this->Requesters[Requester] = Now;
  this->LastRequest = Now;
  this->advance(Now);
  return this->Bucket.take(Now);
}

PermitRefusal LimitPool::refusal(TimePoint Now) {
  std::erase_if(this->Requesters, [Now](const auto &Each) {
    return Now - Each.second >= RequesterLifetime;
  });
  double Competitors = std::max<double>(1, this->Requesters.size());
  Duration MinPause =
      durationOf(Competitors / this->Policy.MaxRequestsPerSecond);
  Duration UntilNext = this->Bucket.untilNext(Now).value_or(NoShareRetryAfter);
  double Rate = this->Bucket.rate();
  Duration PermitInterval = Rate > 0 ? durationOf(1 / Rate) : NoShareRetryAfter;
  PermitRefusal Refusal;
  Refusal.NextRequestAfter =
      std::max(MinPause, std::min(UntilNext, MaxRequestPause));
  Refusal.ReturnInterval =
      Rate > 0 ? durationOf(Competitors / Rate) : NoShareRetryAfter;
  // The hosts' next callers return one after the other, within one interval.
  TimePoint First = Now + UntilNext;
  if (this->NextReturn < First ||
      this->NextReturn > First + Refusal.ReturnInterval)
    this->NextReturn = First;
  Refusal.RetryAfter = this->NextReturn - Now;
  this->NextReturn += PermitInterval;
  return Refusal;
}

double LimitPool::share(TimePoint Now) {
  this->advance(Now);
  return this->currentShare();
}

std::vector<HostId> LimitPool::holders(TimePoint Now) {
  this->advance(Now);
  std::vector<HostId> Valid;
  for (const auto &[Holder, Held] : this->Leases)
    Valid.push_back(Holder);
  return Valid;
}

/// Ends leases at their times, so that each yields permits until its end only.
void LimitPool::advance(TimePoint Now) {
  for (;;) {
    auto First = std::min_element(this->Leases.begin(), this->Leases.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.second.UsableUntil <
                                           Right.second.UsableUntil;
                                  });
    if (First == this->Leases.end() || First->second.UsableUntil > Now)
      return;
    TimePoint EndedAt = First->second.UsableUntil;
    this->Leases.erase(First);
    this->updateRate(EndedAt);
  }
}

double LimitPool::currentShare() const {
  double Sum = 0;
  for (const auto &[Holder, Held] : this->Leases)
    Sum += 1 / static_cast<double>(Held.Holders);
  return std::min(Sum, 1.0);
}

void LimitPool::updateRate(TimePoint Now) {
  this->Bucket.setRate(this->Limit * this->currentShare(), Now);
}

} // namespace bergamothook

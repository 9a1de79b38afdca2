#include "LibBase/Random.h"
#include "LibRateLimit/LimitMessages.h"
#include "LibRateLimit/LimitPool.h"
#include "LibRateLimit/LimitShare.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1h};
constexpr double ColdPerSecond = 14;
constexpr std::size_t MaxShares = 8;

double allowed(double PerSecond, ColdBounds Bounds) {
  return PerSecond * Bounds.Overshoot + Bounds.Slack;
}

} // namespace

TEST_CASE("the rate of a cold target leaves room for what permits allow "
          "beyond it in one second") {
  ColdLimit Limit = coldLimit(ColdPerSecond, {}, MaxShares);
  CHECK(Limit.Shares == MaxShares);
  CHECK(Limit.PerSecond >= 0.8 * ColdPerSecond);
  CHECK(Limit.PerSecond < ColdPerSecond);
  CHECK(mostInOneSecond(Limit) <= allowed(ColdPerSecond, {}) + 1e-9);
}

TEST_CASE("a low rate is divided into fewer shares, and nothing is sent where "
          "the bounds leave no room") {
  ColdLimit Low = coldLimit(1, {}, MaxShares);
  CHECK(Low.Shares < MaxShares);
  CHECK(Low.PerSecond >= 0.8);
  CHECK(mostInOneSecond(Low) <= allowed(1, {}) + 1e-9);
  CHECK(coldLimit(1, {1, 0}, MaxShares).PerSecond == 0);
  CHECK(coldLimit(0, {}, MaxShares).PerSecond == 0);
}

TEST_CASE("whatever the rate and the bounds, the permits of one second stay "
          "within them") {
  CHECK(rc::check(
      [](unsigned short Tenths, unsigned char Overshoot, unsigned char Slack) {
        double PerSecond = Tenths / 10.0;
        ColdBounds Bounds{Overshoot / 50.0, Slack / 10.0};
        ColdLimit Limit = coldLimit(PerSecond, Bounds, MaxShares);
        return Limit.PerSecond <= PerSecond && Limit.Shares >= 1 &&
               Limit.Shares <= MaxShares &&
               mostInOneSecond(Limit) <= allowed(PerSecond, Bounds) + 1e-9;
      }));
}

TEST_CASE("the key of a cold period names its shares, and that of a stated "
          "limit is no such key") {
  auto Parts = parseColdKey(coldKey("id#17", 3));
  REQUIRE(Parts);
  CHECK(Parts->RunKey == "id#17");
  CHECK(Parts->Shares == 3);
  for (const char *Key : {"id#17", "id#cold#17", "id#17#cold", "id#17#cold0",
                          "id#17#coldx", "id#17#cold-1", ""})
    CHECK_FALSE(parseColdKey(Key));
}

TEST_CASE("a notice of a cold period whose time is out of range is refused") {
  CHECK(ColdNotice{"id#1", 3'000'000, 7}.isValid());
  CHECK_FALSE(ColdNotice{"id#1", 1ULL << 62, 7}.isValid());
  CHECK_FALSE(ColdNotice{std::string(1000, 'x'), 1, 7}.isValid());
  ColdReport Report = ColdNotice::of({"id#1", 2500ms, 9}).report();
  CHECK(Report.Left == 2500ms);
  CHECK(Report.Sequence == 9);
}

namespace {

/// A defect that the generated schedules have to find.
enum class Defect {
  None,
  UsesEndedLeases,
  LeasesAfterRestart,
  CountsFewerShares,
};

constexpr Duration Tick = 10ms;
constexpr Duration HolderLeaseTime = 3s;

/// Hosts of which each takes itself for the home of one cold target at times,
/// and sends as often as it gets permits. Leases are lost or arrive late, hosts
/// restart, and permits are used late.
class SharingHosts {
public:
  SharingHosts(std::size_t Count, std::uint64_t Seed, Defect Injected)
      : Rng(Seed), Injected(Injected),
        Limit(coldLimit(ColdPerSecond, {}, MaxShares)),
        Holders(std::min(Count, Limit.Shares)) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Hosts.push_back(
          {this->makePool(), LimitShare(HolderLeaseTime), Begin});
  }

  /// \returns the most requests that the target got in one second.
  std::size_t run(Duration Span) {
    for (Now = Begin; Now < Begin + Span; Now += Tick)
      this->step();
    std::sort(this->Arrivals.begin(), this->Arrivals.end());
    std::size_t Most = 0;
    std::deque<TimePoint> Window;
    for (TimePoint At : this->Arrivals) {
      Window.push_back(At);
      while (At - Window.front() >= 1s)
        Window.pop_front();
      Most = std::max(Most, Window.size());
    }
    return Most;
  }

  std::size_t sent() const { return this->Arrivals.size(); }

private:
  struct Host {
    LimitPool Pool;
    LimitShare Share;
    TimePoint LeasesFrom;
  };

  struct LateLease {
    std::size_t To;
    std::size_t Holder;
    std::uint64_t Round;
    TimePoint At;
  };

  LimitPool makePool() {
    LimitPoolPolicy Policy;
    Policy.PermitLifetime = ColdPermitLifetime;
    if (this->Injected == Defect::UsesEndedLeases)
      Policy.LeaseUse = 3 * HolderLeaseTime;
    LimitPool Pool(Policy);
    Pool.setLimit(this->Limit.PerSecond, this->Now);
    return Pool;
  }

  void step() {
    if (this->Rng.chance(0.01))
      this->HasDemand = !this->HasDemand;
    if (this->Rng.chance(0.005))
      this->restart(this->Rng.below(this->Hosts.size()));
    // Neighbours restart together.
    if (this->Rng.chance(0.01)) {
      std::size_t First = this->Rng.below(this->Hosts.size());
      std::size_t Count = 1 + this->Rng.below(2 * MaxShares);
      for (std::size_t I = 0; I < std::min(Count, this->Hosts.size()); ++I)
        this->restart((First + I) % this->Hosts.size());
    }
    if (this->Rng.chance(0.1))
      this->requestLeases(this->Rng.below(this->Hosts.size()));
    for (const LateLease &Each : this->Late)
      if (Each.At <= this->Now)
        this->Hosts[Each.To].Pool.onLease(HostId(Each.Holder), Each.Round,
                                          this->countedShares(), this->Now);
    std::erase_if(this->Late, [this](const LateLease &Each) {
      return Each.At <= this->Now;
    });
    if (!this->HasDemand)
      return;
    for (std::size_t I = 0; I < this->Hosts.size(); ++I)
      while (this->Hosts[I].Pool.take(HostId(I), this->Now))
        this->Arrivals.push_back(
            this->Now +
            Duration(static_cast<Duration::rep>(this->Rng.below(
                static_cast<std::uint64_t>(MaxColdPermitAge.count())))));
  }

  void restart(std::size_t Index) {
    Duration Wait =
        this->Injected == Defect::LeasesAfterRestart ? 0s : HolderLeaseTime;
    this->Hosts[Index] = {this->makePool(), LimitShare(HolderLeaseTime),
                          this->Now + Wait};
    std::erase_if(this->Late,
                  [Index](const LateLease &Each) { return Each.To == Index; });
  }

  void requestLeases(std::size_t Home) {
    ++this->Round;
    this->Hosts[Home].Pool.beginRound(this->Round, this->Now);
    for (std::size_t Holder = 0; Holder < this->Holders; ++Holder) {
      Host &Each = this->Hosts[Holder];
      if (this->Rng.chance(0.3) || this->Now < Each.LeasesFrom ||
          !Each.Share.lease(HostId(Home), this->Round, this->Now))
        continue;
      this->Late.push_back(
          {Home, Holder, this->Round,
           this->Now + std::chrono::milliseconds(this->Rng.below(500))});
    }
  }

  std::size_t countedShares() const {
    return this->Injected == Defect::CountsFewerShares
               ? std::max<std::size_t>(1, this->Holders / 3)
               : this->Holders;
  }

  Random Rng;
  Defect Injected;
  ColdLimit Limit;
  std::size_t Holders;
  TimePoint Now = Begin;
  std::vector<Host> Hosts;
  std::vector<LateLease> Late;
  std::vector<TimePoint> Arrivals;
  std::uint64_t Round = 0;
  bool HasDemand = true;
};

constexpr Duration ScheduleSpan = 20s;
constexpr std::size_t MaxHosts = 79;

} // namespace

TEST_CASE("whatever hosts restart, lose leases or take themselves for the "
          "home, a cold target gets no more in one second than it bears") {
  CHECK(rc::check([](std::uint64_t Seed) {
    auto Count = *rc::gen::inRange<std::size_t>(1, MaxHosts + 1);
    SharingHosts Hosts(Count, Seed, Defect::None);
    RC_ASSERT(Hosts.run(ScheduleSpan) <= allowed(ColdPerSecond, {}));
  }));
}

TEST_CASE("generated schedules find leases that are used after their end, a "
          "holder that leases right after its restart and a wrong number of "
          "shares") {
  for (Defect Injected : {Defect::UsesEndedLeases, Defect::LeasesAfterRestart,
                          Defect::CountsFewerShares}) {
    bool IsFound = false;
    for (std::uint64_t Seed = 1; Seed <= 100 && !IsFound; ++Seed)
      IsFound =
          SharingHosts(1 + Seed % MaxHosts, Seed, Injected).run(ScheduleSpan) >
          allowed(ColdPerSecond, {});
    CAPTURE(static_cast<int>(Injected));
    CHECK(IsFound);
  }
}

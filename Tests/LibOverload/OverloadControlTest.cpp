#include "LibOverload/OverloadControl.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <numeric>
#include <vector>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr Duration Interval = 200ms;
constexpr TimePoint Start{1h};
constexpr double LinkBytesPerSecond = 1.25e6;

/// A host with a link of 10 Mbit/s that carries given loads one after the
/// other.
struct LoadedHost {
  explicit LoadedHost(std::uint64_t Seed = 1)
      : Control({}, {LinkBytesPerSecond, 4000, 16'000'000}, Seed) {}

  void carry(double BytesPerSecond, Duration For) {
    for (Duration Span{}; Span < For; Span += Interval) {
      this->Now += Interval;
      this->Usage.BytesReceived += static_cast<std::uint64_t>(
          std::min(BytesPerSecond, LinkBytesPerSecond) *
          std::chrono::duration<double>(Interval).count());
      this->Control.update(this->Usage, this->Now);
    }
  }

  OverloadControl Control;
  HostUsage Usage;
  TimePoint Now = Start;
};

} // namespace

TEST_CASE("nothing changes at a host whose link is far from full") {
  LoadedHost Host;
  Host.carry(0.4 * LinkBytesPerSecond, 60s);
  CHECK_FALSE(Host.Control.isOverloaded());
  for (int I = 0; I < 1000; ++I) {
    CHECK_FALSE(Host.Control.endsConnection());
    CHECK_FALSE(Host.Control.refuse({9, 4'000'000}, Host.Now));
  }
}

TEST_CASE("a host that callers keep from reading the configuration starts no "
          "call by an old one") {
  auto AdmittedOf = [](LoadedHost &Host, int Calls) {
    int Admitted = 0;
    for (int I = 0; I < Calls; ++I)
      Admitted += Host.Control.refuse({0, 100}, Host.Now) ? 0 : 1;
    return Admitted;
  };
  LoadedHost Host;
  Host.carry(LinkBytesPerSecond, 5s);
  CHECK(AdmittedOf(Host, 1000) > 0);
  Host.Usage.HasOldConfig = true;
  Host.carry(LinkBytesPerSecond, Interval);
  CHECK(AdmittedOf(Host, 1000) == 0);
  // While the store is away, a link with room carries its calls as before.
  Host.carry(0.5 * LinkBytesPerSecond, 5s);
  CHECK(Host.Control.isOverloaded());
  CHECK(AdmittedOf(Host, 1000) == 1000);
  Host.Usage.HasOldConfig = false;
  Host.carry(LinkBytesPerSecond, 5s);
  CHECK(AdmittedOf(Host, 1000) > 0);
}

TEST_CASE("a host whose capacity is not known is not overloaded") {
  OverloadControl Unknown({}, {}, 1);
  HostUsage Usage;
  for (int I = 0; I < 50; ++I) {
    Usage.BytesSent += 1'000'000'000;
    Usage.Descriptors = 100'000;
    Unknown.update(Usage, Start + I * Interval);
  }
  CHECK_FALSE(Unknown.isOverloaded());
}

TEST_CASE(
    "a full link makes the host overloaded within a second, until the load "
    "was low for a while; the load balancer needs two seconds to notice") {
  LoadedHost Host;
  Host.carry(0.3 * LinkBytesPerSecond, 10s);
  Host.carry(LinkBytesPerSecond, 1s);
  CHECK(Host.Control.isOverloaded());
  CHECK(Host.Control.overloadedBy() == HostResource::LinkReceive);
  Host.carry(0, 1s);
  CHECK(Host.Control.isOverloaded());
  Host.carry(0, 5s);
  CHECK_FALSE(Host.Control.isOverloaded());
  // Between the thresholds nothing changes, but the host does not stay unready
  // without end.
  Host.carry(0.5 * LinkBytesPerSecond, 20s);
  CHECK_FALSE(Host.Control.isOverloaded());
  Host.carry(LinkBytesPerSecond, 2s);
  Host.carry(0.5 * LinkBytesPerSecond, 5s);
  CHECK(Host.Control.isOverloaded());
  Host.carry(0.5 * LinkBytesPerSecond, 5s);
  CHECK_FALSE(Host.Control.isOverloaded());
}

TEST_CASE("descriptors and message memory near their limits make the host "
          "overloaded too") {
  LoadedHost Host;
  SUBCASE("descriptors") { Host.Usage.Descriptors = 3900; }
  SUBCASE("memory") { Host.Usage.MessageBytes = 15'800'000; }
  Host.carry(0, 3s);
  CHECK(Host.Control.isOverloaded());
}

// A host with 0.78 of its descriptors in use stayed unready with an idle link.
TEST_CASE("an overload ends with the resource that caused it, whatever else is "
          "between its thresholds") {
  LoadedHost Host;
  Host.Usage.Descriptors = 3200;
  Host.carry(LinkBytesPerSecond, 3s);
  REQUIRE(Host.Control.isOverloaded());
  Host.carry(0, 5s);
  CHECK_FALSE(Host.Control.isOverloaded());
}

TEST_CASE("what the kernel received while the process was suspended is no "
          "overload") {
  LoadedHost Host;
  Host.carry(0.3 * LinkBytesPerSecond, 5s);
  Host.Now += 3s;
  Host.Usage.BytesReceived += static_cast<std::uint64_t>(LinkBytesPerSecond);
  for (int I = 0; I < 20; ++I) {
    Host.carry(0.3 * LinkBytesPerSecond, Interval);
    CHECK_FALSE(Host.Control.isOverloaded());
    CHECK_FALSE(Host.Control.refuse({9, 100'000}, Host.Now));
  }
}

TEST_CASE("a full link refuses the least urgent calls first, the longest of a "
          "rank first, and more of them as long as the link is full") {
  LoadShedder Shedder({}, 1);
  for (int I = 0; I < 4; ++I)
    Shedder.update(1.0);
  TimePoint Now = Start;
  std::array<int, 4> Admitted{};
  for (int I = 0; I < 2000; ++I) {
    Now += 2ms;
    // Three quarters of the bytes are of long calls.
    const std::array<CallDemand, 4> Calls{
        {{0, 1000}, {0, 20'000}, {2, 1000}, {2, 20'000}}};
    for (std::size_t Class = 0; Class < Calls.size(); ++Class)
      Admitted[Class] += Shedder.admit(Calls[Class], Now) ? 1 : 0;
  }
  CHECK(Admitted[0] >= 1990);
  CHECK(Admitted[1] >= 1990);
  CHECK(Admitted[3] < 400);
  CHECK(Admitted[2] > Admitted[3]);
  for (int I = 0; I < 10; ++I)
    Shedder.update(0.5);
  CHECK(Shedder.refusedFraction() == 0);
}

namespace {

/// What of a full link goes first.
enum class FirstOnLink { Callers, Store };

/// A host whose callers and store share its link. What does not fit waits and
/// arrives as soon as there is room.
struct ReadingHost {
  ReadingHost(std::uint64_t Seed, FirstOnLink First)
      : Host(Seed), First(First) {}

  /// The host requests \p Bytes from the store.
  void read(double Bytes) { this->StoreQueue += Bytes; }

  void carry(double CallerBytesPerSecond, Duration For) {
    for (Duration Span{}; Span < For; Span += Interval) {
      double Seconds = std::chrono::duration<double>(Interval).count();
      this->CallerQueue += CallerBytesPerSecond * Seconds;
      double Room = LinkBytesPerSecond * Seconds;
      double OfStore = std::min(this->StoreQueue,
                                this->First == FirstOnLink::Store
                                    ? Room
                                    : std::max(0.0, Room - this->CallerQueue));
      double OfCallers = std::min(this->CallerQueue, Room - OfStore);
      this->StoreQueue -= OfStore;
      this->CallerQueue -= OfCallers;
      this->Host.Usage.OwnBytesReceived += static_cast<std::uint64_t>(OfStore);
      // Each request of a caller has an answer of half its size.
      this->Host.Usage.BytesSent += static_cast<std::uint64_t>(OfCallers / 2);
      this->Host.carry((OfStore + OfCallers) / Seconds, Interval);
      OverloadControl &Control = this->Host.Control;
      this->WasOverloaded = this->WasOverloaded || Control.isOverloaded();
      this->HasActed = this->HasActed || Control.endsConnection() ||
                       Control.refuse({9, 100'000}, this->Host.Now);
    }
  }

  LoadedHost Host;
  FirstOnLink First;
  double CallerQueue = 0;
  double StoreQueue = 0;
  bool WasOverloaded = false;
  bool HasActed = false;
};

/// Tries \p Scenario with thresholds of several seeds and both orders on the
/// link.
void forEachReadingHost(const std::function<void(ReadingHost &)> &Scenario) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed)
    for (FirstOnLink First : {FirstOnLink::Callers, FirstOnLink::Store}) {
      CAPTURE(Seed);
      bool IsStoreFirst = First == FirstOnLink::Store;
      CAPTURE(IsStoreFirst);
      ReadingHost Host(Seed, First);
      Host.Host.Usage.CallerConnections = 200;
      Scenario(Host);
    }
}

constexpr double ModerateLoad = 0.35 * LinkBytesPerSecond;

} // namespace

// Half of a fleet left rotation within two seconds as each host read a
// configuration that filled its link.
TEST_CASE("a host that reads from the store is not overloaded by it, nor by "
          "the callers' bytes that waited meanwhile") {
  std::function<void(ReadingHost &)> Scenario;
  SUBCASE("one configuration, for a second") {
    Scenario = [](ReadingHost &Host) {
      Host.read(LinkBytesPerSecond);
      Host.carry(ModerateLoad, 10s);
    };
  }
  SUBCASE("six in a row") {
    Scenario = [](ReadingHost &Host) {
      for (int I = 0; I < 6; ++I) {
        Host.read(LinkBytesPerSecond);
        Host.carry(ModerateLoad, 5s);
      }
    };
  }
  SUBCASE("a storm of small ones, for 3 s") {
    Scenario = [](ReadingHost &Host) {
      for (int I = 0; I < 15; ++I) {
        Host.read(0.15 * LinkBytesPerSecond);
        Host.carry(ModerateLoad, Interval);
      }
      Host.carry(ModerateLoad, 10s);
    };
  }
  SUBCASE("more than it can read beside few callers, without end") {
    Scenario = [](ReadingHost &Host) {
      Host.read(1000 * LinkBytesPerSecond);
      Host.carry(0.1 * LinkBytesPerSecond, 300s);
    };
  }
  forEachReadingHost([&](ReadingHost &Host) {
    Host.carry(ModerateLoad, 10s);
    Scenario(Host);
    CHECK_FALSE(Host.WasOverloaded);
    CHECK_FALSE(Host.HasActed);
  });
}

TEST_CASE("callers that fill the link make the host overloaded within a second "
          "while it reads from the store, and after that") {
  std::function<void(ReadingHost &)> Scenario;
  SUBCASE("beside small reads") {
    Scenario = [](ReadingHost &Host) {
      for (int I = 0; I < 5; ++I) {
        Host.read(0.05 * LinkBytesPerSecond);
        Host.carry(LinkBytesPerSecond, Interval);
      }
    };
  }
  SUBCASE("after a configuration") {
    Scenario = [](ReadingHost &Host) {
      Host.read(LinkBytesPerSecond);
      Host.carry(ModerateLoad, 4s);
      Host.carry(LinkBytesPerSecond, 1s);
    };
  }
  SUBCASE("as a configuration arrives, which may be first on the link") {
    Scenario = [](ReadingHost &Host) {
      Host.read(LinkBytesPerSecond / 2);
      Host.carry(LinkBytesPerSecond, 500ms + 1s);
    };
  }
  forEachReadingHost([&](ReadingHost &Host) {
    Host.carry(ModerateLoad, 10s);
    Scenario(Host);
    CHECK(Host.WasOverloaded);
    CHECK(Host.Host.Control.overloadedBy() == HostResource::LinkReceive);
  });
}

TEST_CASE("a host that reads half of its link's bytes for long carries fewer "
          "callers, without being overloaded by few") {
  forEachReadingHost([](ReadingHost &Host) {
    auto ReadAndCarry = [&](double CallerLoad, Duration For) {
      for (Duration Span{}; Span < For; Span += Interval) {
        Host.read(0.5 * LinkBytesPerSecond / 5);
        Host.carry(CallerLoad, Interval);
      }
    };
    ReadAndCarry(0.15 * LinkBytesPerSecond, 180s);
    CHECK_FALSE(Host.WasOverloaded);
    ReadAndCarry(0.4 * LinkBytesPerSecond, 5s);
    CHECK(Host.WasOverloaded);
  });
}

namespace {

/// The callers of one team at 23 hosts behind a load balancer. A caller's new
/// connection goes to the first host in its order that is in rotation.
class TeamLoadSimulation {
public:
  static constexpr std::size_t Hosts = 23;
  /// 700 calls a second, of 2.9 KB in each direction.
  static constexpr std::size_t Connections = 350;
  static constexpr double CallsPerSecond = 2;
  static constexpr double BytesPerCall = 2900;

  explicit TeamLoadSimulation(std::uint64_t Seed)
      : Rng(Seed), Places(Connections, 0) {
    for (std::size_t I = 0; I < Hosts; ++I)
      this->Fleet.emplace_back(Seed * 100 + I);
  }

  void step() {
    std::vector<double> Offered(Hosts);
    for (LoadedHost &Each : this->Fleet)
      Each.Usage.CallerConnections = 0;
    for (std::size_t &Place : this->Places) {
      Offered[Place] += CallsPerSecond * BytesPerCall;
      ++this->Fleet[Place].Usage.CallerConnections;
      bool Answers = this->Rng.chance(
          CallsPerSecond * std::chrono::duration<double>(Interval).count());
      if (Answers && this->Fleet[Place].Control.endsConnection()) {
        Place = this->firstInRotation();
        ++this->Moves;
      }
    }
    for (std::size_t I = 0; I < Hosts; ++I)
      this->Fleet[I].carry(Offered[I], Interval);
    this->MostOffered = *std::max_element(Offered.begin(), Offered.end());
    if (++this->Steps % 5 == 0)
      this->checkReadiness();
  }

  double MostOffered = 0;
  std::size_t Moves = 0;

private:
  void checkReadiness() {
    for (std::size_t I = 0; I < Hosts; ++I) {
      bool IsReady = !this->Fleet[I].Control.isOverloaded();
      this->Misses[I] = IsReady ? 0 : this->Misses[I] + 1;
    }
  }

  std::size_t firstInRotation() const {
    auto IsIn = [](int Misses) { return Misses < 2; };
    auto Found = std::find_if(this->Misses.begin(), this->Misses.end(), IsIn);
    return Found == this->Misses.end()
               ? 0
               : static_cast<std::size_t>(Found - this->Misses.begin());
  }

  Random Rng;
  std::vector<LoadedHost> Fleet;
  /// The host of each connection.
  std::vector<std::size_t> Places;
  std::vector<int> Misses = std::vector<int>(Hosts);
  int Steps = 0;
};

} // namespace

// The callers of one team entered at one host of 10 Mbit/s, which failed for
// half a minute while the other hosts were idle.
TEST_CASE("the load of a team that enters at one small host spreads over other "
          "hosts, without filling the link of the next one") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    TeamLoadSimulation Team(Seed);
    constexpr int StepsToSpread = 50;
    constexpr int StepsAfterwards = 150;
    for (int I = 0; I < StepsToSpread; ++I)
      Team.step();
    int Full = 0;
    Team.Moves = 0;
    for (int I = 0; I < StepsAfterwards; ++I) {
      Team.step();
      Full += Team.MostOffered > LinkBytesPerSecond ? 1 : 0;
    }
    CAPTURE(Seed);
    CAPTURE(Team.Moves);
    CHECK(Full == 0);
    // Less than one move a second for every ten connections.
    CHECK(Team.Moves < TeamLoadSimulation::Connections / 10 * 30);
  }
}

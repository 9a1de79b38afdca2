#include "LibRelay/CallAdmission.h"

#include "LibBase/Random.h"
#include "LibObserve/StructuredLog.h"
#include "LibTask/VirtualRuntime.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// What the callers of one kind got.
struct Tally {
  int Served = 0;
  int TargetsFull = 0;
  int Refused = 0;
  int GivenUp = 0;
  /// Refused or served after more than a check interval.
  int Waited = 0;
  Duration LongestWait{};
  /// The sum of the waits of those that were served.
  Duration ServedWait{};
  int RefusedAtOnce = 0;
  Duration SmallestRetryAfter = Duration::max();

  int all() const {
    return this->Served + this->TargetsFull + this->Refused + this->GivenUp;
  }
  Duration meanWait() const {
    return this->Served ? this->ServedWait / this->Served : Duration::zero();
  }
};

/// Callers of one kind.
struct Load {
  std::string Team;
  double PerSecond = 0;
  int Priority = 5;
  std::int64_t PromptTokens = 300;
  std::int64_t MaxOutputTokens = 100;
  Duration Service = 500ms;
};

/// One service with a number of slots behind one queue, in virtual time. A call
/// that finds no free slot is answered "full".
class LoadedService {
public:
  explicit LoadedService(int Slots) : Slots(Slots) {
    startLogging("test", "test", LogLevel::Error);
    this->Route.Objective = 600ms;
  }

  /// Sends the calls of all loads, evenly spread, and returns what each got.
  std::vector<Tally> play(const std::vector<Load> &Loads, Duration Length) {
    std::vector<Tally> Tallies(Loads.size());
    TimePoint Begin = this->Simulated.now();
    for (std::size_t I = 0; I < Loads.size(); ++I)
      this->Simulated.hooks().Spawn([this, &Loads, &Tallies, I, Begin, Length] {
        Duration Gap = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1 / Loads[I].PerSecond));
        for (TimePoint At = Begin + Gap / 2; At < Begin + Length; At += Gap) {
          this->Simulated.hooks().sleepUntil(At);
          this->Simulated.hooks().Spawn([this, &Loads, &Tallies, I] {
            this->call(Loads[I], Tallies[I]);
          });
        }
      });
    this->Simulated.runFor(Length + 10s);
    return Tallies;
  }

  void call(const Load &Kind, Tally &Got) {
    RelayTeam Team;
    Team.Name = Kind.Team;
    Team.Priority = Kind.Priority;
    RelayCall Call;
    Call.Route = &this->Route;
    Call.Team = &Team;
    Call.PromptTokens = Kind.PromptTokens;
    Call.MaxOutputTokens = Kind.MaxOutputTokens;
    TimePoint Arrived = this->Simulated.now();
    CallPlace Place(this->Queues, "engines");
    auto Refusal = Place.await(admissionRequestOf(Call, Arrived, Arrived + 10s),
                               nullptr, [this] { return this->IsStopping; });
    Duration Waited = this->Simulated.now() - Arrived;
    Got.LongestWait = std::max(Got.LongestWait, Waited);
    Got.Waited += Waited > Duration::zero() ? 1 : 0;
    if (Refusal && Refusal->Reason == RoutingError::Abandoned) {
      ++Got.GivenUp;
      return;
    }
    if (Refusal) {
      ++Got.Refused;
      Got.RefusedAtOnce += Waited == Duration::zero() ? 1 : 0;
      Got.SmallestRetryAfter =
          std::min(Got.SmallestRetryAfter, Refusal->RetryAfter);
      return;
    }
    if (this->Busy >= this->Slots) {
      this->Simulated.hooks().sleepUntil(this->Simulated.now() + 2ms);
      Place.onTargetFull();
      ++Got.TargetsFull;
      return;
    }
    ++this->Busy;
    this->MostBusy = std::max(this->MostBusy, this->Busy);
    this->Simulated.hooks().sleepUntil(this->Simulated.now() +
                                       this->FirstEventAfter);
    Place.onFirstEvent(this->FirstEventAfter);
    this->Simulated.hooks().sleepUntil(this->Simulated.now() + Kind.Service -
                                       this->FirstEventAfter);
    --this->Busy;
    ++Got.Served;
    Got.ServedWait += Waited;
  }

  int Slots;
  int Busy = 0;
  int MostBusy = 0;
  bool IsStopping = false;
  Duration FirstEventAfter = 50ms;
  RelayRoute Route;
  VirtualRuntime Simulated;
  Metrics Stats;
  CallAdmission Queues{{}, this->Simulated.hooks(), this->Stats};
};

} // namespace

// Guards against waits, limits and growing state under an ordinary load, whose
// targets are full at times.
TEST_CASE("under a calm load no call waits, nothing is limited, and an idle "
          "service has no state") {
  LoadedService Service(30);
  std::vector<Tally> Got = Service.play(
      {{"a", 20}, {"b", 20}, {"reports", 1, 9, 12'000, 300, 3s}}, 60s);
  for (const Tally &Each : Got) {
    CHECK(Each.Waited == 0);
    CHECK(Each.Refused == 0);
    CHECK(Each.Served == Each.all());
  }
  CHECK(!Service.Queues.limit("engines"));
  CHECK(Service.Queues.inProgress("engines") == 0);
  Service.Queues.exportMetrics(Service.Simulated.now());
  CHECK(Service.Queues.services() == 0);
  CHECK(
      Service.Stats.value("relay_admission_started_total{waited=\"false\"}") ==
      Got[0].all() + Got[1].all() + Got[2].all());
  CHECK(Service.Stats.value("relay_admission_started_total{waited=\"true\"}") ==
        0);
}

// A team with eight times its usual load delayed all others.
TEST_CASE("a team with eight times its usual load delays itself, not others") {
  LoadedService Service(40);
  std::vector<Tally> Got =
      Service.play({{"busy", 160}, {"b", 20}, {"c", 20}, {"d", 20}}, 30s);
  for (std::size_t I = 1; I < Got.size(); ++I) {
    MESSAGE("team ", I, ": served ", Got[I].Served, " of ", Got[I].all(),
            ", full ", Got[I].TargetsFull, ", mean wait ms ",
            Got[I].meanWait().count() / 1'000'000);
    CHECK(Got[I].Served >= Got[I].all() * 9 / 10);
    CHECK(Got[I].meanWait() < 150ms);
  }
  MESSAGE("busy team: served ", Got[0].Served, " of ", Got[0].all(), ", full ",
          Got[0].TargetsFull, ", refused at once ", Got[0].RefusedAtOnce,
          " of ", Got[0].Refused);
  // 40 slots of half a second carry 80 calls a second, of which the others
  // need 60.
  CHECK(Got[0].Served >= 30 * 20 / 2);
  CHECK(Got[0].SmallestRetryAfter >= 200ms);
  CHECK(Got[0].LongestWait <= 601ms);
}

// Guards against an estimate of the wait that knows nothing of the calls that
// other teams are about to send: callers then wait for nothing.
TEST_CASE("a team with eight times its usual load: four in five of its refused "
          "calls are refused at once") {
  LoadedService Service(40);
  std::vector<Tally> Got =
      Service.play({{"busy", 160}, {"b", 20}, {"c", 20}, {"d", 20}}, 30s);
  CHECK(Got[0].RefusedAtOnce >= Got[0].Refused * 8 / 10);
}

// Guards against short urgent calls behind prompts that take 119 ms of an
// engine each, and against a starved long prompt.
TEST_CASE("short urgent calls are not blocked behind long prompts, and some "
          "long prompts are served all the while") {
  LoadedService Service(40);
  std::vector<Tally> Got = Service.play({{"urgent", 50, 0, 300, 100, 500ms},
                                         {"reports", 20, 5, 12'000, 200, 2s},
                                         {"others", 20, 5, 300, 100, 500ms}},
                                        60s);
  MESSAGE("urgent: served ", Got[0].Served, " of ", Got[0].all(),
          ", mean wait ms ", Got[0].meanWait().count() / 1'000'000,
          "; reports: served ", Got[1].Served, " of ", Got[1].all(),
          "; others: served ", Got[2].Served, " of ", Got[2].all());
  CHECK(Got[0].Served >= Got[0].all() * 9 / 10);
  CHECK(Got[0].meanWait() < 100ms);
  CHECK(Got[2].Served > Got[2].all() / 2);
  CHECK(Got[1].Served > 60);
}

// Guards against a long prompt that waits for ever since short calls alone need
// more than there is.
TEST_CASE("long prompts are served beside more short calls than fit") {
  LoadedService Service(40);
  std::vector<Tally> Got = Service.play(
      {{"short", 120, 5, 300, 100, 500ms}, {"reports", 4, 5, 12'000, 200, 2s}},
      60s);
  MESSAGE("short: served ", Got[0].Served, " of ", Got[0].all(),
          "; reports: served ", Got[1].Served, " of ", Got[1].all());
  CHECK(Got[0].Served > 60 * 40);
  CHECK(Got[1].Served > 20);
}

// Guards against callers that each find out for themselves that the targets
// are full.
TEST_CASE("targets that answer full: calls are held back after a second, "
          "callers are refused at once, and it ends with the load") {
  LoadedService Service(20);
  std::vector<Tally> First = Service.play({{"a", 120}}, 20s);
  MESSAGE("served ", First[0].Served, ", full ", First[0].TargetsFull,
          ", refused ", First[0].Refused, " of ", First[0].all());
  // 20 slots of half a second carry 40 calls a second.
  CHECK(First[0].Served > 20 * 40 * 8 / 10);
  CHECK(First[0].TargetsFull < First[0].all() / 4);
  CHECK(First[0].RefusedAtOnce >= First[0].Refused * 8 / 10);
  CHECK(First[0].SmallestRetryAfter >= 200ms);
  // 10 s without load passed.
  Service.Queues.exportMetrics(Service.Simulated.now());
  CHECK(!Service.Queues.limit("engines"));
  CHECK(Service.Queues.services() == 0);
  std::vector<Tally> After = Service.play({{"a", 20}}, 10s);
  CHECK(After[0].Served == After[0].all());
  CHECK(After[0].Waited == 0);
}

// Guards against engines that queue calls instead of refusing them: calls with
// an objective of 600 ms missed it in 30% of cases.
TEST_CASE("first events after the objective limit the calls in progress, and "
          "those of long prompts do not count") {
  LoadedService Late(1000);
  Late.FirstEventAfter = 900ms;
  Late.play({{"a", 40, 5, 300, 100, 1s}}, 5s);
  CHECK(Late.Stats.value("relay_admission_started_total{waited=\"true\"}") ==
        0); // Not exported yet.
  Late.Queues.exportMetrics(Late.Simulated.now());
  CHECK(Late.Stats.value("relay_admission_started_total{waited=\"true\"}") > 0);
  LoadedService Long(1000);
  Long.FirstEventAfter = 900ms;
  std::vector<Tally> Got = Long.play({{"a", 40, 5, 12'000, 100, 1s}}, 5s);
  CHECK(Got[0].Waited == 0);
  LoadedService NoObjective(1000);
  NoObjective.Route.Objective = 0ms;
  NoObjective.FirstEventAfter = 900ms;
  Got = NoObjective.play({{"a", 40, 5, 300, 100, 1s}}, 5s);
  CHECK(Got[0].Waited == 0);
}

// Guards against calls that wait until their deadline while the host stops, and
// against places that remain taken.
TEST_CASE("a stop ends all waits at once, and frees their places") {
  LoadedService Service(4);
  std::vector<Tally> Got(1);
  Load Kind{"a", 0, 5, 300, 100, 20s};
  auto Call = [&] { Service.call(Kind, Got[0]); };
  for (int I = 0; I < 4 + 8; ++I)
    Service.Simulated.hooks().Spawn(Call);
  Service.Simulated.runFor(100ms);
  REQUIRE(Service.Queues.limit("engines"));
  for (int I = 0; I < 5; ++I)
    Service.Simulated.hooks().Spawn(Call);
  Service.Simulated.runFor(50ms);
  CHECK(Service.Queues.waiting("engines") == 5);
  Service.IsStopping = true;
  Service.Simulated.runFor(100ms);
  CHECK(Got[0].GivenUp == 5);
  CHECK(Service.Queues.waiting("engines") == 0);
  CHECK(Service.Queues.inProgress("engines") == 4);
  Service.Simulated.runFor(30s);
  CHECK(Service.Queues.inProgress("engines") == 0);
  CHECK(Got[0].Served == 4);
}

TEST_CASE("the queue is bounded: of more calls than it holds, the least urgent "
          "are refused") {
  LoadedService Service(4);
  Service.Route.Objective = 0ms;
  std::vector<Tally> Got(3);
  Load Kind{"a", 0, 5, 300, 100, 20s};
  for (int I = 0; I < 4 + 8; ++I)
    Service.Simulated.hooks().Spawn([&] { Service.call(Kind, Got[0]); });
  Service.Simulated.runFor(100ms);
  REQUIRE(Service.Queues.limit("engines"));
  Load Slow = Kind, Urgent = Kind;
  Slow.Priority = 7;
  Urgent.Priority = 1;
  for (int I = 0; I < 300; ++I)
    Service.Simulated.hooks().Spawn([&] { Service.call(Slow, Got[1]); });
  Service.Simulated.runFor(10ms);
  CHECK(Service.Queues.waiting("engines") == 256);
  CHECK(Got[1].Refused == 44);
  for (int I = 0; I < 100; ++I)
    Service.Simulated.hooks().Spawn([&] { Service.call(Urgent, Got[2]); });
  Service.Simulated.runFor(10ms);
  CHECK(Service.Queues.waiting("engines") == 256);
  CHECK(Got[1].Refused == 144);
  CHECK(Got[2].Refused == 0);
  Service.Simulated.runFor(1min);
}

// Guards against a wait that leaves no time for the answer.
TEST_CASE("a call waits for its objective at most, and for half of the time to "
          "its deadline") {
  RelayRoute Route;
  RelayCall Call;
  Call.Route = &Route;
  TimePoint Now{1h};
  auto WaitUntil = [&](TimePoint Deadline) {
    return admissionRequestOf(Call, Now, Deadline).Deadline - Now;
  };
  CHECK(WaitUntil(TimePoint::max()) == 1s);
  CHECK(WaitUntil(Now + 500ms) == 250ms);
  CHECK(WaitUntil(Now - 1s) == 0s);
  Route.Objective = 600ms;
  CHECK(WaitUntil(Now + 10s) == 600ms);
  Route.Objective = 1min;
  CHECK(WaitUntil(Now + 10s) == 3s);
}

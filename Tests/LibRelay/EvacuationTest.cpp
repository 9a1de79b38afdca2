#include "LibBase/Random.h"
#include "LibRelay/TargetPicker.h"
#include "RelayFixture.h"

#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <numeric>
#include <rapidcheck.h>
#include <set>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

ListedTarget makeTarget(const std::string &Id, const std::string &Domain,
                        std::int64_t StartedAt = 1) {
  ListedTarget Target;
  Target.Id = Id;
  Target.Service = "engines";
  Target.FailureDomain = Domain;
  Target.StartedAt = StartedAt;
  return Target;
}

std::set<std::string> usableIds(TargetDirectory &Targets) {
  std::set<std::string> Ids;
  for (const TargetState *Target : Targets.usable("engines"))
    Ids.insert(Target->Listed.Id);
  return Ids;
}

/// One target in each of three failure domains.
struct DirectoryFixture {
  DirectoryFixture() {
    this->Targets.onListed(makeTarget("e", "east"), Start);
    this->Targets.onListed(makeTarget("w", "west"), Start);
    this->Targets.onListed(makeTarget("n", "north"), Start);
  }

  bool record(const std::string &Domain, bool IsEvacuated,
              std::uint64_t Offset) {
    return this->Targets.onEvacuationRecord({Domain, IsEvacuated, Offset},
                                            Start);
  }

  TargetDirectory Targets;
};

} // namespace

TEST_CASE("targets of evacuated failure domains get no calls: two domains at "
          "once, and one that returns") {
  DirectoryFixture Three;
  CHECK(Three.record("east", true, 5));
  CHECK(Three.record("west", true, 6));
  CHECK(usableIds(Three.Targets) == std::set<std::string>{"n"});
  CHECK_FALSE(Three.Targets.mayReceive(makeTarget("e", "east")));
  CHECK(Three.Targets.mayReceive(makeTarget("n", "north")));
  CHECK(Three.Targets.evacuatedTargets() == 2);
  CHECK(Three.record("east", false, 9));
  CHECK(usableIds(Three.Targets) == std::set<std::string>{"e", "n"});
}

TEST_CASE("a repeated or older evacuation record changes nothing, and neither "
          "does one of an unknown domain") {
  DirectoryFixture Three;
  CHECK(Three.record("east", true, 5));
  CHECK_FALSE(Three.record("east", true, 5));
  CHECK_FALSE(Three.record("east", true, 7));
  CHECK_FALSE(Three.record("east", false, 6));
  CHECK(Three.record("south", true, 8));
  CHECK(usableIds(Three.Targets) == std::set<std::string>{"n", "w"});
  CHECK(Three.record("east", false, 10));
  CHECK_FALSE(Three.record("east", true, 7));
  CHECK(usableIds(Three.Targets) == std::set<std::string>{"e", "n", "w"});
}

TEST_CASE("an evacuation that a snapshot lacks has ended, also in a store that "
          "was restored from an older copy") {
  DirectoryFixture Three;
  Three.record("east", true, 50);
  Three.record("west", true, 51);
  auto Changes =
      Three.Targets.onEvacuationSnapshot({{"north", true, 12}}, 13, Start);
  CHECK(Changes.size() == 3);
  CHECK(usableIds(Three.Targets) == std::set<std::string>{"e", "w"});
  CHECK(Three.record("north", false, 13));
  CHECK(Three.record("east", true, 14));
  CHECK(usableIds(Three.Targets) == std::set<std::string>{"n", "w"});
}

TEST_CASE("a target that is listed during the evacuation of its domain gets no "
          "calls, and one that restarts is not taken for the chosen run") {
  DirectoryFixture Three;
  Three.record("east", true, 5);
  Three.Targets.onListed(makeTarget("e2", "east"), Start);
  CHECK(usableIds(Three.Targets) == std::set<std::string>{"n", "w"});
  ListedTarget Chosen = makeTarget("w", "west");
  Three.Targets.onListed(makeTarget("w", "west", 2), Start);
  CHECK_FALSE(Three.Targets.mayReceive(Chosen));
}

TEST_CASE("a service of which only evacuated targets are left: the call is "
          "refused at once as not run, and served again after the return") {
  RelayFixture Relay;
  Relay.TargetDomain = "east";
  Relay.addTarget("a");
  Relay.configure();
  Relay.evacuate("east");
  TimePoint Before = Relay.Simulated.now();
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::Evacuated);
  CHECK(Relay.Status == 503);
  CHECK(Relay.RetryAfter.has_value());
  CHECK(Relay.Simulated.now() == Before);
  CHECK(Relay.SentCalls.empty());
  Relay.evacuate("east", false);
  Relay.Responses = {RelayFixture::makeOneEvent()};
  CHECK(Relay.serve(Relay.makeCall()).End == RelayEnd::Done);
}

TEST_CASE("a domain that is evacuated while its target is connected to: the "
          "call goes to another domain") {
  RelayFixture Relay;
  Relay.TargetDomain = "east";
  Relay.addTarget("a");
  Relay.configure();
  Relay.WhileConnecting = [&Relay] {
    if (Relay.TargetDomain == "west")
      return;
    Relay.TargetDomain = "west";
    Relay.addTarget("b");
    Relay.evacuate("east");
  };
  Relay.Responses = {RelayFixture::makeOneEvent()};
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Outcome.Sends == 1);
  REQUIRE(Relay.SentCalls.size() == 1);
  CHECK(Relay.SentCalls[0].Target == "b");
}

TEST_CASE("a call that is sent again, or a stream that is resumed, after its "
          "target was lost does not go to an evacuated domain") {
  RelayFixture Relay;
  Relay.Route.IsResumable = true;
  Relay.TargetDomain = "east";
  Relay.addTarget("a");
  Relay.configure();
  bool HasStarted = false;
  bool IsEvacuated = true;
  SUBCASE("before the first event") {}
  SUBCASE("after the first event") { HasStarted = true; }
  SUBCASE("without an evacuation") { IsEvacuated = false; }
  ScriptedResponse Lost;
  if (HasStarted)
    Lost.Pieces = {{1ms, "id: 1\ndata: x\n\n"}};
  Lost.ConnectionError = NetError::Reset;
  Relay.Responses = {Lost, RelayFixture::makeOneEvent()};
  Relay.BeforeSend = [&](std::size_t Sent) {
    if (Sent > 0)
      return;
    Relay.TargetDomain = "west";
    Relay.addTarget("b");
    if (IsEvacuated)
      Relay.evacuate("west");
  };
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  if (!IsEvacuated) {
    CHECK(Relay.SentCalls.size() == 2);
    CHECK(Outcome.End == RelayEnd::Done);
    return;
  }
  CHECK(Relay.SentCalls.size() == 1);
  CHECK(Outcome.End == (HasStarted ? RelayEnd::Broken : RelayEnd::Unknown));
}

namespace {

/// 600 topics on 60 engines in three failure domains, which two hosts relay.
struct ReturnFixture {
  ReturnFixture() {
    for (int I = 0; I < 60; ++I)
      this->Targets.onListed(
          makeTarget("engine-" + std::to_string(I),
                     std::array{"east", "west", "north"}[I % 3]),
          Start);
  }

  std::string pick(TargetPicker &By, int Topic, TimePoint Now) {
    RelayCall Call;
    Call.Parts = {
        {"common", 100}, {"topic-" + std::to_string(Topic), 500}, {"own", 100}};
    TargetState *Chosen = By.pick(
        this->Targets, "engines", Call,
        [](const TargetState &) { return true; }, Now);
    return Chosen ? Chosen->Listed.Id : "";
  }

  bool isEast(const std::string &Id) {
    return this->Targets.find(Id)->Listed.FailureDomain == "east";
  }

  TargetDirectory Targets;
  TargetPicker First{{}, "east", 1};
  TargetPicker Second{{}, "west", 2};
};

} // namespace

TEST_CASE("the topics of a failure domain go to the others while it is "
          "evacuated and come back in portions: no call is left without a "
          "target, and no engine has to read many topics at once") {
  constexpr int Topics = 600;
  // An engine reads the shared parts of a topic in 0.1 s, and a caller waits
  // 0.8 s for the first event.
  constexpr std::size_t MaxNewTopics = 8;
  constexpr int StepsPerObjective = 8;
  ReturnFixture Fleet;
  std::vector<std::string> Before(Topics);
  for (int Topic = 0; Topic < Topics; ++Topic)
    Before[Topic] = Fleet.pick(Fleet.First, Topic, Start);
  Fleet.Targets.onEvacuationRecord({"east", true, 1}, Start);
  std::vector<std::string> Last(Topics);
  for (int Topic = 0; Topic < Topics; ++Topic) {
    Last[Topic] = Fleet.pick(Fleet.First, Topic, Start + 1s);
    REQUIRE_FALSE(Last[Topic].empty());
    CHECK_FALSE(Fleet.isEast(Last[Topic]));
    if (!Fleet.isEast(Before[Topic]))
      CHECK(Last[Topic] == Before[Topic]);
  }
  TimePoint Return = Start + 10s;
  Fleet.Targets.onEvacuationRecord({"east", false, 2}, Return);
  std::map<std::string, std::deque<std::size_t>> NewTopics;
  std::vector<int> Moves(Topics);
  for (int Step = 0; Step <= 50; ++Step) {
    TimePoint Now = Return + Step * 100ms;
    std::map<std::string, std::size_t> New;
    for (int Topic = 0; Topic < Topics; ++Topic) {
      std::string Target = Fleet.pick(Fleet.First, Topic, Now);
      REQUIRE_FALSE(Target.empty());
      CHECK(Fleet.pick(Fleet.Second, Topic, Now) == Target);
      if (Target != Last[Topic]) {
        ++New[Target];
        CHECK(++Moves[Topic] == 1);
      }
      Last[Topic] = Target;
    }
    for (int I = 0; I < 60; ++I) {
      std::string Id = "engine-" + std::to_string(I);
      std::deque<std::size_t> &Recent = NewTopics[Id];
      Recent.push_back(New[Id]);
      if (Recent.size() > StepsPerObjective)
        Recent.pop_front();
      CHECK(std::accumulate(Recent.begin(), Recent.end(), std::size_t{0}) <=
            MaxNewTopics);
    }
  }
  CHECK(Last == Before);
}

namespace {

/// A defect that the generated schedules have to find.
enum class Defect {
  None,
  SendsWithoutAsking,
  SnapshotEndsNothing,
  AppliesOlderRecords,
};

constexpr std::array Domains{"east", "west", "north"};

/// A host that reads the operator's topic, and its calls, each of which waits
/// between the choice of its target and the send.
class EvacuatedHost {
public:
  EvacuatedHost(std::uint64_t Seed, Defect Injected)
      : Rng(Seed), Injected(Injected) {
    for (std::string Domain : Domains)
      for (std::string Id : {"1", "2"})
        this->Targets.onListed(makeTarget(Domain + Id, Domain), Start);
  }

  /// \returns whether every call was sent to a domain that was not evacuated as
  /// far as the host has read, and every other domain got calls.
  bool run(int Steps) {
    bool Holds = true;
    for (int I = 0; I < Steps && Holds; ++I)
      Holds = this->step();
    return Holds;
  }

private:
  bool step() {
    switch (this->Rng.below(8)) {
    case 0:
    case 1:
      this->Log.push_back({Domains[this->Rng.below(Domains.size())],
                           this->Rng.chance(0.5), this->Log.size()});
      return true;
    case 2:
      this->readRecord();
      break;
    case 3:
      if (this->Rng.chance(0.3))
        this->readSnapshot();
      break;
    case 4:
      this->readAgain();
      break;
    case 5:
      this->IsCutOff = !this->IsCutOff;
      return true;
    case 6:
      this->choose();
      return true;
    default:
      return this->send();
    }
    return this->isUsableAsRead();
  }

  bool isEvacuated(const std::string &Domain) const {
    bool Result = false;
    for (std::size_t I = 0; I < this->Read; ++I)
      if (this->Log[I].Domain == Domain)
        Result = this->Log[I].IsEvacuated;
    return Result;
  }

  void readRecord() {
    if (this->IsCutOff || this->Read == this->Log.size())
      return;
    this->Targets.onEvacuationRecord(this->Log[this->Read++], Start);
  }

  void readSnapshot() {
    if (this->IsCutOff)
      return;
    this->Read = this->Log.size();
    std::vector<EvacuationRecord> Listed;
    for (std::string Domain : Domains)
      if (this->isEvacuated(Domain))
        Listed.push_back({Domain, true, this->Read - 1});
    if (this->Injected != Defect::SnapshotEndsNothing) {
      this->Targets.onEvacuationSnapshot(Listed, this->Read, Start);
      return;
    }
    for (const EvacuationRecord &Record : Listed)
      this->Targets.onEvacuationRecord(Record, Start);
  }

  /// A record arrives once more.
  void readAgain() {
    if (this->Read == 0)
      return;
    EvacuationRecord Again = this->Log[this->Rng.below(this->Read)];
    if (this->Injected == Defect::AppliesOlderRecords)
      Again.Offset = this->Log.size();
    this->Targets.onEvacuationRecord(Again, Start);
  }

  void choose() {
    auto Usable = this->Targets.usable("engines");
    if (!Usable.empty())
      this->Waiting.push_back(Usable[this->Rng.below(Usable.size())]->Listed);
  }

  bool send() {
    if (this->Waiting.empty())
      return true;
    ListedTarget Target = this->Waiting.front();
    this->Waiting.pop_front();
    if (this->Injected != Defect::SendsWithoutAsking &&
        !this->Targets.mayReceive(Target))
      return true;
    return !this->isEvacuated(Target.FailureDomain);
  }

  bool isUsableAsRead() {
    std::set<std::string> Usable = usableIds(this->Targets);
    return std::all_of(
        Domains.begin(), Domains.end(), [&](const std::string &Domain) {
          return Usable.contains(Domain + "1") != this->isEvacuated(Domain);
        });
  }

  Random Rng;
  Defect Injected;
  TargetDirectory Targets;
  std::vector<EvacuationRecord> Log;
  /// How many records of the log the host has read.
  std::size_t Read = 0;
  bool IsCutOff = false;
  std::deque<ListedTarget> Waiting;
};

constexpr int ScheduleSteps = 200;

} // namespace

TEST_CASE(
    "whatever the order of records, snapshots, cuts and calls: no call is "
    "sent to a domain that the host knows to be evacuated") {
  CHECK(rc::check([](std::uint64_t Seed) {
    return EvacuatedHost(Seed, Defect::None).run(ScheduleSteps);
  }));
}

TEST_CASE("generated schedules find a send that does not ask, a snapshot that "
          "ends no evacuation and a record that is applied out of order") {
  for (Defect Injected :
       {Defect::SendsWithoutAsking, Defect::SnapshotEndsNothing,
        Defect::AppliesOlderRecords}) {
    bool IsFound = false;
    for (std::uint64_t Seed = 1; Seed <= 100 && !IsFound; ++Seed) {
      IsFound = !EvacuatedHost(Seed, Injected).run(ScheduleSteps);
      CHECK(EvacuatedHost(Seed, Defect::None).run(ScheduleSteps));
    }
    CAPTURE(static_cast<int>(Injected));
    CHECK(IsFound);
  }
}

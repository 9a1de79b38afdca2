#include "platform/RequestQuarantineSync.h"

#include "PlatformFixture.h"
#include "platform/WireNames.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

const RequestTraits Bad = {hash128("bad"), {}};

/// One host without peers.
struct Host {
  Host(const std::string &Name, NetRuntime &Loop)
      : Tasks(Loop.hooks()), Roster({Name, "domain", "", 1}, {}),
        List(Name + "#1", {},
             [](const Hash128 &, std::uint64_t) { return true; }),
        Reports(this->List, this->Roster,
                {this->Tasks.Now,
                 [](HostId, std::uint16_t, std::string_view) {},
                 [](std::uint16_t, PeerNode::Handler) {}}) {}

  bool maySend() {
    this->Reports.update();
    return this->List.admission(Bad, this->Tasks.Now()) < SendAdmission::Busy;
  }

  Runtime Tasks;
  HostRoster Roster;
  RequestQuarantine List;
  QuarantineExchange Reports;
};

} // namespace

TEST_CASE("a quarantined request is known to running processes and to one that "
          "starts later") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    Host Reporting("host1", Fixture.Loop), Receiving("host2", Fixture.Loop),
        Restarted("host3", Fixture.Loop);
    Runtime Tasks = Fixture.Loop.hooks();
    bool IsStopped = false;
    auto HasStopped = [&] { return IsStopped; };
    RequestQuarantineSync Writer(*Fixture.Client, Tasks, "host1",
                                 Reporting.Reports);
    RequestQuarantineSync Reader(*Fixture.Client, Tasks, "host2",
                                 Receiving.Reports);
    int Running = 2;
    Tasks.Spawn([&] {
      Writer.runWriter(HasStopped);
      --Running;
    });
    Tasks.Spawn([&] {
      Reader.runReader(HasStopped);
      --Running;
    });
    for (const char *Target : {"a", "b", "c"})
      Reporting.List.onLost(Bad, Target, Tasks.Now(), Tasks.Now());
    // Bounds a hanging test; the propagation delay is not tested.
    TimePoint GiveUpAt = Tasks.Now() + 1min;
    while ((Reporting.maySend() || Receiving.maySend()) &&
           Tasks.Now() < GiveUpAt)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    CHECK_FALSE(Receiving.maySend());

    auto Start = [&](Host &Fresh) {
      int Rounds = 0;
      RequestQuarantineSync(*Fixture.Client, Tasks, "host3", Fresh.Reports)
          .runReader([&] { return Rounds++ > 0; });
    };
    while (Restarted.maySend() && Tasks.Now() < GiveUpAt)
      Start(Restarted);
    CHECK_FALSE(Restarted.maySend());

    Reporting.List.onAnswered(Bad, Tasks.Now());
    Reporting.Reports.update();
    while (!Receiving.maySend() && Tasks.Now() < GiveUpAt)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    CHECK(Receiving.maySend());
    Host After("host3", Fixture.Loop);
    Start(After);
    CHECK(After.maySend());
    IsStopped = true;
    while (Running > 0)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
  });
}

TEST_CASE("reports are the same after encoding and decoding") {
  QuarantineReport Report;
  Report.Kind = QuarantineReportKind::Cleared;
  Report.Process = "host#7";
  Report.Number = 3;
  Report.TargetRun = ~std::uint64_t{0};
  Report.SentAgeMicroseconds = 2000;
  Report.LostAgeMicroseconds = 1000;
  Report.Subject = hash128("subject");
  Report.Traits = {hash128("a"), hash128("b")};
  Report.WasQuarantined = true;
  std::vector<QuarantineReport> Reports = {Report, {}};
  auto Decoded = decodeQuarantineReports(
      {"reports/host/1", encodeQuarantineReports(Reports), 1});
  REQUIRE(Decoded);
  CHECK(Decoded.value() == Reports);
}

TEST_CASE("unreadable quarantine records are ignored") {
  PlatformFixture Fixture;
  std::string Topic(wire::QuarantineTopic);
  const std::string BadSubject =
      R"([{"kind":2,"process":"p","number":1,"target_run":1,"sent_age_us":0,)"
      R"("lost_age_us":0,"subject":"xyz","traits":[],"was_quarantined":0}])";
  for (const std::string &Value :
       {std::string("many"), std::string("{}"), std::string("[1]"),
        std::string(R"([{"kind":9}])"), BadSubject})
    Fixture.Store.put(Topic, "quarantined/" + Value.substr(0, 5), Value);
  Fixture.run([&] {
    Host Reader("host1", Fixture.Loop);
    int Rounds = 0;
    RequestQuarantineSync(*Fixture.Client, Fixture.Loop.hooks(), "host1",
                          Reader.Reports)
        .runReader([&] { return Rounds++ > 0; });
    CHECK(Reader.List.size() == 0);
  });
}

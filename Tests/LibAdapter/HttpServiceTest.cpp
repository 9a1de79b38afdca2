#include "LibAdapter/HttpService.h"
#include "LibAdapter/HttpMembership.h"
#include "LibStandinServer/MembershipStandin.h"
#include "LibStandinServer/ServiceStandin.h"
#include "StandinFixture.h"

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

struct ServiceTest {
  StandinTest &Standin;
  ServiceStandin &Role;
  ServiceHooks Services;
  TargetAddress Target;

  Result<ServiceAnswer> call(std::uint64_t Fence, Duration Timeout = 10s) {
    ServiceCall Call;
    Call.Request = RequestId{7, 8};
    Call.Attempt = AttemptNumber{1};
    Call.Method = "POST";
    Call.Path = "/work-orders";
    Call.Body = R"({"fountain": 12})";
    Call.ContentType = "application/json";
    Call.FencingNumber = Fence;
    return this->Services.Call(this->Target, Call,
                               this->Standin.Tasks.Now() + Timeout);
  }

  std::size_t timesRun() {
    return this->Role.Service.timesRun(RequestId{7, 8});
  }
};

void withService(bool ChecksFence,
                 const std::function<void(ServiceTest &)> &Test) {
  RealRuntime Real;
  ServiceStandin Role(ChecksFence, Real.hooks());
  serveWhile(Real, handlerOf(Role), [&](StandinTest &Fixture) {
    ServiceTest ServiceFixture{Fixture,
                               Role,
                               makeHttpServices(Fixture.Client),
                               {"127.0.0.1", Fixture.Server.port()}};
    Test(ServiceFixture);
  });
}

} // namespace

TEST_CASE("a call runs once and is recorded in the ledger") {
  withService(false, [](ServiceTest &Test) {
    CHECK(Test.call(3).value().Status == 200);
    auto Run = Test.Standin.get("/ledger")["runs"][0];
    CHECK(Run["fencing_number"] == 3);
    CHECK(Run["path"] == "/work-orders");
    CHECK(Test.timesRun() == 1);
  });
}

TEST_CASE(
    "a stale fencing number is rejected only by a service that checks it") {
  withService(true, [](ServiceTest &Test) {
    CHECK(Test.call(5));
    CHECK(Test.call(4).error() == TargetError::StaleFencingNumber);
    CHECK(Test.timesRun() == 1);
  });
  withService(false, [](ServiceTest &Test) {
    CHECK(Test.call(5));
    CHECK(Test.call(4));
    CHECK(Test.timesRun() == 2);
  });
}

TEST_CASE(
    "a call that ran and whose response was lost is not reported as not run") {
  withService(false, [](ServiceTest &Test) {
    Test.Standin.post("/faults", {{"lose_answer_next", 1}});
    auto Lost = Test.call(1);
    CHECK(Lost.error() == TargetError::ConnectionLost);
    CHECK_FALSE(provesNotRun(Lost.error()));
    Test.Standin.post("/faults", {{"silent_after_effect_next", 1}});
    auto TimedOut = Test.call(1, 200ms);
    CHECK(TimedOut.error() == TargetError::TimedOut);
    CHECK_FALSE(provesNotRun(TimedOut.error()));
  });
}

TEST_CASE("a connection lost before the effect gives the same error as one "
          "after it") {
  withService(false, [](ServiceTest &Test) {
    Test.Standin.post("/faults", {{"lose_before_effect_next", 1}});
    CHECK(Test.call(1).error() == TargetError::ConnectionLost);
    CHECK(Test.timesRun() == 0);
  });
}

TEST_CASE("a rejection by the service itself proves that nothing ran") {
  withService(false, [](ServiceTest &Test) {
    Test.Standin.post("/faults", {{"refuse_next", 1}});
    CHECK(Test.call(1).error() == TargetError::Refused);
    Test.Standin.post("/faults", {{"is_leaving", true}});
    CHECK(Test.call(1).error() == TargetError::Refused);
  });
}

TEST_CASE(
    "an error status of a service does not prove that the call did not run") {
  withService(false, [](ServiceTest &Test) {
    Test.Standin.post("/faults", {{"fail_next", 1}});
    CHECK(Test.call(1).value().Status == 500);
    CHECK(Test.timesRun() == 1);
  });
}

TEST_CASE("fault settings with unknown names or wrong types change nothing") {
  withService(false, [](ServiceTest &Test) {
    CHECK(Test.Standin.post("/faults", {{"refuse_next", 1}, {"typo", 1}})
              .contains("error"));
    CHECK(
        Test.Standin.post("/faults", {{"refuse_next", "1"}}).contains("error"));
    CHECK(Test.call(1));
  });
}

TEST_CASE(
    "the membership list is read completely, and with the configured lag") {
  RealRuntime Real;
  Member Engine;
  Engine.Name = "e1";
  Engine.Address = "127.0.0.1";
  Engine.Port = 9000;
  Engine.Serves = {"small"};
  Engine.ChecksFence = true;
  MembershipStandin Role({Engine}, Real.hooks());
  serveWhile(Real, handlerOf(Role), [&](StandinTest &Test) {
    auto Hooks =
        makeHttpMembership(Test.Client, "127.0.0.1", Test.Server.port());
    MemberList First = Hooks.Read(Test.deadline()).value();
    REQUIRE(First.Members.size() == 1);
    CHECK(First.Members[0].ChecksFence);
    CHECK(First.Members[0].Serves == Engine.Serves);
    Test.post("/faults", {{"lag_ms", 3600000}});
    Test.post("/members", {{"members", nlohmann::json::array()}});
    CHECK(Hooks.Read(Test.deadline()).value().Members.size() == 1);
    CHECK(Role.Membership.visible(Test.Tasks.Now() + 2h).Members.empty());
    Test.post("/faults", {{"is_down", true}});
    CHECK_FALSE(Hooks.Read(Test.deadline()));
  });
}

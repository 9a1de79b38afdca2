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

  Result<ServiceAnswer> call(std::uint64_t Fence, Duration Patience = 10s) {
    ServiceCall Call;
    Call.Request = RequestId{7, 8};
    Call.Attempt = AttemptNumber{1};
    Call.Method = "POST";
    Call.Path = "/work-orders";
    Call.Body = R"({"fountain": 12})";
    Call.ContentType = "application/json";
    Call.FencingNumber = Fence;
    return this->Services.Call(this->Target, Call,
                               this->Standin.Tasks.Now() + Patience);
  }

  std::size_t timesRun() { return this->Role.Book.timesRun(RequestId{7, 8}); }
};

void withService(bool ChecksFence,
                 const std::function<void(ServiceTest &)> &Test) {
  RealRuntime Real;
  ServiceStandin Role(ChecksFence, Real.hooks());
  serveWhile(Real, handlerOf(Role), [&](StandinTest &Handed) {
    ServiceTest Made{Handed,
                     Role,
                     makeHttpServices(Handed.Client),
                     {"127.0.0.1", Handed.Server.port()}};
    Test(Made);
  });
}

} // namespace

TEST_CASE("a call runs once and its ledger tells of it") {
  withService(false, [](ServiceTest &Test) {
    CHECK(Test.call(3).value().Status == 200);
    auto Run = Test.Standin.get("/ledger")["runs"][0];
    CHECK(Run["fencing_number"] == 3);
    CHECK(Run["path"] == "/work-orders");
    CHECK(Test.timesRun() == 1);
  });
}

TEST_CASE("an old fencing number is refused only where it is checked") {
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
    "a call that ran and whose answer went missing is not called not run") {
  withService(false, [](ServiceTest &Test) {
    Test.Standin.post("/faults", {{"lose_answer_next", 1}});
    auto Lost = Test.call(1);
    CHECK(Lost.error() == TargetError::ConnectionLost);
    CHECK_FALSE(provesNotRun(Lost.error()));
    Test.Standin.post("/faults", {{"silent_after_effect_next", 1}});
    auto Silent = Test.call(1, 200ms);
    CHECK(Silent.error() == TargetError::TimedOut);
    CHECK_FALSE(provesNotRun(Silent.error()));
  });
}

TEST_CASE("a connection lost before the effect looks the same as after it") {
  withService(false, [](ServiceTest &Test) {
    Test.Standin.post("/faults", {{"lose_before_effect_next", 1}});
    CHECK(Test.call(1).error() == TargetError::ConnectionLost);
    CHECK(Test.timesRun() == 0);
  });
}

TEST_CASE("a refusal by the service itself proves that nothing ran") {
  withService(false, [](ServiceTest &Test) {
    Test.Standin.post("/faults", {{"refuse_next", 1}});
    CHECK(Test.call(1).error() == TargetError::Refused);
    Test.Standin.post("/faults", {{"is_leaving", true}});
    CHECK(Test.call(1).error() == TargetError::Refused);
  });
}

TEST_CASE("a service's own error status is an answer, not a proof") {
  withService(false, [](ServiceTest &Test) {
    Test.Standin.post("/faults", {{"fail_next", 1}});
    CHECK(Test.call(1).value().Status == 500);
    CHECK(Test.timesRun() == 1);
  });
}

TEST_CASE("unknown faults and wrong types change nothing") {
  withService(false, [](ServiceTest &Test) {
    CHECK(Test.Standin.post("/faults", {{"refuse_next", 1}, {"typo", 1}})
              .contains("error"));
    CHECK(
        Test.Standin.post("/faults", {{"refuse_next", "1"}}).contains("error"));
    CHECK(Test.call(1));
  });
}

TEST_CASE("the membership list comes back whole, with a lag") {
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
    MemberList First = Hooks.Read(Test.soon()).value();
    REQUIRE(First.Members.size() == 1);
    CHECK(First.Members[0].ChecksFence);
    CHECK(First.Members[0].Serves == Engine.Serves);
    Test.post("/faults", {{"lag_ms", 3600000}});
    Test.post("/members", {{"members", nlohmann::json::array()}});
    CHECK(Hooks.Read(Test.soon()).value().Members.size() == 1);
    CHECK(Role.Board.visible(Test.Tasks.Now() + 2h).Members.empty());
    Test.post("/faults", {{"is_down", true}});
    CHECK_FALSE(Hooks.Read(Test.soon()));
  });
}

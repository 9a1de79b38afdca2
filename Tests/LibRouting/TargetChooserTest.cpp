#include "LibRouting/TargetChooser.h"
#include "LibRouting/ExplanationRing.h"

#include <doctest/doctest.h>
#include <map>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const TimePoint Later = Start + 1min;
const ModelId Model = idOfName<ModelId>("m");
constexpr std::uint64_t Seed = 7;

struct Fixture {
  TargetTable Table{TargetTableSettings{}};
  PrefixIndex Prefixes{1024};
  OutlierDetector Outliers{OutlierSettings{}};
  TargetChooser Chooser{Table, Prefixes, Outliers, ChooserSettings{}, Seed};

  explicit Fixture(std::uint64_t Targets) {
    for (std::uint64_t I = 0; I < Targets; ++I) {
      TargetInfo Info;
      Info.Id = TargetId{I + 1};
      Info.Models = {Model};
      this->Table.upsert(Info, Start);
      this->Outliers.add(static_cast<TargetTable::Slot>(I), Start);
    }
  }

  static RequestFeatures request() {
    RequestFeatures Request;
    Request.Model = Model;
    Request.PromptTokens = 1024;
    Request.ExpectedTokens = 100;
    return Request;
  }
};

} // namespace

TEST_CASE(
    "an unloaded model is distinguished from one without a usable target") {
  Fixture Fleet(2);
  RequestFeatures Request = Fixture::request();
  Request.Model = idOfName<ModelId>("other");
  CHECK(Fleet.Chooser.choose(Request, Later).error() ==
        RoutingError::ModelNotLoaded);
  Request = Fixture::request();
  std::vector<TargetId> Tried{TargetId{1}, TargetId{2}};
  Request.Excluded = Tried;
  CHECK(Fleet.Chooser.choose(Request, Later).error() ==
        RoutingError::NoTargetLeft);
}

TEST_CASE("a leaving target receives no work, even if it is the only one") {
  Fixture Fleet(2);
  Fleet.Table.setState(TargetId{1}, TargetState::Leaving);
  for (int I = 0; I < 20; ++I)
    CHECK(Fleet.Chooser.choose(Fixture::request(), Later).value().Target ==
          TargetId{2});
  Fleet.Table.setState(TargetId{2}, TargetState::Leaving);
  CHECK(Fleet.Chooser.choose(Fixture::request(), Later).error() ==
        RoutingError::NoTargetLeft);
}

TEST_CASE("suspect targets are used only as a last resort") {
  Fixture Fleet(2);
  Fleet.Table.setState(TargetId{1}, TargetState::Suspect);
  CHECK(Fleet.Chooser.choose(Fixture::request(), Later).value().Target ==
        TargetId{2});
  Fleet.Table.setState(TargetId{2}, TargetState::Suspect);
  Choice Made = Fleet.Chooser.choose(Fixture::request(), Later).value();
  CHECK(Made.Reason == ChoiceReason::LastResort);
}

TEST_CASE("a target with a cached prefix is preferred until it is overloaded") {
  Fixture Fleet(4);
  std::vector<PrefixHash> Blocks{11, 12, 13};
  Fleet.Prefixes.addExpected(2, Blocks);
  RequestFeatures Request = Fixture::request();
  Request.Prefix = Blocks;
  Choice Made = Fleet.Chooser.choose(Request, Later).value();
  CHECK(Made.Target == TargetId{3});
  CHECK(Made.Reason == ChoiceReason::PrefixHeld);
  CHECK(Made.PrefillTokens == 1024 - 3 * PrefixBlockTokens);
  Fleet.Table.dispatched(TargetId{3}, 8000, Later);
  CHECK(Fleet.Chooser.choose(Request, Later).value().Target != TargetId{3});
}

TEST_CASE("work is spread over a large fleet with equal reports") {
  Fixture Fleet(500);
  std::map<TargetId, int> Sent;
  for (int I = 0; I < 500; ++I) {
    Choice Made = Fleet.Chooser.choose(Fixture::request(), Later).value();
    Fleet.Table.dispatched(Made.Target, Made.PrefillTokens, Later);
    ++Sent[Made.Target];
  }
  int Most = 0;
  for (const auto &[Id, Count] : Sent)
    Most = std::max(Most, Count);
  CHECK(Most <= 2);
}

TEST_CASE("all targets are considered if the sample has no usable one") {
  Fixture Fleet(200);
  for (std::uint64_t I = 1; I < 200; ++I)
    Fleet.Table.setState(TargetId{I}, TargetState::Leaving);
  CHECK(Fleet.Chooser.choose(Fixture::request(), Later).value().Target ==
        TargetId{200});
}

TEST_CASE("the ring keeps the best candidates and drops the oldest choice") {
  Fixture Fleet(8);
  ExplanationRing Ring(2, 3);
  for (std::uint64_t I = 1; I <= 3; ++I) {
    Choice Made = Fleet.Chooser.choose(Fixture::request(), Later).value();
    Ring.add({RequestId{0, I}, AttemptNumber{1}, Later, Made});
  }
  CHECK(Ring.size() == 2);
  CHECK(Ring.find(RequestId{0, 1}).empty());
  auto Found = Ring.find(RequestId{0, 3});
  REQUIRE(Found.size() == 1);
  CHECK(Found[0].Decision.Candidates.size() == 3);
  CHECK(Found[0].Decision.Candidates[0].Target == Found[0].Decision.Target);
}

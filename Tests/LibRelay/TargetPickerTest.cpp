#include "LibRelay/TargetPicker.h"

#include <doctest/doctest.h>
#include <map>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{1h};

/// Eighteen engines and a service of three plain targets, known to two hosts.
struct PickerFixture {
  PickerFixture() {
    for (int I = 0; I < 18; ++I)
      this->list("engine-" + std::to_string(I), "engines", "east");
    this->list("plain-0", "orders", "east");
    this->list("plain-1", "orders", "west");
    this->list("plain-2", "orders", "west");
  }

  void list(const std::string &Id, const std::string &Service,
            const std::string &Domain) {
    ListedTarget Target;
    Target.Id = Id;
    Target.Service = Service;
    Target.FailureDomain = Domain;
    this->Targets.onListed(Target, Now);
  }

  static RelayCall makeCallAbout(const std::string &Topic,
                                 std::int64_t Prompt) {
    RelayCall Call;
    Call.Parts = {{"common", 100}, {Topic, 500}, {"own", 100}};
    Call.PromptTokens = Prompt;
    return Call;
  }

  std::string pick(TargetPicker &By, const RelayCall &Call,
                   const std::set<std::string> &Excluded = {},
                   const std::string &Service = "engines") {
    TargetState *Chosen = By.pick(
        this->Targets, Service, Call,
        [&](const TargetState &Target) {
          return !Excluded.contains(Target.Listed.Id);
        },
        Now);
    return Chosen ? Chosen->Listed.Id : "";
  }

  TargetDirectory Targets;
  TargetPicker First{{}, "east", 1};
  TargetPicker Second{{}, "west", 2};
};

} // namespace

TEST_CASE("calls on the same topic go to the same target, whichever host "
          "relays them") {
  PickerFixture Two;
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 200; ++I) {
    RelayCall Call =
        PickerFixture::makeCallAbout("thing-" + std::to_string(I), 700);
    std::string Target = Two.pick(Two.First, Call);
    CHECK(Two.pick(Two.Second, Call) == Target);
    ++Chosen[Target];
  }
  CHECK(Chosen.size() == 18);
}

TEST_CASE("calls on a popular topic spread over further targets") {
  // 90 concurrent calls, all on the same topic.
  PickerFixture Hot;
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 90; ++I) {
    std::string Target =
        Hot.pick(Hot.First, PickerFixture::makeCallAbout("hot", 700));
    Hot.Targets.onStarted(Target, 0);
    ++Chosen[Target];
  }
  CHECK(Chosen.size() >= 5);
  for (const auto &[Target, Count] : Chosen)
    CHECK(Count <= 90.0 / 18 * 1.5 + 4);
}

TEST_CASE("failing or full targets are skipped while others are available") {
  PickerFixture Faulty;
  RelayCall Call = PickerFixture::makeCallAbout("thing", 700);
  std::string Best = Faulty.pick(Faulty.First, Call);
  Faulty.Targets.onFailure(Best, Now);
  std::string Next = Faulty.pick(Faulty.First, Call);
  CHECK(Next != Best);
  Faulty.Targets.onFull(Next, Now);
  CHECK(Faulty.pick(Faulty.First, Call) != Next);
  CHECK(Faulty.pick(Faulty.First, Call, {Next, Best}) != "");
  // If all targets of a service are avoided, one of them is still picked.
  for (const char *Id : {"plain-0", "plain-1", "plain-2"})
    Faulty.Targets.onFailure(Id, Now);
  RelayCall Plain;
  CHECK(Faulty.pick(Faulty.First, Plain, {}, "orders") != "");
  CHECK(Faulty.pick(Faulty.First, Plain, {}, "none") == "");
}

TEST_CASE(
    "plain calls go to less loaded targets, and stay in the domain if equal") {
  PickerFixture Plain;
  RelayCall Call;
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 300; ++I)
    ++Chosen[Plain.pick(Plain.First, Call, {}, "orders")];
  CHECK(Chosen["plain-0"] > Chosen["plain-1"]);
  for (int I = 0; I < 5; ++I)
    Plain.Targets.onStarted("plain-0", 0);
  Chosen.clear();
  for (int I = 0; I < 300; ++I)
    ++Chosen[Plain.pick(Plain.First, Call, {}, "orders")];
  CHECK(Chosen["plain-0"] < Chosen["plain-1"]);
}

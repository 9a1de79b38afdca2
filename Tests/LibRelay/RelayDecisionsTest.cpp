#include "LibRelay/ConfigView.h"
#include "LibRelay/EventSplitter.h"
#include "LibRelay/RelayConfig.h"
#include "LibRelay/ResendBudget.h"
#include "LibRelay/TargetDirectory.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1h};

RelayRoute routeOf(std::string Name, std::string Prefix) {
  RelayRoute Route;
  Route.Name = std::move(Name);
  Route.Host = "api.example";
  Route.PathPrefix = std::move(Prefix);
  return Route;
}

ListedTarget targetOf(std::string Id) {
  ListedTarget Target;
  Target.Id = std::move(Id);
  Target.Service = "engines";
  Target.Address = "10.0.0.1:80";
  Target.StartedAt = 1;
  return Target;
}

} // namespace

TEST_CASE("the longest prefix of the path selects the route") {
  RelayConfig Config;
  Config.addRoute(routeOf("all", "/"));
  Config.addRoute(routeOf("a", "/a/"));
  Config.addRoute(routeOf("ab", "/a/b/"));
  auto NameOf = [&](std::string_view Host, std::string_view Target) {
    const RelayRoute *Route = Config.findRoute(Host, Target);
    return Route ? Route->Name : std::string();
  };
  CHECK(NameOf("api.example", "/a/b/c?x=/z/") == "ab");
  CHECK(NameOf("API.example:80", "/a/c") == "a");
  CHECK(NameOf("api.example", "/a?b=/a/b/") == "all");
  CHECK(NameOf("other.example", "/a/") == "");
}

TEST_CASE("resends stay within the limit of each window") {
  ResendPolicy Policy;
  Policy.Window = 10s;
  Policy.Ratio = 0.2;
  Policy.FleetSlack = 2;
  ResendBudget Budget(Policy);
  Budget.setHosts(1);
  int Made = 0;
  TimePoint Now = Begin;
  for (int I = 0; I < 100; ++I, Now += 100ms) {
    Budget.onRequest("engines", Now);
    Made += Budget.tryResend("engines", Now) ? 1 : 0;
  }
  CHECK(Made == 22);
  CHECK(Budget.refused() == 78);
  // After a window without requests, only the slack is left.
  Now += 20s;
  CHECK(Budget.tryResend("engines", Now));
  CHECK(Budget.tryResend("engines", Now));
  CHECK_FALSE(Budget.tryResend("engines", Now));
  // Each service has its own budget.
  CHECK(Budget.tryResend("orders", Now));
}

TEST_CASE("a host that does not know the fleet takes none of its slack for "
          "resends") {
  ResendPolicy Policy;
  Policy.Ratio = 0.2;
  Policy.FleetSlack = 50;
  ResendBudget Budget(Policy);
  CHECK_FALSE(Budget.tryResend("engines", Begin));
  for (int I = 0; I < 10; ++I)
    Budget.onRequest("engines", Begin);
  CHECK(Budget.tryResend("engines", Begin));
  CHECK(Budget.tryResend("engines", Begin));
  CHECK_FALSE(Budget.tryResend("engines", Begin));
  Budget.setHosts(10);
  for (int I = 0; I < 5; ++I)
    CHECK(Budget.tryResend("engines", Begin));
  CHECK_FALSE(Budget.tryResend("engines", Begin));
}

TEST_CASE("the resends of all hosts stay within the fleet's limit for any host "
          "count") {
  for (std::size_t Hosts : {6, 195, 300}) {
    ResendPolicy Policy;
    Policy.Ratio = 0;
    Policy.FleetSlack = 430;
    int Made = 0;
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      ResendBudget Budget(Policy);
      Budget.setHosts(Hosts);
      for (int I = 0; I < 500; ++I)
        Made += Budget.tryResend("engines", Begin) ? 1 : 0;
    }
    CHECK(Made <= 430);
    CHECK(Made >= 195);
  }
}

TEST_CASE("a target that leaves or is removed gets no new calls") {
  TargetDirectory Targets;
  Targets.onListed(targetOf("a"), Begin);
  Targets.onListed(targetOf("b"), Begin);
  CHECK(Targets.usable("engines").size() == 2);
  ListedTarget Leaving = targetOf("a");
  Leaving.IsLeaving = true;
  Targets.onListed(Leaving, Begin);
  CHECK(Targets.usable("engines").size() == 1);
  Targets.onRemoved("b", Begin);
  CHECK(Targets.usable("engines").empty());
}

TEST_CASE("an entry removed around an outage of the list stays usable for a "
          "grace time") {
  TargetDirectory Targets;
  Targets.onListed(targetOf("a"), Begin);
  Targets.onListUnreachable(Begin + 1s);
  Targets.onRemoved("a", Begin + 2s);
  CHECK(Targets.usable("engines").size() == 1);
  Targets.expire(Begin + 3s);
  CHECK(Targets.usable("engines").size() == 1);
  SUBCASE("it is listed again") {
    Targets.onListed(targetOf("a"), Begin + 3500ms);
    Targets.expire(Begin + 10s);
    CHECK(Targets.usable("engines").size() == 1);
  }
  SUBCASE("it stays missing") {
    Targets.expire(Begin + 4s);
    CHECK(Targets.usable("engines").empty());
  }
}

TEST_CASE("a leaving target that is removed around an outage is not kept") {
  TargetDirectory Targets;
  ListedTarget Leaving = targetOf("a");
  Leaving.IsLeaving = true;
  Targets.onListed(Leaving, Begin);
  Targets.onListUnreachable(Begin);
  Targets.onRemoved("a", Begin + 1s);
  CHECK(Targets.usable("engines").empty());
}

TEST_CASE("a target replaced at its address is unusable until it restarts") {
  TargetDirectory Targets;
  Targets.onListed(targetOf("a"), Begin);
  Targets.onReplaced("a");
  CHECK(Targets.usable("engines").empty());
  Targets.onListed(targetOf("a"), Begin + 1s);
  CHECK(Targets.usable("engines").empty());
  ListedTarget Restarted = targetOf("a");
  Restarted.StartedAt = 2;
  Targets.onListed(Restarted, Begin + 2s);
  CHECK(Targets.usable("engines").size() == 1);
}

TEST_CASE("a full list removes the entries that it does not contain") {
  TargetDirectory Targets;
  Targets.onFullList({targetOf("a"), targetOf("b")}, Begin);
  Targets.onFullList({targetOf("b")}, Begin + 1s);
  REQUIRE(Targets.usable("engines").size() == 1);
  CHECK(Targets.usable("engines").front()->Listed.Id == "b");
}

TEST_CASE("a restored list does not bring back targets that left") {
  TargetDirectory Targets;
  std::vector<ListedTarget> Copy = {targetOf("a"), targetOf("b"),
                                    targetOf("c")};
  Targets.onFullList(Copy, Begin);
  ListedTarget Leaving = targetOf("a");
  Leaving.IsLeaving = true;
  Targets.onListed(Leaving, Begin + 1s);
  Targets.onRemoved("b", Begin + 1s);
  for (int Restores = 0; Restores < 2; ++Restores) {
    Targets.onListRestored();
    Targets.onFullList(Copy, Begin + 2s);
    REQUIRE(Targets.usable("engines").size() == 1);
    CHECK(Targets.usable("engines").front()->Listed.Id == "c");
  }
  // Each target that lives writes its entry again.
  Targets.onListed(targetOf("b"), Begin + 3s);
  CHECK(Targets.usable("engines").size() == 2);
  Targets.onListRestored();
  Targets.onFullList(Copy, Begin + 4s);
  CHECK(Targets.usable("engines").size() == 2);
}

TEST_CASE("the backoff of a failing target doubles up to a maximum") {
  TargetDirectory Targets;
  Targets.onListed(targetOf("a"), Begin);
  Targets.onFailure("a", Begin);
  CHECK(Targets.find("a")->BackoffUntil == Begin + 400ms);
  Targets.onFailure("a", Begin);
  CHECK(Targets.find("a")->BackoffUntil == Begin + 800ms);
  for (int I = 0; I < 10; ++I)
    Targets.onFailure("a", Begin);
  CHECK(Targets.find("a")->BackoffUntil == Begin + 3s);
  Targets.onSuccess("a");
  CHECK(Targets.find("a")->BackoffUntil <= Begin);
}

TEST_CASE("events are complete for any split of the bytes of a stream") {
  const std::string Stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\n"
                             "data: c\r\n\r\n";
  for (std::size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
    EventSplitter Events;
    EventBatch First = Events.feed(Stream.substr(0, Cut));
    EventBatch Second = Events.feed(Stream.substr(Cut));
    CHECK(First.Bytes + Second.Bytes == Stream);
    CHECK(First.Events + Second.Events == 3);
    CHECK(Events.lastId() == 3);
    CHECK_FALSE(Events.hasGap());
    CHECK(Events.partialEvent().empty());
  }
}

TEST_CASE("a missing or repeated event is detected") {
  EventSplitter Missing;
  Missing.feed("id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
  CHECK(Missing.hasGap());
  EventSplitter Twice;
  Twice.feed("id: 1\ndata: a\n\nid: 1\ndata: a\n\n");
  CHECK(Twice.hasGap());
  EventSplitter Resumed;
  Resumed.feed("id: 7\ndata: g\n\nid: 8\ndata: h\n\nid: 9\nda");
  Resumed.discardPartial();
  Resumed.feed("id: 9\ndata: i\n\n");
  CHECK_FALSE(Resumed.hasGap());
}

TEST_CASE("an event with data and without an id can't be told from a repeated "
          "one") {
  EventSplitter Events;
  Events.feed(": comment\n\n");
  CHECK_FALSE(Events.endsWithoutId());
  Events.feed("data: a\n\n");
  CHECK(Events.endsWithoutId());
  Events.feed("id: 1\ndata: b\n\n");
  CHECK_FALSE(Events.endsWithoutId());
  Events.beginAfter(1);
  Events.feed(": comment\n\n");
  CHECK_FALSE(Events.hasGap());
  Events.feed("event: x\ndata: c\n\n");
  CHECK(Events.hasGap());
  Events.beginAfter(1);
  Events.feed("id: 2\ndata: c\n\ndata: d\n\n");
  CHECK_FALSE(Events.hasGap());
  CHECK(Events.endsWithoutId());
}

TEST_CASE("a view of the configuration is current for as long as versions may "
          "take to be in force") {
  ConfigView View({3s});
  CHECK_FALSE(View.isCurrent(Begin));
  CHECK_FALSE(View.age(Begin));
  CHECK_FALSE(View.hasChanged(Begin));
  View.onCurrent(Begin);
  CHECK(View.isCurrent(Begin + 3s));
  CHECK_FALSE(View.isCurrent(Begin + 3001ms));
  CHECK(View.age(Begin + 4s) == 4s);
  // A read that began earlier and ended later proves nothing newer.
  View.onCurrent(Begin - 2s);
  CHECK(View.age(Begin + 4s) == 4s);
}

// Guards against denials, for good, by the version before one that can't be
// read.
TEST_CASE("a view is not current while the newest version can't be read") {
  ConfigView View({3s});
  View.onNewest(true);
  View.onCurrent(Begin);
  View.onNewest(false);
  View.onCurrent(Begin + 10s);
  CHECK(View.age(Begin + 10s) == 10s);
  CHECK_FALSE(View.isCurrent(Begin + 10s));
  // It has been received all the same: nothing keeps this host from reading.
  CHECK(View.hasReceived(Begin + 13s));
  CHECK_FALSE(View.hasReceived(Begin + 14s));
  View.onNewest(true);
  View.onCurrent(Begin + 20s);
  CHECK(View.isCurrent(Begin + 23s));
  CHECK_FALSE(View.isCurrent(Begin + 24s));
}

TEST_CASE("keys are accepted by a view of any age, unless its age is bounded") {
  ConfigView Any({3s});
  CHECK(Any.acceptsKeys(Begin));
  ConfigView Bounded({3s, 5s});
  CHECK_FALSE(Bounded.acceptsKeys(Begin));
  Bounded.onCurrent(Begin);
  CHECK(Bounded.acceptsKeys(Begin + 5s));
  CHECK_FALSE(Bounded.acceptsKeys(Begin + 5001ms));
  // A version that can't be read may have revoked a key.
  Bounded.onNewest(false);
  Bounded.onCurrent(Begin + 10s);
  CHECK_FALSE(Bounded.acceptsKeys(Begin + 10s));
  Bounded.onNewest(true);
  Bounded.onCurrent(Begin + 11s);
  CHECK(Bounded.acceptsKeys(Begin + 11s));
}

TEST_CASE("a view reports once that it is old, and once that it is current") {
  ConfigView View({3s});
  View.onCurrent(Begin);
  CHECK_FALSE(View.hasChanged(Begin + 3s));
  CHECK(View.hasChanged(Begin + 4s));
  CHECK_FALSE(View.hasChanged(Begin + 5s));
  View.onCurrent(Begin + 5s);
  CHECK(View.hasChanged(Begin + 6s));
  CHECK_FALSE(View.hasChanged(Begin + 7s));
}

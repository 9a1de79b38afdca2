#include "LibOutcome/RequestLocations.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

std::vector<LocationReplica> nineHosts() {
  std::vector<LocationReplica> Hosts;
  for (std::uint64_t Number = 0; Number < 9; ++Number)
    Hosts.push_back({HostId{Number + 1}, FailureDomainId{Number % 3}});
  return Hosts;
}

} // namespace

TEST_CASE("a location is found until its lifetime ends") {
  RequestLocations Locations({.MaxEntries = 10, .Lifetime = 1min});
  Locations.record({0, 1}, TargetId{7}, Start);
  CHECK(Locations.find({0, 1}, Start + 30s) == TargetId{7});
  CHECK_FALSE(Locations.find({0, 2}, Start));
  CHECK_FALSE(Locations.find({0, 1}, Start + 61s));
}

TEST_CASE("a request recorded again keeps its later location") {
  RequestLocations Locations({.MaxEntries = 10, .Lifetime = 1min});
  Locations.record({0, 1}, TargetId{7}, Start);
  Locations.record({0, 1}, TargetId{8}, Start + 50s);
  Locations.record({0, 2}, TargetId{9}, Start + 70s);
  CHECK(Locations.find({0, 1}, Start + 70s) == TargetId{8});
}

TEST_CASE(
    "the number of locations is bounded, and the oldest are evicted first") {
  RequestLocations Locations({.MaxEntries = 10, .Lifetime = 1h});
  for (std::uint64_t Number = 0; Number < 100; ++Number)
    Locations.record({0, Number}, TargetId{1}, Start);
  CHECK(Locations.size() <= 10);
  CHECK(Locations.find({0, 99}, Start));
  CHECK_FALSE(Locations.find({0, 1}, Start));
}

TEST_CASE("two replicas are in different failure domains and the same on every "
          "host") {
  std::vector<LocationReplica> Hosts = nineHosts();
  std::vector<LocationReplica> Reversed = Hosts;
  std::reverse(Reversed.begin(), Reversed.end());
  std::map<HostId, int> Load;
  for (std::uint64_t Number = 0; Number < 900; ++Number) {
    RequestId Request = hash128(std::to_string(Number));
    auto Replicas = chooseLocationReplicas(Request, Hosts, 2);
    REQUIRE(Replicas.size() == 2);
    CHECK(Replicas[0].Value % 3 != Replicas[1].Value % 3);
    CHECK(Replicas == chooseLocationReplicas(Request, Reversed, 2));
    ++Load[Replicas[0]];
  }
  for (const auto &[Host, Count] : Load)
    CHECK(Count > 50);
}

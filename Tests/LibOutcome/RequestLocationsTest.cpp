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

TEST_CASE("a note is found until its lifetime ends") {
  RequestLocations Notes({.MaxNotes = 10, .Lifetime = 1min});
  Notes.record({0, 1}, TargetId{7}, Start);
  CHECK(Notes.find({0, 1}, Start + 30s) == TargetId{7});
  CHECK_FALSE(Notes.find({0, 2}, Start));
  CHECK_FALSE(Notes.find({0, 1}, Start + 61s));
}

TEST_CASE("a request noted again keeps its later note") {
  RequestLocations Notes({.MaxNotes = 10, .Lifetime = 1min});
  Notes.record({0, 1}, TargetId{7}, Start);
  Notes.record({0, 1}, TargetId{8}, Start + 50s);
  Notes.record({0, 2}, TargetId{9}, Start + 70s);
  CHECK(Notes.find({0, 1}, Start + 70s) == TargetId{8});
}

TEST_CASE("the notes are bounded, and the oldest go first") {
  RequestLocations Notes({.MaxNotes = 10, .Lifetime = 1h});
  for (std::uint64_t Number = 0; Number < 100; ++Number)
    Notes.record({0, Number}, TargetId{1}, Start);
  CHECK(Notes.size() <= 10);
  CHECK(Notes.find({0, 99}, Start));
  CHECK_FALSE(Notes.find({0, 1}, Start));
}

TEST_CASE(
    "two keepers are in different failure domains and the same anywhere") {
  std::vector<LocationReplica> Hosts = nineHosts();
  std::vector<LocationReplica> Reversed = Hosts;
  std::reverse(Reversed.begin(), Reversed.end());
  std::map<HostId, int> Load;
  for (std::uint64_t Number = 0; Number < 900; ++Number) {
    RequestId Request = hash128(std::to_string(Number));
    auto Keepers = chooseLocationReplicas(Request, Hosts, 2);
    REQUIRE(Keepers.size() == 2);
    CHECK(Keepers[0].Value % 3 != Keepers[1].Value % 3);
    CHECK(Keepers == chooseLocationReplicas(Request, Reversed, 2));
    ++Load[Keepers[0]];
  }
  for (const auto &[Host, Count] : Load)
    CHECK(Count > 50);
}

#include "LibBase/Ids.h"
#include "LibBase/Random.h"

#include <doctest/doctest.h>

using namespace bergamothook;

TEST_CASE("identifiers are the same on every host and in every release") {
  CHECK(idOfName<TeamId>("fountain-field").Value == hash64("fountain-field"));
  CHECK(toHex(std::uint64_t{255}) == "00000000000000ff");
  CHECK(requestIdOf(TeamId{1}, "k") == requestIdOf(TeamId{1}, "k"));
  CHECK(requestIdOf(TeamId{1}, "k") != requestIdOf(TeamId{2}, "k"));
}

TEST_CASE("generators with the same seed return the same sequence") {
  Random First(42);
  Random Second(42);
  for (int Round = 0; Round < 100; ++Round)
    CHECK(First.next() == Second.next());
  CHECK(First.uniform() < 1.0);
}

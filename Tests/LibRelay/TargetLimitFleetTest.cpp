#include "LimitFleet.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("a target does not get more than its limit from all hosts together") {
  for (int Hosts : {9, 90, 300}) {
    CAPTURE(Hosts);
    LimitFleetSettings Settings;
    Settings.Hosts = Hosts;
    LimitFleet Fleet(Settings, 1);
    Fleet.setLimit(0, 2.3);
    Fleet.load(60, 20s);
    CHECK(Fleet.worstExcess(0) <= 0);
  }
}

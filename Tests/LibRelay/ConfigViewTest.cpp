#include "LibRelay/ConfigView.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("a view of the configuration is current for as long as versions may "
          "take to be in force") {
  TimePoint Begin{1h};
  ConfigView View(3s);
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

TEST_CASE("a view reports once that it is old, and once that it is current") {
  TimePoint Begin{1h};
  ConfigView View(3s);
  View.onCurrent(Begin);
  CHECK_FALSE(View.hasChanged(Begin + 3s));
  CHECK(View.hasChanged(Begin + 4s));
  CHECK_FALSE(View.hasChanged(Begin + 5s));
  View.onCurrent(Begin + 5s);
  CHECK(View.hasChanged(Begin + 6s));
  CHECK_FALSE(View.hasChanged(Begin + 7s));
}

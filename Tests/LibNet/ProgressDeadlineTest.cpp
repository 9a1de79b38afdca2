#include "LibNet/ProgressDeadline.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("a transfer has stalled once too few bytes came in its time") {
  TimePoint Begin{1h};
  ProgressDeadline Deadline({.StallTimeout = 2s, .MinBytes = 100}, Begin);
  CHECK(Deadline.at() == Begin + 2s);
  Deadline.onBytes(99, Begin + 1s);
  CHECK(Deadline.at() == Begin + 2s);
  Deadline.onBytes(100, Begin + 1s);
  CHECK(Deadline.at() == Begin + 3s);
  Deadline.onBytes(150, Begin + 2s);
  CHECK(Deadline.at() == Begin + 3s);
  // As long as it goes on, its whole time does not matter.
  for (int I = 1; I <= 1000; ++I)
    Deadline.onBytes(100 + I * 100, Begin + I * 1s);
  CHECK(Deadline.at() == Begin + 1002s);
}

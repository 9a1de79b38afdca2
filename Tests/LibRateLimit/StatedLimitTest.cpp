#include "LibRateLimit/StatedLimit.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

} // namespace

TEST_CASE("a limit counts from the first answer that states it") {
  StatedLimit Limit;
  CHECK(Limit.onAnswer(2.5, Start, Start + 10ms));
  CHECK(Limit.perSecond() == 2.5);
  CHECK_FALSE(Limit.onAnswer(2.5, Start, Start + 20ms));
}

TEST_CASE("an answer that was overtaken does not lift or raise a limit") {
  for (std::optional<double> Stale : {std::optional<double>(), {9.0}}) {
    StatedLimit Limit;
    Limit.onAnswer(2, Start, Start + 10ms);
    CHECK_FALSE(Limit.onAnswer(Stale, Start + 5ms, Start + 900ms));
    CHECK(Limit.perSecond() == 2);
    CHECK(Limit.onAnswer(Stale, Start + 11ms, Start + 30ms));
    CHECK(Limit.perSecond() == Stale);
  }
}

TEST_CASE("a lower limit counts whenever its request was sent") {
  StatedLimit Limit;
  Limit.onAnswer(9, Start, Start + 10ms);
  CHECK(Limit.onAnswer(2, Start - 1s, Start + 20ms));
  CHECK(Limit.perSecond() == 2);
}

TEST_CASE("of two hosts' observations the newer one counts") {
  StatedLimit Limit;
  Limit.onAnswer(2, Start, Start + 10ms);
  CHECK_FALSE(Limit.merge({std::nullopt, Start + 5ms}));
  CHECK(Limit.merge({std::nullopt, Start + 20ms}));
  CHECK_FALSE(Limit.perSecond().has_value());
  CHECK_FALSE(Limit.merge({3.0, Start + 15ms}));
}

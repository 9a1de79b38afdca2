/// \file
/// Random schedules of requests and faults.

#ifndef BERGAMOTHOOK_LIBREPLAY_RANDOMSCENARIO_H
#define BERGAMOTHOOK_LIBREPLAY_RANDOMSCENARIO_H

#include "LibReplay/Scenario.h"

namespace bergamothook {

/// Makes a scenario of a few requests, some under the same key, and a few
/// faults at any step or time. The same seed gives the same scenario.
Scenario randomScenario(std::uint64_t Seed);

} // namespace bergamothook

#endif

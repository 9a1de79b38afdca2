/// \file
/// Random scenarios of requests and faults.

#ifndef BERGAMOTHOOK_LIBREPLAY_RANDOMSCENARIO_H
#define BERGAMOTHOOK_LIBREPLAY_RANDOMSCENARIO_H

#include "LibReplay/Scenario.h"

namespace bergamothook {

/// Generates a scenario of a few requests, some with the same key, and a few
/// faults at random steps or times. Deterministic for a given seed.
Scenario randomScenario(std::uint64_t Seed);

} // namespace bergamothook

#endif

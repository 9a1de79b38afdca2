/// \file
/// The baselines of the outcomes experiment: what a plain reverse proxy does.

#ifndef BERGAMOTHOOK_LIBREPLAY_PLAINPOLICY_H
#define BERGAMOTHOOK_LIBREPLAY_PLAINPOLICY_H

#include "LibOutcome/OrderDispatcher.h"
#include "LibOutcome/StreamTask.h"
#include "LibReplay/Scenario.h"

namespace bergamothook {

/// Sends an order to one target, or to up to three in turn until one answers;
/// a failure is reported as not run, since such a proxy knows no third outcome.
OrderAnswer runPlainOrder(const OrderRequest &Request,
                          const OrderDispatcherHooks &Hooks,
                          ReplayPolicy Policy);

/// Passes on one engine's stream; goes to another engine only while nothing
/// was passed on, and ends the answer where the stream ends.
StreamOutcome runPlainStream(const StreamRequest &Request,
                             const StreamHooks &Hooks, ReplayPolicy Policy);

} // namespace bergamothook

#endif

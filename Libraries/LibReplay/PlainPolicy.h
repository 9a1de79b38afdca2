/// \file
/// Baselines for the outcomes experiment: the behaviour of a plain reverse
/// proxy.

#ifndef BERGAMOTHOOK_LIBREPLAY_PLAINPOLICY_H
#define BERGAMOTHOOK_LIBREPLAY_PLAINPOLICY_H

#include "LibOutcome/OrderDispatcher.h"
#include "LibOutcome/StreamTask.h"
#include "LibReplay/Scenario.h"

namespace bergamothook {

/// Sends an order to one target, or with PlainRetry to up to three in turn
/// until one responds. A failure is reported as not run, because such a proxy
/// can't report an unknown outcome.
OrderAnswer runPlainOrder(const OrderRequest &Request,
                          const OrderDispatcherHooks &Hooks,
                          ReplayPolicy Policy);

/// Forwards the stream of one engine. Retries on another engine only while no
/// token was forwarded; the response ends where the stream ends.
StreamOutcome runPlainStream(const StreamRequest &Request,
                             const StreamHooks &Hooks, ReplayPolicy Policy);

} // namespace bergamothook

#endif

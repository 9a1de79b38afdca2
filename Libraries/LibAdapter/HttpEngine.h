/// \file
/// Model engines over HTTP.

#ifndef BERGAMOTHOOK_LIBADAPTER_HTTPENGINE_H
#define BERGAMOTHOOK_LIBADAPTER_HTTPENGINE_H

#include "LibHttp/HttpClient.h"
#include "LibTarget/CacheEvents.h"
#include "LibTarget/EngineControl.h"
#include "LibTarget/EngineHooks.h"

namespace bergamothook {

/// Makes hooks that call engines through \p Client, which must outlive them.
EngineHooks makeHttpEngines(HttpClient &Client);

/// Makes hooks that order engines to load models and to change their role.
EngineControlHooks makeHttpEngineControl(HttpClient &Client);

/// Makes hooks that read what engines publish of their prefix caches.
CacheHooks makeHttpCaches(HttpClient &Client);

} // namespace bergamothook

#endif

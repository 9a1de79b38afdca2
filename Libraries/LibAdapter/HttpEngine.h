/// \file
/// Access to inference engines over HTTP.

#ifndef BERGAMOTHOOK_LIBADAPTER_HTTPENGINE_H
#define BERGAMOTHOOK_LIBADAPTER_HTTPENGINE_H

#include "LibHttp/HttpClient.h"
#include "LibTarget/CacheEvents.h"
#include "LibTarget/EngineControl.h"
#include "LibTarget/EngineHooks.h"

namespace bergamothook {

/// Creates hooks that call engines through \p Client, which must outlive them.
EngineHooks makeHttpEngines(HttpClient &Client);

/// Creates hooks that send engines commands to load or unload models and to
/// change their role.
EngineControlHooks makeHttpEngineControl(HttpClient &Client);

/// Creates hooks that read the prefix cache state published by engines.
CacheHooks makeHttpCaches(HttpClient &Client);

} // namespace bergamothook

#endif

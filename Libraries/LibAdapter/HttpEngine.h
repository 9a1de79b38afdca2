/// \file
/// Model engines over HTTP.

#ifndef BERGAMOTHOOK_LIBADAPTER_HTTPENGINE_H
#define BERGAMOTHOOK_LIBADAPTER_HTTPENGINE_H

#include "LibHttp/HttpClient.h"
#include "LibTarget/EngineHooks.h"

namespace bergamothook {

/// Makes hooks that call engines through \p Client, which must outlive them.
EngineHooks makeHttpEngines(HttpClient &Client);

} // namespace bergamothook

#endif

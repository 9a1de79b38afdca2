/// \file
/// Access to services and order runners over HTTP.

#ifndef BERGAMOTHOOK_LIBADAPTER_HTTPSERVICE_H
#define BERGAMOTHOOK_LIBADAPTER_HTTPSERVICE_H

#include "LibHttp/HttpClient.h"
#include "LibTarget/ServiceHooks.h"

namespace bergamothook {

/// Request headers that carry the request identifier, the attempt number and
/// the fencing number.
inline constexpr const char *RequestIdHeader = "X-Request-Id";
inline constexpr const char *AttemptHeader = "X-Attempt";
inline constexpr const char *FencingHeader = "X-Fencing-Number";

/// Creates hooks that call services through \p Client, which must outlive them.
/// Each call uses a new connection: if a reused connection turned out dead, the
/// outcome would be unknown needlessly.
ServiceHooks makeHttpServices(HttpClient &Client);

} // namespace bergamothook

#endif

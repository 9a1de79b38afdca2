/// \file
/// Plain services and order runners over HTTP.

#ifndef BERGAMOTHOOK_LIBADAPTER_HTTPSERVICE_H
#define BERGAMOTHOOK_LIBADAPTER_HTTPSERVICE_H

#include "LibHttp/HttpClient.h"
#include "LibTarget/ServiceHooks.h"

namespace bergamothook {

/// Headers that name the request, its attempt and its fencing number to the
/// target.
inline constexpr const char *RequestIdHeader = "X-Request-Id";
inline constexpr const char *AttemptHeader = "X-Attempt";
inline constexpr const char *FencingHeader = "X-Fencing-Number";

/// Makes hooks that call services through \p Client, which must outlive them.
/// Each call goes over a connection of its own: over a kept one that died, its
/// outcome would be unknown without need.
ServiceHooks makeHttpServices(HttpClient &Client);

} // namespace bergamothook

#endif

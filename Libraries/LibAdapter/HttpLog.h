/// \file
/// Access to the platform's log over HTTP.

#ifndef BERGAMOTHOOK_LIBADAPTER_HTTPLOG_H
#define BERGAMOTHOOK_LIBADAPTER_HTTPLOG_H

#include "LibHttp/HttpClient.h"
#include "LibPlatform/LogHooks.h"

namespace bergamothook {

/// Creates hooks that call the log at the numeric IP address \p Address and the
/// port \p Port through \p Client, which must outlive them.
LogHooks makeHttpLog(HttpClient &Client, const Runtime &Tasks,
                     const std::string &Address, std::uint16_t Port);

} // namespace bergamothook

#endif

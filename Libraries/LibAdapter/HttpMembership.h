/// \file
/// Access to the platform's membership list over HTTP.

#ifndef BERGAMOTHOOK_LIBADAPTER_HTTPMEMBERSHIP_H
#define BERGAMOTHOOK_LIBADAPTER_HTTPMEMBERSHIP_H

#include "LibHttp/HttpClient.h"
#include "LibPlatform/MembershipHooks.h"

namespace bergamothook {

/// Creates hooks that call the membership service at \p Address and \p Port
/// through \p Client, which must outlive them.
MembershipHooks makeHttpMembership(HttpClient &Client,
                                   const std::string &Address,
                                   std::uint16_t Port);

} // namespace bergamothook

#endif

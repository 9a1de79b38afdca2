/// \file
/// Percent-encoding of URL components.

#ifndef BERGAMOTHOOK_LIBHTTP_URLCODING_H
#define BERGAMOTHOOK_LIBHTTP_URLCODING_H

#include <string>
#include <string_view>

namespace bergamothook {

/// Encodes all bytes other than RFC 3986's unreserved characters, for use in a
/// path segment or a query value.
std::string urlEncode(std::string_view Text);

/// Decodes percent-encoded bytes. Malformed escapes are left unchanged.
std::string urlDecode(std::string_view Text);

} // namespace bergamothook

#endif

/// \file
/// Percent-encoding of the parts of a URL.

#ifndef BERGAMOTHOOK_LIBHTTP_URLCODING_H
#define BERGAMOTHOOK_LIBHTTP_URLCODING_H

#include <string>
#include <string_view>

namespace bergamothook {

/// Encodes every byte that may not stand in a path segment or a query value.
std::string urlEncode(std::string_view Text);

/// Decodes percent-encoded bytes; a malformed escape stays as it is.
std::string urlDecode(std::string_view Text);

} // namespace bergamothook

#endif

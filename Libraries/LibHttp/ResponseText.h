/// \file
/// Serialization of HTTP responses.

#ifndef BERGAMOTHOOK_LIBHTTP_RESPONSETEXT_H
#define BERGAMOTHOOK_LIBHTTP_RESPONSETEXT_H

#include "LibHttp/HttpRequest.h"

#include <optional>
#include <string>

namespace bergamothook::detail {

inline constexpr const char *ProblemContentType = "application/problem+json";

/// Formats the status line and the headers. Without \p BodyBytes, the body is
/// sent with the chunked transfer coding.
std::string responseHead(int Status, const std::string &ContentType,
                         const HttpHeaders &ExtraHeaders,
                         std::optional<std::size_t> BodyBytes);

/// Encodes one chunk of a chunked body. \p Data must not be empty, since an
/// empty chunk marks the end of the body.
std::string encodeChunk(const std::string &Data);

/// The last chunk of a chunked body.
inline constexpr const char *LastChunk = "0\r\n\r\n";

/// Returns the problem details of a request that was rejected before any part
/// of it ran.
std::string problemBody(int Status, const char *Title);

} // namespace bergamothook::detail

#endif

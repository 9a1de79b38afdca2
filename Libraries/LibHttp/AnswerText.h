/// \file
/// The text of a server's answers.

#ifndef BERGAMOTHOOK_LIBHTTP_ANSWERTEXT_H
#define BERGAMOTHOOK_LIBHTTP_ANSWERTEXT_H

#include "LibHttp/HttpRequest.h"

#include <optional>
#include <string>

namespace bergamothook::detail {

inline constexpr const char *ProblemContentType = "application/problem+json";

/// Writes the status line and the headers. Without \p BodyBytes the body
/// follows in chunks.
std::string answerHead(int Status, const std::string &ContentType,
                       const HttpHeaders &ExtraHeaders,
                       std::optional<std::size_t> BodyBytes);

/// Frames one piece of a chunked body. An empty piece would mark the end.
std::string answerChunk(const std::string &Piece);

/// Marks the end of a chunked body.
inline constexpr const char *LastAnswerChunk = "0\r\n\r\n";

/// Describes a request that was refused before any part of it ran.
std::string problemBody(int Status, const char *Title);

} // namespace bergamothook::detail

#endif

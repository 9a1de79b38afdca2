/// \file
/// Maps failed HTTP calls to errors of the platform log or of a target. Only a
/// connection that was never established proves that nothing ran; a rejection
/// proves it only if the other side states so.

#ifndef BERGAMOTHOOK_LIBADAPTER_ERRORMAPPING_H
#define BERGAMOTHOOK_LIBADAPTER_ERRORMAPPING_H

#include "LibHttp/HttpError.h"
#include "LibHttp/HttpRequest.h"
#include "LibPlatform/LogError.h"
#include "LibTarget/TargetError.h"

namespace bergamothook {

/// The response header by which a target states that it did not run a request.
/// Its value is one of the names below.
inline constexpr const char *NotRunHeader = "X-Not-Run";
inline constexpr const char *NotRunRefused = "refused";
inline constexpr const char *NotRunFenced = "fenced";
inline constexpr const char *NotRunBadRequest = "bad-request";
inline constexpr const char *NotRunUnknownStream = "unknown-stream";

/// Maps a failed HTTP call to an error of the log.
std::error_code logErrorOf(std::error_code Failure);

/// Maps a failed HTTP call to an error of a target.
std::error_code targetErrorOf(std::error_code Failure);

/// Parses NotRunHeader. \returns no error if the header is missing.
std::error_code notRunErrorOf(const HttpHeaders &Headers);

} // namespace bergamothook

#endif

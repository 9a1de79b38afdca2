/// \file
/// What a failed HTTP call says about the effect of a call of the platform or
/// of a target. Only a connection that never came about proves that nothing
/// ran; a refusal proves it where the other side says so itself.

#ifndef BERGAMOTHOOK_LIBADAPTER_ERRORMAPPING_H
#define BERGAMOTHOOK_LIBADAPTER_ERRORMAPPING_H

#include "LibHttp/HttpError.h"
#include "LibHttp/HttpRequest.h"
#include "LibPlatform/LogError.h"
#include "LibTarget/TargetError.h"

namespace bergamothook {

/// The header by which a target says that it did not run a request. Its value
/// is one of the names below.
inline constexpr const char *NotRunHeader = "X-Not-Run";
inline constexpr const char *NotRunRefused = "refused";
inline constexpr const char *NotRunFenced = "fenced";
inline constexpr const char *NotRunBadRequest = "bad-request";
inline constexpr const char *NotRunUnknownStream = "unknown-stream";

/// Maps a failed call to what it says of the log.
std::error_code logErrorOf(std::error_code Failure);

/// Maps a failed call to what it says of a target.
std::error_code targetErrorOf(std::error_code Failure);

/// Reads a target's own word that it did not run the request. \returns no
/// error where the answer holds no such word.
std::error_code targetRefusalOf(const HttpHeaders &Headers);

} // namespace bergamothook

#endif


/// \file
/// The wire format of the platform's log over HTTP. Pages are binary because
/// payloads are:
///
///     page  = first-retained next count entry*   (three numbers of 8 bytes)
///     entry = offset length byte*                (two numbers of 8 bytes)
///
/// Numbers are little-endian.

#ifndef BERGAMOTHOOK_LIBADAPTER_LOGWIRE_H
#define BERGAMOTHOOK_LIBADAPTER_LOGWIRE_H

#include "LibPlatform/LogHooks.h"

namespace bergamothook {

std::string encodeLogPage(const LogPage &Page);

/// Fails with LogError::MalformedResponse if \p Bytes is not exactly one page.
Result<LogPage> decodeLogPage(std::string_view Bytes);

/// \returns the URL path of the entries of \p Stream.
std::string logEntriesPath(const std::string &Stream);

} // namespace bergamothook

#endif

/// \file
/// Errors of HTTP clients and servers.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPERROR_H
#define BERGAMOTHOOK_LIBHTTP_HTTPERROR_H

#include <system_error>

namespace bergamothook {

enum class HttpError {
  /// The connection could not be established: no byte of the request was sent.
  ConnectFailed = 1,
  /// The connection was lost after bytes of the request may have been sent.
  ConnectionLost,
  /// The deadline passed after bytes of the request may have been sent.
  TimedOut,
  /// The response is not valid HTTP.
  BadAnswer,
  /// The response exceeds the call's size limit.
  TooLarge,
  /// The server could not bind to or listen on its address.
  CannotListen,
  /// A certificate or its key could not be read, or they do not match.
  BadCertificate,
};

std::error_code make_error_code(HttpError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::HttpError> : std::true_type {};

#endif

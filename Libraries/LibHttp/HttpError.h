/// \file
/// What can go wrong with an HTTP call or with a server.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPERROR_H
#define BERGAMOTHOOK_LIBHTTP_HTTPERROR_H

#include <system_error>

namespace bergamothook {

enum class HttpError {
  /// No connection came about: no byte of the request was sent.
  ConnectFailed = 1,
  /// The connection ended after bytes of the request may have been sent.
  ConnectionLost,
  /// The deadline came after bytes of the request may have been sent.
  TimedOut,
  /// The other side answered with something that is not HTTP.
  BadAnswer,
  /// The answer is larger than the caller allows.
  TooLarge,
  /// The server could not listen at its address.
  CannotListen,
  /// A certificate or its key could not be read, or they do not match.
  BadCertificate,
};

std::error_code make_error_code(HttpError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::HttpError> : std::true_type {};

#endif

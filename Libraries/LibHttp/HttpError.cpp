#include "LibHttp/HttpError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(HttpError Value) {
  switch (Value) {
  case HttpError::ConnectFailed:
    return "connection failed; nothing was sent";
  case HttpError::ConnectionLost:
    return "connection lost after the request may have been sent";
  case HttpError::TimedOut:
    return "timed out waiting for the response";
  case HttpError::BadAnswer:
    return "the response is not valid HTTP";
  case HttpError::TooLarge:
    return "the response exceeds the size limit";
  case HttpError::CannotListen:
    return "the server could not listen on its address";
  case HttpError::BadCertificate:
    return "the certificate or its key can't be read, or they do not match";
  }
  return "unknown HTTP error";
}

const ErrorCategory<HttpError> &category() {
  static const ErrorCategory<HttpError> Category("http", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(HttpError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook

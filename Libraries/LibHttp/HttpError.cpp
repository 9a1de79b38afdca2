#include "LibHttp/HttpError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(HttpError Value) {
  switch (Value) {
  case HttpError::ConnectFailed:
    return "no connection came about; nothing was sent";
  case HttpError::ConnectionLost:
    return "the connection was lost after the request was sent";
  case HttpError::TimedOut:
    return "no answer came before the deadline";
  case HttpError::BadAnswer:
    return "the answer is not valid HTTP";
  case HttpError::TooLarge:
    return "the answer is too large";
  case HttpError::CannotListen:
    return "the server could not listen at its address";
  case HttpError::BadCertificate:
    return "the certificate or its key is not usable";
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

#include "LibPlatform/LogError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(LogError Value) {
  switch (Value) {
  case LogError::Unreachable:
    return "the log could not be reached";
  case LogError::RateLimited:
    return "the log's rate limit rejected the call";
  case LogError::ResponseLost:
    return "no response from the log; the call may have taken effect";
  case LogError::BelowRetention:
    return "the offset is below the retained range";
  case LogError::TooLarge:
    return "the payload is too large for the log";
  case LogError::MalformedResponse:
    return "the log's response is malformed";
  }
  return "unknown log error";
}

const ErrorCategory<LogError> &category() {
  static const ErrorCategory<LogError> Category("log", describe);
  return Category;
}

} // namespace

bool provesNoEffect(std::error_code Failure) {
  return Failure == LogError::Unreachable || Failure == LogError::RateLimited ||
         Failure == LogError::TooLarge;
}

std::error_code make_error_code(LogError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook

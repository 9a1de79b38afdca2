#include "LibTarget/TargetError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(TargetError Value) {
  switch (Value) {
  case TargetError::ConnectFailed:
    return "no connection to the target came about";
  case TargetError::Refused:
    return "the target refused the request";
  case TargetError::ConnectionLost:
    return "the connection to the target was lost";
  case TargetError::TimedOut:
    return "the target sent nothing before the deadline";
  case TargetError::StaleFencingNumber:
    return "the target refused an old fencing number";
  case TargetError::UnknownStream:
    return "the target knows no such stream";
  case TargetError::BadAnswer:
    return "the target's answer is malformed";
  case TargetError::BadRequest:
    return "the target found the request invalid";
  }
  return "unknown target error";
}

const ErrorCategory<TargetError> &category() {
  static const ErrorCategory<TargetError> Category("target", describe);
  return Category;
}

} // namespace

bool provesNotRun(std::error_code Failure) {
  return Failure == TargetError::ConnectFailed ||
         Failure == TargetError::Refused ||
         Failure == TargetError::StaleFencingNumber ||
         Failure == TargetError::BadRequest;
}

std::error_code make_error_code(TargetError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook

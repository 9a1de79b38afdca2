#include "LibAdapter/ErrorMapping.h"

namespace bergamothook {

std::error_code logErrorOf(std::error_code Failure) {
  if (Failure == HttpError::ConnectFailed)
    return LogError::Unreachable;
  if (Failure == HttpError::BadAnswer || Failure == HttpError::TooLarge)
    return LogError::MalformedResponse;
  return LogError::ResponseLost;
}

std::error_code targetErrorOf(std::error_code Failure) {
  if (Failure == HttpError::ConnectFailed)
    return TargetError::ConnectFailed;
  if (Failure == HttpError::TimedOut)
    return TargetError::TimedOut;
  if (Failure == HttpError::BadAnswer || Failure == HttpError::TooLarge)
    return TargetError::BadAnswer;
  return TargetError::ConnectionLost;
}

std::error_code notRunErrorOf(const HttpHeaders &Headers) {
  auto Found = Headers.find("x-not-run");
  if (Found == Headers.end())
    return {};
  if (Found->second == NotRunRefused)
    return TargetError::Refused;
  if (Found->second == NotRunFenced)
    return TargetError::StaleFencingNumber;
  if (Found->second == NotRunBadRequest)
    return TargetError::BadRequest;
  if (Found->second == NotRunUnknownStream)
    return TargetError::UnknownStream;
  return TargetError::BadAnswer;
}

} // namespace bergamothook

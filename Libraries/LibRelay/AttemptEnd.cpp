#include "LibRelay/AttemptEnd.h"

#include "LibNet/NetError.h"

namespace bergamothook::detail {

AttemptEnd attemptEndOf(std::error_code Failure) {
  if (Failure == NetError::Cancelled)
    return AttemptEnd::HostStops;
  if (Failure == NetError::TimedOut)
    return AttemptEnd::OutOfTime;
  if (Failure == NetError::Malformed || Failure == NetError::HeadTooLarge ||
      Failure == NetError::BodyTooLarge)
    return AttemptEnd::Malformed;
  if (Failure == NetError::OutOfMemory)
    return AttemptEnd::OutOfMemory;
  return AttemptEnd::Lost;
}

bool isEventStream(const HttpResponseHead &Head) {
  auto Type = Head.Headers.find("Content-Type");
  return Head.Status == 200 && Type && Type->starts_with("text/event-stream");
}

} // namespace bergamothook::detail

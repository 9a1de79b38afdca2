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
  if (Head.Status != 200 || !Type)
    return false;
  std::string_view MediaType = Type->substr(0, Type->find_first_of("; \t"));
  return isSameHeader(MediaType, "text/event-stream");
}

} // namespace bergamothook::detail

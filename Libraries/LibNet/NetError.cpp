#include "LibNet/NetError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(NetError Value) {
  switch (Value) {
  case NetError::ConnectFailed:
    return "no connection came about";
  case NetError::Closed:
    return "the other side closed the connection";
  case NetError::Reset:
    return "the connection was lost";
  case NetError::TimedOut:
    return "the deadline passed";
  case NetError::Malformed:
    return "the bytes are no HTTP message";
  case NetError::HeadTooLarge:
    return "the head of the message is too large";
  case NetError::BodyTooLarge:
    return "the body of the message is too large";
  case NetError::Cancelled:
    return "the wait was given up";
  case NetError::OutOfMemory:
    return "there is no memory for the message";
  case NetError::UnexpectedPeer:
    return "the peer is not known to be the expected one";
  }
  return "unknown network error";
}

const ErrorCategory<NetError> &category() {
  static const ErrorCategory<NetError> Category("net", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(NetError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook

#include "LibStream/StreamError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(StreamError Value) {
  switch (Value) {
  case StreamError::Malformed:
    return "the payload is not a batch of records";
  case StreamError::UnknownVersion:
    return "the payload has an unsupported format version";
  case StreamError::QueueFull:
    return "too many records wait for the log";
  case StreamError::NotConfirmed:
    return "the record was not read back before the deadline";
  }
  return "unknown stream error";
}

const ErrorCategory<StreamError> &category() {
  static const ErrorCategory<StreamError> Category("stream", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(StreamError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook
